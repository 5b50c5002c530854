#ifndef FLEET_SERVERS_H
#define FLEET_SERVERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "decide/load.h"
#include "fleet/server_defs.h"
#include "fleet/topology.h"

/**
 * @file
 * What this entry VM believes of the backend servers. Loop's thread only.
 */

struct attempt;
struct server_connection;

struct server {
	uint32_t references;
	char *id;
	char *service;
	const char *failure_domain; /**< interned */
	const char *region;	    /**< interned; NULL: unknown domain */
	struct sockaddr_in address;
	uint64_t hash;
	int64_t born_ms;
	bool listed;	/**< in the platform's list, and not replaced */
	bool draining;	/**< it says so, or answers as if */
	bool missing;	/**< not in the list since an outage of the store */
	bool misplaced; /**< another server answers at its address */
	int64_t cold_until_ms;
	int64_t cold_sent_ms; /**< last request sent while it was cold */
	struct load_view load;
	uint32_t path_ms;	/**< round trip, from opening connections */
	uint32_t failures;	/**< without a success between */
	int64_t avoid_until_ms; /**< only used when others have no room */
	struct server_connection *idle; /**< newest first; owned by the pool */
	uint32_t connection_count;
	struct attempt *attempts; /**< in progress; owned by their exchanges */
};

struct servers;

struct servers *servers_new(const struct clock *clock,
			    const struct topology *topology);
void servers_free(struct servers *servers);

/** Takes in an entry of the list. */
void servers_put(struct servers *servers, const struct server_entry *entry);
/** The list does not name the server any more, but may again in a moment. */
void servers_miss(struct servers *servers, const char *id);
/** The list no longer names the server. */
void servers_remove(struct servers *servers, const char *id);

/** @return the listed servers of a service; empty when there are none. */
const GPtrArray *servers_of(const struct servers *servers, const char *service);
uint32_t servers_count(const struct servers *servers);

/** Makes all servers of a failure domain cold for `ms` from now. */
void servers_chill(struct servers *servers, const char *failure_domain,
		   uint32_t ms);

struct server *server_hold(struct server *server);
void server_release(struct server *server);

/** @return whether the server may get new requests at all. */
bool server_usable(const struct server *server);

/** @return whether others are preferred to it now. */
bool server_avoided(const struct server *server, int64_t now_ms);

/** Notes how long a connection to the server took to open. */
void server_note_path(struct server *server, int64_t took_ms);

/** Notes an attempt's failure or success at the server. */
void server_failed(struct server *server, const char *why, int64_t now_ms);
/** Notes that the server's machine does not answer. */
void server_silent(struct server *server, int64_t now_ms);
/** Notes that the server took several times as long as it should. */
void server_slow(struct server *server, int64_t now_ms);
void server_succeeded(struct server *server);

#endif
