#ifndef ENTRY_LOOKUP_H
#define ENTRY_LOOKUP_H

#include "entry/entry_defs.h"

struct mg_connection;

/**
 * @file
 * Handles look-ups (GET /v1/entries): tells a caller which entry VMs to use.
 */

/** Request handler of CivetWeb; the context is a struct entry. */
int lookup_handle(struct mg_connection *connection, void *context);

#endif
