#ifndef ENTRY_OUTSIDE_H
#define ENTRY_OUTSIDE_H

#include "entry/entry_defs.h"

/**
 * @file
 * The running daemon's transport and fleet: HTTP connections and the peer
 * thread. Tests put others in their place.
 */

/** Sets both; the entry's peer must be started before they are used. */
void outside_connect(struct entry *entry);

#endif
