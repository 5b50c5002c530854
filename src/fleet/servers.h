#ifndef FLEET_SERVERS_H
#define FLEET_SERVERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "decide/load.h"
#include "decide/ramp.h"
#include "decide/recent_objects.h"
#include "decide/sender_rank.h"
#include "fleet/server_defs.h"
#include "fleet/server_limit.h"
#include "fleet/topology.h"

/**
 * @file
 * This entry VM's known state of the backend servers. Loop's thread only.
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
	/** stands for an entry VM that takes requests of this one; never listed
	 * in `struct servers` */
	bool is_entry_vm;
	uint64_t hash;
	int64_t start_unix_ms;
	int64_t sequence; /**< of its last known entry, see server_entry */
	bool listed; /**< in the platform's list; false once removed or replaced */
	bool draining; /**< according to its list entry or a response */
	bool leaving;  /**< it said so in a response; final for this start */
	bool missing;  /**< absent from the list since an outage of the store */
	/** Its last refusal bore no request ID: only the first response on a
	 * connection proves that an order has not run. */
	bool omits_id;
	bool address_reused; /**< a different server responds at its address */
	int64_t listed_ms;   /**< when this VM first read its entry */
	int64_t cold_until_ms;
	int64_t busy_until_ms; /**< it wants no request of this VM until then */
	int64_t cold_sent_ms;  /**< last request sent to it while cold */
	struct sender_rank rank;  /**< of this VM, see sender_rank_at() */
	uint64_t rank_generation; /**< of the list of VMs that it is from */
	struct load_view load;
	struct ramp ramp; /**< followed while VMs are assigned to servers */
	struct recent_objects recent; /**< as its assigned VM */
	struct server_limit limit;
	uint32_t rtt_ms; /**< estimated round-trip time; 0: unknown */
	uint32_t consecutive_failures; /**< reset by a success */
	int64_t unreachable_ms;	       /**< last time it was; 0: never */
	int64_t responded_ms;	/**< last time on a connection that is open */
	int64_t avoid_until_ms; /**< until then, used only when others are full */
	struct server_connection *idle; /**< newest first; owned by the pool */
	uint32_t connection_count;
	struct attempt *attempts; /**< in progress; owned by their exchanges */
};

struct servers;

struct servers *servers_new(const struct clock *clock,
			    const struct topology *topology);
void servers_free(struct servers *servers);

/** Adds or updates a server from its entry in the list. An entry that is older
 * than what was known, from a copy to which the store went back or from a late
 * write, is ignored. */
void servers_put(struct servers *servers, const struct server_entry *entry);
/** Marks a server as missing: it left the list around an outage of the store
 * and may return within seconds. */
void servers_mark_missing(struct servers *servers, const char *id);
/** Logs each change from now on. Before, while the list is read for the first
 * time, there would be a line for each server. */
void servers_log_changes(struct servers *servers);
/** Removes a server that is no longer in the list. */
void servers_remove(struct servers *servers, const char *id);

/** @return a listed server, or NULL. */
struct server *servers_find(const struct servers *servers, const char *id);

/** @return the listed servers of a service, possibly empty. */
const GPtrArray *servers_for_service(const struct servers *servers,
				     const char *service);
uint32_t servers_count(const struct servers *servers);
/** @return a number that rises when servers are listed or removed, or change
 * their slots or whether they are usable; never 0. */
uint64_t servers_generation(const struct servers *servers);
/** Raises servers_generation(): servers of an evacuated failure domain are not
 * usable. */
void servers_mark_changed(struct servers *servers);
/** Calls a function for each listed server. */
void servers_for_each(const struct servers *servers,
		      void (*visit)(struct server *server, void *context),
		      void *context);

/** Treats all servers of a failure domain as cold for the next `ms`. */
void servers_mark_cold(struct servers *servers, const char *failure_domain,
		       uint32_t ms);

/** Adds a reference. */
struct server *server_ref(struct server *server);
/** Drops a reference; the last one frees the server. NULL is allowed. */
void server_unref(struct server *server);

/** @return whether the server may get new requests. */
bool server_is_usable(const struct server *server);

/** @return whether other servers are preferred because of its failures. */
bool server_is_avoided(const struct server *server, int64_t now_ms);

/** Updates the round-trip estimate from the time that connecting took. */
void server_update_rtt(struct server *server, int64_t elapsed_ms);

/** Records a failed attempt; `reason` is for the log. */
void server_record_failure(struct server *server, const char *reason,
			   int64_t now_ms);
/** Records that the server is unreachable; it is avoided at once. */
void server_record_unreachable(struct server *server, int64_t now_ms);
/** Forgets the failures of servers that were unreachable since then: not they
 * but this VM's own network was the cause. */
void servers_forget_unreachable(struct servers *servers, int64_t since_ms);
/** Records that the server took several times the expected time; it is avoided
 * at once. */
void server_record_slow_response(struct server *server, int64_t now_ms);
/** Records that the server reported in a response that it will exit. */
void server_record_leaving(struct server *server);
/** Records that the server is cold for the next `ms`, or warm if 0. */
void server_record_cold(struct server *server, uint32_t ms, int64_t now_ms);
/** Records that the server wants no requests for the next `ms`. */
void server_record_busy(struct server *server, uint32_t ms, int64_t now_ms);
/** Records a successful attempt, which clears earlier failures. */
void server_record_success(struct server *server);

#endif
