#ifndef ENTRY_SERVE_H
#define ENTRY_SERVE_H

#include "entry/entry_defs.h"

struct mg_connection;

/**
 * @file
 * Handles callers' requests to the services of the document: admission, request
 * headers, deadline, response.
 */

/** Request handler of CivetWeb; the context is a struct entry. */
int serve_handle(struct mg_connection *connection, void *context);

/**
 * Adds the document's services and resets their retry budgets. Requests are
 * admitted only for services added here. Any thread.
 */
void serve_apply_document(struct entry *entry, const struct document *doc);

#endif
