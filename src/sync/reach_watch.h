#ifndef SYNC_REACH_WATCH_H
#define SYNC_REACH_WATCH_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Watches whether this VM can connect to backend servers, see decide/reach.h:
 * collects the outcomes of connecting and probes servers by connecting to them.
 * While it cannot, its entry in the store says so, and directories leave it out.
 * All functions that take a watch allow NULL, for which servers are reachable.
 */

struct reach_watch;

/** @return a watch that the caller frees, or NULL. */
struct reach_watch *reach_watch_new(struct proxy *proxy);
void reach_watch_free(struct reach_watch *watch);

/** A connection to a server was established. */
void reach_watch_connected(struct reach_watch *watch,
			   const struct server *server);
/** A server could not be connected to, or its kernel no longer acknowledges
 * data. */
void reach_watch_failed(struct reach_watch *watch, const struct server *server);

/** @return whether this VM can connect to no server. */
bool reach_watch_is_cut_off(const struct reach_watch *watch);

/** @return whether that is so or is being checked. */
bool reach_watch_is_in_doubt(const struct reach_watch *watch);

/** @return whether a request may be sent to the server. While this VM is cut
 * off, only on an open connection, and only if the server has responded since
 * the failures began. */
bool reach_watch_may_send(const struct reach_watch *watch,
			  const struct server *server);

#endif
