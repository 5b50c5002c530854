#ifndef ENTRY_ADMIN_H
#define ENTRY_ADMIN_H

#include "entry/entry_defs.h"

struct mg_context;

/**
 * @file
 * HTTP endpoints for operators: health, metrics, status, document, and the
 * explanation of a request.
 */

/** Registers the handlers of /healthz, /readyz, /metrics and /v1/... */
void admin_register(struct entry *entry, struct mg_context *server);

#endif
