#ifndef REQUEST_EXCHANGE_OWN_H
#define REQUEST_EXCHANGE_OWN_H

#include "decide/finish.h"
#include "request/exchange_internal.h"

/**
 * @file
 * Selects among the servers that are assigned to this VM. Loop's thread only.
 */

/* Limit on the servers of one service that are assigned to one VM. */
#define OWN_SERVERS_MAX 128

/** This VM's servers of a service that can be used. */
struct own_view {
	struct server *servers[OWN_SERVERS_MAX];
	struct finish_server states[OWN_SERVERS_MAX];
	uint32_t count;
	uint32_t slots; /**< of all of them, as far as their windows are open */
	bool has_free_slot;
	bool is_paused; /**< none of them takes a request at the moment */
};

/** Fills a view, which is valid until the servers or requests change. */
void own_view_collect(struct own_view *view, struct proxy *proxy,
		      const struct service *service);

/** Counts a waiting request as one that goes before those chosen for later. */
void own_view_add_waiting(struct own_view *view, const struct exchange *waiting);

/** @return whether one of the servers has the request's object cached. */
bool own_view_has_cached(const struct own_view *view,
			 const struct exchange *exchange);

/** Chooses a server for a request. */
struct finish_choice own_view_choose(struct own_view *view,
				     const struct exchange *exchange);

/** @return the time at which the request's target latency ends. */
int64_t exchange_target_ms(const struct exchange *exchange);

/**
 * Selects a server for a request that belongs to this VM's servers, or lets it
 * wait for one.
 *
 * @param server set to the server, or NULL.
 * @param refusal set to a reason for the log if it is refused, or NULL.
 * @return false if it does not belong to them, or none of them can be used.
 */
bool exchange_select_own(struct exchange *exchange, struct server **server,
			 const char **refusal);

/** Records and logs that a request, which may have waited, is sent. */
void exchange_record_own(struct exchange *exchange, struct server *server,
			 const struct finish_choice *choice, bool cached);

/** Records the time that a run took at a server of this VM, which did not queue
 * it. */
void exchange_record_own_run(struct exchange *exchange,
			     const struct server *server, int64_t run_ms);

/** Records that a server refused the request, and decides whether it may get it
 * once more. */
void exchange_record_own_refusal(struct exchange *exchange,
				 struct server *server);

#endif
