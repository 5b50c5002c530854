#ifndef ENTRY_WATCH_H
#define ENTRY_WATCH_H

#include "entry/entry_defs.h"

/**
 * @file
 * The thread that keeps the document up to date from the store. A few entry
 * VMs of each failure domain watch the store; the others get the document from
 * their peers and read the store only at long intervals.
 */

/** @return the running watch, to be ended with watch_stop(), or NULL. */
struct watch *watch_start(struct entry *entry);

/** Stops the thread, within about a second, and frees. NULL is allowed. */
void watch_stop(struct watch *watch);

#endif
