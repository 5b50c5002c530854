#ifndef PROXY_CRASH_H
#define PROXY_CRASH_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Requests that crash the backend servers that run them.
 *
 * A connection that breaks in the middle of a request may be a lost answer or a
 * crash. A server that refuses a new connection a moment later has crashed: the
 * request's fingerprint is then written to the store under the server's id, so
 * that every entry VM counts the same crashes and refuses the request when two
 * servers fell to it. Loop's thread.
 */

struct crash_watch;

/** Keys of reports: this prefix, the fingerprint, and the server's id. */
#define CRASH_KEY_PREFIX FLEET_KEY_PREFIX "crash/"

struct crash_watch *crash_watch_new(struct proxy *proxy,
				    const struct sockaddr_in *store);
void crash_watch_free(struct crash_watch *watch);

/** A connection to the server broke while it ran the request. */
void crash_suspect(struct crash_watch *watch, struct server *server,
		   uint64_t fingerprint);

/** Takes in a report of any entry VM: the key behind the prefix. */
void crash_reported(struct crash_watch *watch, const char *key);

/** @return whether the request is refused. */
bool crash_refuses(const struct crash_watch *watch, uint64_t fingerprint);

#endif
