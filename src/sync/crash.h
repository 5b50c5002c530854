#ifndef SYNC_CRASH_H
#define SYNC_CRASH_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Detects requests that crash the backend servers that run them.
 *
 * A connection that breaks during a request may mean a lost response or a
 * crash. If the server refuses a new connection a moment later, it has crashed.
 * The request's fingerprint and the server's id are then written to the store,
 * so that every entry VM counts the same crashes and refuses the request after
 * it has crashed two servers. Event loop's thread.
 */

struct crash_watch;

/** Prefix of the keys of crash reports; followed by the fingerprint in
 * hexadecimal, a slash, and the server's id. */
#define CRASH_KEY_PREFIX FLEET_KEY_PREFIX "crash/"

struct crash_watch *crash_watch_new(struct proxy *proxy);
void crash_watch_free(struct crash_watch *watch);

/** Called when a connection to the server broke during the request. Schedules a
 * probe that checks whether the server crashed. */
void crash_probe_server(struct crash_watch *watch, struct server *server,
			uint64_t fingerprint);

/** Records a crash report of any entry VM. `key` is the part after the
 * prefix. */
void crash_apply_report(struct crash_watch *watch, const char *key);

/** @return whether the request is refused because it crashed servers. */
bool crash_is_request_refused(const struct crash_watch *watch,
			      uint64_t fingerprint);

#endif
