#ifndef PROXY_STOP_H
#define PROXY_STOP_H

#include "kv/presence.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Graceful shutdown: leaves the directory at once, finishes the requests in
 * progress, then ends the event loop.
 */

struct stop;

/** Starts to handle SIGTERM and SIGINT. @return NULL if out of memory. */
struct stop *stop_new(struct proxy *proxy);
void stop_free(struct stop *stop);

#endif
