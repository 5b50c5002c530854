#ifndef ENTRY_WATCH_H
#define ENTRY_WATCH_H

#include "entry/entry_defs.h"

/**
 * @file
 * The thread that keeps the document up to date from the store. A few entry
 * VMs of each failure domain hold a watch; the others hear from their peers
 * and look at the store only now and then.
 */

struct watch *watch_start(struct entry *entry);

/** Ends the watch within about a second. */
void watch_stop(struct watch *watch);

#endif
