#ifndef ENTRY_LEAVE_H
#define ENTRY_LEAVE_H

#include "entry/entry_defs.h"

/**
 * @file
 * The planned stop: no request in flight is cut off.
 */

/**
 * Leaves the look-up answers, serves until cached answers have expired, and
 * waits for what is in flight. Prints how long it took and what it waited for.
 *
 * @return whether everything ended in time.
 */
bool leave_run(struct entry *entry);

#endif
