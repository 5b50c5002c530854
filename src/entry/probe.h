#ifndef ENTRY_PROBE_H
#define ENTRY_PROBE_H

#include "entry/entry_defs.h"

/**
 * @file
 * The thread that asks the region's backend servers whether they are leaving.
 * What they say of their load is not used: it lags and may be false.
 */

struct probe *probe_start(struct entry *entry);
void probe_stop(struct probe *probe);

#endif
