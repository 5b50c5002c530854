#ifndef PROXY_STOP_H
#define PROXY_STOP_H

#include "kv/presence.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * The planned stop: out of the directory at once, then every request in
 * progress is finished, then the loop ends.
 */

struct stop;

/** Waits for SIGTERM and SIGINT. @return NULL when memory is short. */
struct stop *stop_new(struct proxy *proxy);
void stop_free(struct stop *stop);

#endif
