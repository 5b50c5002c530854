#ifndef BACKEND_BACKENDS_H
#define BACKEND_BACKENDS_H

#include "base/clock.h"
#include "decide/pick.h"
#include "document/document_defs.h"
#include "http/http_pool.h"

/**
 * @file
 * The backend servers of this entry VM's region, with their slots, their state
 * and a connection pool each. Every function may be called from any thread.
 */

struct backends;

/**
 * One backend server. Reference counted; the members up to `name_hash` are
 * constant.
 */
struct backend {
	char *name;
	char *service;
	char *failure_domain;
	struct http_pool *pool;
	uint64_t name_hash;
	/* guarded by the lock of struct backends */
	struct backend_group *group; /**< NULL: no longer in the document */
	uint32_t index;
	uint32_t references;
};

/** Result of backends_acquire(). */
enum backends_result {
	BACKENDS_OK,
	BACKENDS_NONE_USABLE, /**< no server of the region is usable */
	BACKENDS_QUEUE_FULL,  /**< too many requests are waiting */
	BACKENDS_TIMED_OUT,   /**< no slot became free in time */
};

/**
 * @param failure_domain this entry VM's; its region's servers are used.
 * @param clock must outlive the result.
 * @return a table to be freed with backends_free(), or NULL.
 */
struct backends *backends_new(const char *failure_domain,
			      const struct clock *clock);
void backends_free(struct backends *backends);

/**
 * Replaces the servers by those of a document. A server whose name and address
 * stay the same keeps its state and connections.
 */
void backends_apply_document(struct backends *backends,
			     const struct document *doc);

/** Parameters of backends_acquire(). */
struct backends_request {
	const char *service;
	const uint32_t *tried; /**< indices of servers already tried */
	uint32_t tried_count;
	uint32_t queue_max;  /**< requests of the service that may wait */
	int64_t deadline_ns; /**< monotonic; when to stop waiting for a slot */
};

/**
 * Chooses a server and occupies one of its slots; blocks while none is free.
 *
 * @param index receives the server's index, for `tried`.
 * @return the server, to be returned with backends_release(), or NULL.
 */
struct backend *backends_acquire(struct backends *backends,
				 const struct backends_request *request,
				 uint32_t *index, enum backends_result *result);

/** Frees the slot and records the outcome of the attempt. */
void backends_release(struct backends *backends, struct backend *backend,
		      enum pick_outcome outcome);

/**
 * Sets or clears one reason why a server gets no new requests.
 *
 * @return whether this changed the server's state.
 */
bool backends_set_leaving(struct backends *backends, const char *name,
			  enum pick_leaving reason, bool leaving);

/** Slots of one service in this region. */
struct backends_load {
	uint32_t usable_slots; /**< of usable servers, free or not */
	uint32_t in_flight;    /**< requests of this entry VM */
	uint32_t waiting;      /**< requests waiting for a slot */
};

/** @return false if the region has no server of the service. */
bool backends_get_load(struct backends *backends, const char *service,
		       struct backends_load *load);

/** Copy of a server's state, for status output and probes. */
struct backends_state {
	char name[65];
	char service[65];
	char address[65];
	struct pick_server server;
	bool ejected;
};

/**
 * Copies the state of the index-th server, counted from 0 over all services.
 *
 * @return false if there are not that many servers.
 */
bool backends_get_state(struct backends *backends, uint32_t index,
			struct backends_state *state);

#endif
