#ifndef PROXY_REACH_WATCH_H
#define PROXY_REACH_WATCH_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Watches whether this VM can connect to backend servers, see decide/reach.h:
 * collects the outcomes of connecting and probes servers by connecting to them.
 * All functions that take a watch allow NULL, for which servers are reachable.
 */

struct reach_watch;

/** @return a watch that the caller frees, or NULL. */
struct reach_watch *reach_watch_new(struct proxy *proxy);
void reach_watch_free(struct reach_watch *watch);

/** A connection to a server was established. */
void reach_watch_connected(struct reach_watch *watch);
/** A server could not be connected to, or its kernel no longer acknowledges
 * data. */
void reach_watch_failed(struct reach_watch *watch, const struct server *server);

/** @return whether this VM can connect to no server. */
bool reach_watch_is_cut_off(const struct reach_watch *watch);

#endif
