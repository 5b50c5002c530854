#ifndef PROXY_EXCHANGE_INTERNAL_H
#define PROXY_EXCHANGE_INTERNAL_H

#include "decide/place.h"
#include "proxy/attempt.h"
#include "proxy/caller.h"
#include "proxy/exchange.h"

/** @file What the files of an exchange share. */

/** A request is sent to at most this many servers, whatever its route says. */
#define EXCHANGE_SERVERS_MAX 8

struct exchange {
	struct proxy *proxy;
	struct caller *caller;
	struct config *config;
	const struct route *route;
	const struct service *service;
	char *id;
	char *method;
	uint64_t object_hash;
	uint64_t fingerprint; /* equal when the same request comes again */
	bool has_object;      /* the caller told what the request concerns */
	struct evbuffer *head;
	struct evbuffer *body;
	uint64_t body_bytes_max;
	struct attempt_request request;
	struct event *timer;
	int64_t started_ms;
	int64_t deadline_ms; /* earlier of caller's and route's */
	uint16_t refusal;    /* status known before placing; 0: none */
	const char *refusal_why;
	bool refuses_body;	 /* the refusal does not wait for the body */
	struct attempt *attempt; /* in progress */
	struct server *tried[EXCHANGE_SERVERS_MAX];
	uint32_t tried_count;
	uint32_t sends; /* that a server may have begun to handle */
	enum verdict worst;
	bool away;	  /* should run in another region */
	bool known_there; /* the server in use had answered for the object */
	uint32_t expected_ms; /* wait, path and run at the server in use */
	uint32_t returning_after_ms; /* time since the caller first asked */
	bool passing_on;	     /* the answer is sent while it arrives */
	uint32_t wait_ms; /* estimated for the place that was refused */
};

/** Decides whether the request should run in this region or in another. */
void exchange_choose_side(struct exchange *exchange);

/**
 * Chooses a server for the request and counts it as tried.
 *
 * @param why_again NULL for the first send.
 * @param refusal receives a word for the log when there is none.
 * @return the server, or NULL.
 */
struct server *exchange_place(struct exchange *exchange, const char *why_again,
			      const char **refusal);

/** Frees an exchange that needs no answer. */
void exchange_free(struct exchange *exchange);

/** Answers with a status of our own and ends the exchange. */
void exchange_fail(struct exchange *exchange, uint16_t status, const char *why);

/** Passes on the whole answer of the attempt and ends the exchange. */
void exchange_deliver(struct exchange *exchange);

/** Begins to pass on the attempt's answer while it still arrives. */
void exchange_pass_on(struct exchange *exchange);

/** The answer that is passed on has ended, whole or not. Ends the exchange. */
void exchange_end_passed_on(struct exchange *exchange, enum attempt_end end);

/** @return whether the server was tried for this request. */
bool exchange_has_tried(const struct exchange *exchange,
			const struct server *server);

/** @return what this VM keeps for the exchange's service. */
struct service_state *exchange_service_state(const struct exchange *exchange);
/** @return what this VM keeps for the exchange's route. */
struct route_state *exchange_route_state(const struct exchange *exchange);
struct retry_share_rule exchange_retry_rule(const struct exchange *exchange);

#endif
