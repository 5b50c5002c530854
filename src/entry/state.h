#ifndef ENTRY_STATE_H
#define ENTRY_STATE_H

#include "entry/entry_defs.h"

/**
 * @file
 * The daemon's state, apart from its threads.
 */

/**
 * Makes the document holder, the backend servers, the order table and the
 * locks. The settings, clock and incarnation must be set.
 *
 * @return false without memory; state_clear() is to be called all the same.
 */
bool state_init(struct entry *entry);

/** Frees what state_init() made. No thread may use it any more. */
void state_clear(struct entry *entry);

#endif
