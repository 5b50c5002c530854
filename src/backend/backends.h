#ifndef BACKEND_BACKENDS_H
#define BACKEND_BACKENDS_H

#include "base/clock.h"
#include "decide/pick.h"
#include "document/document_defs.h"
#include "http/http_pool.h"

/**
 * @file
 * The backend servers of this entry VM's region: their slots, their state and
 * the connections kept to them. Every function may be called from any thread.
 */

struct backends;

/** One backend server. Reference counted; the fields do not change. */
struct backend {
	char *name;
	char *service;
	char *failure_domain;
	struct http_pool *pool;
	uint64_t name_hash;
	/* guarded by the owner's lock */
	struct backend_group *group;
	uint32_t index;
	uint32_t references;
};

/** Why no backend server was given. */
enum backends_refusal {
	BACKENDS_GIVEN,
	BACKENDS_NONE,	     /**< none in the region may be used */
	BACKENDS_QUEUE_FULL, /**< too many requests wait already */
	BACKENDS_TIMED_OUT,  /**< no slot became free in time */
};

/**
 * @param failure_domain this entry VM's own.
 * @param clock outlives the result.
 * @return a table to be freed with backends_free(), or NULL.
 */
struct backends *backends_new(const char *failure_domain,
			      const struct clock *clock);
void backends_free(struct backends *backends);

/**
 * Takes over a document: servers that stay keep their state.
 */
void backends_apply(struct backends *backends, const struct document *doc);

/** What a request asks of backends_take(). */
struct backends_request {
	const char *service;
	const uint32_t *tried; /**< indices of servers already tried */
	uint32_t tried_count;
	uint32_t queue_max;
	int64_t deadline_ns; /**< monotonic; waits for a slot until then */
};

/**
 * Chooses a server and takes a slot of it, waiting if none is free.
 *
 * @param index receives the server's index, for `tried`.
 * @return the server, to be given back with backends_finish(), or NULL.
 */
struct backend *backends_take(struct backends *backends,
			      const struct backends_request *request,
			      uint32_t *index, enum backends_refusal *refusal);

/** Gives the slot back. */
void backends_finish(struct backends *backends, struct backend *backend,
		     enum pick_outcome outcome);

/**
 * Sets or clears one reason for which a server gets no new work.
 *
 * @return whether the reason is new.
 */
bool backends_set_leaving(struct backends *backends, const char *name,
			  enum pick_leaving reason, bool leaving);

/** Slots of one service in this region. */
struct backends_load {
	uint32_t usable_slots;
	uint32_t in_flight; /**< of this entry VM's requests */
	uint32_t waiting;
};

/** @return false when the region has no server of the service. */
bool backends_load(struct backends *backends, const char *service,
		   struct backends_load *load);

/** State of one server, for status pages and probes. */
struct backends_state {
	char name[65];
	char service[65];
	char address[65];
	struct pick_server server;
	bool ejected;
};

/**
 * @param index counts from 0 over all servers.
 * @return false past the last.
 */
bool backends_state_at(struct backends *backends, uint32_t index,
		       struct backends_state *state);

#endif
