#ifndef HTTP_HTTP_POOL_H
#define HTTP_HTTP_POOL_H

#include <stdint.h>

#include "http/http_client.h"

/**
 * @file
 * Pool of idle HTTP connections to one address, shared by threads.
 */

struct http_pool;

/**
 * @param address "IP:port"; copied.
 * @param idle_max maximum number of idle connections.
 * @param idle_timeout_ms connections idle for longer are closed.
 * @return a pool that the caller frees with http_pool_free(), or NULL.
 */
struct http_pool *http_pool_new(const char *address, uint32_t idle_max,
				uint32_t idle_timeout_ms);

/** Closes all idle connections. No exchange may be running. NULL is allowed. */
void http_pool_free(struct http_pool *pool);

/**
 * Runs one exchange over an idle or a new connection. Any thread.
 *
 * @param reuse_within_ms an idle connection is reused only if its last use is
 * at most this long ago, as the other side may close it after some time.
 * @return as http_exchange(); HTTP_NOT_SENT if connecting failed.
 */
enum http_result http_pool_exchange(struct http_pool *pool,
				    const struct http_request *request,
				    uint32_t reuse_within_ms,
				    struct http_response *response) MUST_USE;

/** @return the pool's address, valid as long as the pool. */
const char *http_pool_address(const struct http_pool *pool);

#endif
