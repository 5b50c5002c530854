#ifndef ENTRY_SHUTDOWN_H
#define ENTRY_SHUTDOWN_H

#include "entry/entry_defs.h"

/**
 * @file
 * Graceful shutdown: stops the daemon without cutting off requests in flight.
 */

/**
 * Withdraws this VM from look-up responses, serves until the responses that
 * callers have cached expire, and waits for requests in flight. Prints the
 * times and counts to standard error. Blocks up to the setting leave_max_ms.
 *
 * @return whether no request was left in flight.
 */
bool shutdown_run(struct entry *entry);

#endif
