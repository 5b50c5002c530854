#ifndef REQUEST_EXCHANGE_INTERNAL_H
#define REQUEST_EXCHANGE_INTERNAL_H

#include "decide/place.h"
#include "request/attempt.h"
#include "request/caller.h"
#include "request/exchange.h"
#include "workspace/keys.h"

/** @file Declarations shared by the source files of an exchange. */

/** Upper bound on the servers tried for a request, whatever its route
 * allows. */
#define EXCHANGE_TRIED_SERVERS_MAX 8

/** Added to the time limit, so that the server's own response at its deadline
 * can still arrive. */
#define LATE_RESPONSE_GRACE_MS 120

struct exchange {
	struct proxy *proxy;
	struct caller_request *caller;
	struct config *config;
	const struct route *route;
	const struct service *service;
	const struct workspace *workspace; /* of its key; NULL: none */
	struct workspace_key_hash key;	   /* valid with a workspace */
	char *id;
	char *method;
	uint64_t object_hash;
	/* hash of method, target, object and body; equal for retries */
	uint64_t fingerprint;
	bool has_object; /* the request names the object it refers to */
	struct evbuffer *head;
	struct evbuffer *body;
	uint64_t body_bytes_max;
	struct attempt_request request;
	struct event *timer;
	int64_t started_ms;
	int64_t deadline_ms; /* the earlier of the caller's and the route's */
	int64_t caller_deadline_ms;
	bool must_end_at_exit;	 /* its deadline is the exit of this process */
	uint16_t refusal_status; /* set before placement; 0: not refused */
	const char *refusal_reason;
	bool refuses_body;	 /* refused without reading the body */
	struct attempt *attempt; /* in progress */
	struct server *tried_servers[EXCHANGE_TRIED_SERVERS_MAX];
	uint32_t tried_count;
	uint32_t send_count; /* attempts that may have reached a server */
	enum verdict worst_verdict;
	bool handed_off; /* another entry VM passed it on to this one */
	bool declined;	 /* that VM should place it itself */
	/* request line and headers as received; NULL: it is not passed on */
	struct evbuffer *handoff_head;
	struct attempt_request handoff_request;
	/* found by handoff_start() for the placement that follows at once: the
	 * object's VM is this one */
	bool is_assigned_here;
	bool handoff_decided; /* whether to pass it on */
	bool handoff_renewed; /* after a kept connection was closed */
	bool counted_for_retry_share;
	/* region in which it should run, interned; NULL: not chosen */
	const char *region;
	bool spilled_over;    /* should run in another region */
	bool tried_elsewhere; /* a region without room refused it */
	bool object_cached;   /* the selected server has the object cached */
	/* wait, round trip and run time expected at the selected server */
	uint32_t expected_latency_ms;
	uint32_t first_request_age_ms; /* since the caller's first attempt */
	const char *retry_reason; /* outcome of the last attempt; NULL: none */
	bool has_own_server; /* this VM is assigned to the selected server */
	/* of the object at the own server when it was selected */
	uint32_t object_position;
	/* own server that refused the request last and may get it once more */
	const struct server *repeat_server;
	/* state of the wait queue: a server for which the request waits */
	struct server *waits_for; /* owns a reference; NULL: does not wait */
	bool waits_for_cached;	  /* which has the object cached */
	uint32_t waits_for_run_ms;
	bool is_admitted; /* counts as work that was asked for in this VM */
	bool must_leave_queue; /* refused, as too many wait */
	uint64_t wait_sequence;
	int64_t waiting_since_ms;
	uint32_t waited_ms;  /* in all */
	bool streaming;	     /* the response is forwarded while it arrives */
	uint32_t wait_ms;    /* estimated when no server had room; 0: unknown */
	bool wait_is_stated; /* no estimate: all servers pause until then */
};

/** Records why a request is refused; the response is sent later. */
void exchange_set_refusal(struct exchange *exchange, uint16_t status,
			  const char *reason);

/** @return whether to forward a response would tell the caller of an order that
 * it has not run, without proof of this. */
bool exchange_is_unproved_refusal(const struct exchange *exchange,
				  const struct attempt *attempt);

/** Callback of an attempt: forwards what has arrived of a streamed response. */
void exchange_forward_body(void *exchange, struct attempt *attempt);

/** Counts the request, once, among those that pay for this VM's retries. To be
 * called when it has been sent. */
void exchange_count_for_retry_share(struct exchange *exchange);

/**
 * @return whether the request may be sent again after an attempt that ended like
 * this; if so, it is counted as a retry, except after ATTEMPT_NOT_CONNECTED.
 */
