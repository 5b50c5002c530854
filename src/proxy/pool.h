#ifndef PROXY_POOL_H
#define PROXY_POOL_H

#include "net/http_stream.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Connections to backend servers. A connection carries one request at a time
 * and rests in its server's list between them; one that closes, or sends bytes
 * nobody asked for while it rests, is dropped.
 */

struct server_connection;

/** What the user of a connection hears. */
struct pool_events {
	void (*connected)(void *context);
	void (*head)(void *context, const struct http_head *head);
	void (*body)(void *context, const uint8_t *data, size_t bytes);
	void (*complete)(void *context);
	void (*ended)(void *context, enum http_end end);
};

/**
 * @param reused set to whether the connection stands already; if not,
 * `connected` tells when it does.
 * @return a connection to the server, or NULL.
 */
struct server_connection *pool_take(struct proxy *proxy, struct server *server,
				    const struct pool_events *events,
				    void *context, bool *reused);

struct http_stream *pool_stream(struct server_connection *connection);

/**
 * Gives a connection back after a complete answer.
 *
 * @param idle_timeout_ms the server closes it after this time; 0: not told.
 */
void pool_give_back(struct server_connection *connection,
		    uint32_t idle_timeout_ms);

/** Closes a connection, whatever is in progress on it. */
void pool_discard(struct server_connection *connection);

#endif
