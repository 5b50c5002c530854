#ifndef ENTRY_SERVE_H
#define ENTRY_SERVE_H

#include "entry/entry_defs.h"

struct mg_connection;

/**
 * @file
 * Callers' requests for the services of the document.
 */

/** Request handler of CivetWeb; the context is a struct entry. */
int serve_handle(struct mg_connection *connection, void *context);

/** Takes over the services of a document. */
void serve_apply(struct entry *entry, const struct document *doc);

#endif