bool exchange_acquire_retry(struct exchange *exchange, enum attempt_end end);

/**
 * After a handoff failed: sends the request to a server that this VM selects,
 * or responds if it may not be sent again. May free the exchange.
 *
 * @param end how the handoff ended; ATTEMPT_NOT_CONNECTED if the request has
 * not been sent to a server, which does not count as a retry.
 */
void exchange_place_directly(struct exchange *exchange, enum attempt_end end);

/** Selects the route, the workspace and the service, or refuses the request. */
void exchange_match_route(struct exchange *exchange,
			  const struct http_head *head);

/**
 * Refuses a request whose key a newer configuration has removed. To be called
 * immediately before each time the request is sent.
 *
 * @return whether the request was refused, which frees the exchange.
 */
bool exchange_refuse_removed_key(struct exchange *exchange);

/** Refuses a request that arrives too late in a graceful shutdown. */
void exchange_refuse_late_arrival(struct exchange *exchange);

/** @return the rank of the request, the workspace's before the route's; 0 is
 * the highest. */
uint32_t exchange_priority(const struct exchange *exchange);

/** @return whether route and workspace allow the request to run in a region. */
bool exchange_allows_region(const struct exchange *exchange, const char *region);

/** Decides whether the request should run in this region or in another. */
void exchange_choose_region(struct exchange *exchange);

/** Records how a request ended that ran, or was to run, in a region.
 *
 * @param refused for lack of room. */
void exchange_record_region_end(const struct exchange *exchange,
				const char *region, bool refused);

/**
 * Chooses another region for a request that was refused for lack of room, if it
 * may run there and there is time.
 *
 * @return whether the request should be placed again.
 */
bool exchange_choose_elsewhere(struct exchange *exchange);

/** Records that a request had no response from a region in time. */
void exchange_record_region_timeout(const struct exchange *exchange,
				    const char *region);

/** Adjusts the pace of a server that has started or recovered. */
void exchange_record_ramp(const struct exchange *exchange, struct server *server,
			  enum attempt_end end, int64_t elapsed_ms);

/**
 * Selects a server for the request and records it as tried.
 *
 * @param retry_reason outcome of the previous attempt, for the log; NULL for
 * the first attempt.
 * @param refusal set to a reason for the log if no server is available; NULL
 * if the request waits for one.
 * @return the server, or NULL.
 */
struct server *exchange_select_server(struct exchange *exchange,
				      const char *retry_reason,
				      const char **refusal);

/** Records a server as selected. */
void exchange_record_selected(struct exchange *exchange, struct server *server,
			      bool object_cached, uint32_t expected_latency_ms);

/** Sends the request to the server that was selected. May free the exchange. */
void exchange_send(struct exchange *exchange, struct server *server);

/** The same for a request that has waited, unless its caller has left. */
void exchange_send_waiting(struct exchange *exchange, struct server *server);

/** Selects a server again for a request that has waited, and sends it, queues
 * it or responds. May free the exchange. */
void exchange_place_again(struct exchange *exchange);

/** The timer of an exchange, which is the `context`, has expired. */
void exchange_on_deadline(evutil_socket_t fd, short what, void *context);

/** Records that a server did not respond in time. */
void exchange_record_timeout(const struct exchange *exchange,
			     struct server *server, int64_t elapsed_ms);

/** Frees an exchange without sending a response. */
void exchange_free(struct exchange *exchange);

/** Responds with a status generated by the proxy and frees the exchange. */
void exchange_fail(struct exchange *exchange, uint16_t status,
		   const char *reason);

/** Sends the attempt's complete response to the caller and frees the
 * exchange. */
void exchange_send_response(struct exchange *exchange);

/** Starts to forward the attempt's response while it is still arriving. */
void exchange_start_streaming(struct exchange *exchange);

/** The streamed response has ended, complete or not. Frees the exchange. */
void exchange_finish_streaming(struct exchange *exchange, enum attempt_end end);

/** @return whether the request was already sent to this server. */
bool exchange_has_tried(const struct exchange *exchange,
			const struct server *server);

/** @return this VM's state of the request's service, created if missing. */
struct service_state *exchange_service_state(const struct exchange *exchange);
/** @return this VM's state of the request's route, created if missing. */
struct route_state *exchange_route_state(const struct exchange *exchange);
/** @return the limits on retries of the whole fleet. */
struct retry_share_rule exchange_retry_rule(const struct exchange *exchange);

#endif
