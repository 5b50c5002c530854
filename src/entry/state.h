#ifndef ENTRY_STATE_H
#define ENTRY_STATE_H

#include "entry/entry_defs.h"

/**
 * @file
 * Creates and frees the daemon's state. Its threads are started elsewhere.
 */

/**
 * Creates the document holder, the backend servers, the order table and the
 * locks. The settings, clock and incarnation must be set.
 *
 * @return false if out of memory; state_clear() must be called in any case.
 */
bool state_init(struct entry *entry);

/** Frees what state_init() created. No other thread may use it any more. */
void state_clear(struct entry *entry);

#endif
