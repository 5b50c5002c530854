#ifndef ENTRY_ADAPTERS_H
#define ENTRY_ADAPTERS_H

#include "entry/entry_defs.h"

/**
 * @file
 * The daemon's implementation of struct entry_transport, over HTTP, and of
 * struct entry_fleet, over the peer thread. Tests use fakes instead.
 */

/** Sets both. The entry's peer must be started before they are used. */
void adapters_init(struct entry *entry);

#endif
