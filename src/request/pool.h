#ifndef REQUEST_POOL_H
#define REQUEST_POOL_H

#include "decide/response_match.h"
#include "net/http_stream.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Connection pool for backend servers. A connection carries one request at a
 * time and is kept in its server's idle list in between. An idle connection is
 * dropped if the server closes it or sends unexpected bytes.
 */

struct server_connection;

/** Time for the server's kernel to acknowledge sent data. Equals seven round
 * trips between regions, so that a lost packet or two are retransmitted first,
 * and leaves time to retry at another server. */
#define POOL_ACK_TIMEOUT_MS 500

/** Callbacks to the user of a connection. */
struct pool_events {
	void (*connected)(void *context);
	void (*head)(void *context, const struct http_head *head);
	void (*body)(void *context, const uint8_t *data, size_t bytes);
	void (*complete)(void *context);
	void (*ended)(void *context, enum http_end_reason end);
};

/** What the user of a connection sends on it. */
struct pool_request {
	const char *id; /**< NULL: none */
	bool needs_new; /**< not on a connection that was used before */
};

/**
 * Takes a connection on which a refusal of the request would be a proof, see
 * decide/response_match.h.
 *
 * @param reused set to whether the connection is already established; if not,
 * `connected` is called once it is.
 * @return a connection to the server, or NULL.
 */
struct server_connection *pool_acquire(struct proxy *proxy, struct server *server,
				       const struct pool_request *request,
				       const struct pool_events *events,
				       void *context, bool *reused);

struct http_stream *pool_stream(struct server_connection *connection);

/** @return what was received on the connection. */
struct response_history *pool_history(struct server_connection *connection);

/**
 * Returns a connection to the pool after a complete response.
 *
 * @param idle_timeout_ms time after which the server closes it; 0: unknown.
 */
void pool_release(struct server_connection *connection, uint32_t idle_timeout_ms);

/** Closes all idle connections to a server. */
void pool_discard_idle(struct server *server);

/** Closes a connection, even if a request is in progress on it. */
void pool_discard(struct server_connection *connection);

/** Resets a connection, so that the kernel drops what it has not sent yet. */
void pool_abort(struct server_connection *connection);

#endif
