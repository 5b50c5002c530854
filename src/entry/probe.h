#ifndef ENTRY_PROBE_H
#define ENTRY_PROBE_H

#include "entry/entry_defs.h"

/**
 * @file
 * The thread that polls the health endpoint of the region's backend servers to
 * detect leaving ones. The load they report is not used: it lags and may be
 * false.
 */

/** @return the running probe, to be ended with probe_stop(), or NULL. */
struct probe *probe_start(struct entry *entry);
/** Stops the thread and frees. NULL is allowed. */
void probe_stop(struct probe *probe);

#endif
