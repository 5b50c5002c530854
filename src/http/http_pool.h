#ifndef HTTP_HTTP_POOL_H
#define HTTP_HTTP_POOL_H

#include <stdint.h>

#include "http/http_client.h"

/**
 * @file
 * Kept connections to one address, shared by threads.
 */

struct http_pool;

/**
 * @param address "IP:port"; copied.
 * @param idle_max connections kept while unused.
 * @param idle_ms an unused connection older than this is closed.
 * @return a pool that the caller frees with http_pool_free(), or NULL.
 */
struct http_pool *http_pool_new(const char *address, uint32_t idle_max,
				uint32_t idle_ms);

/** Closes what is kept. No exchange may be in progress. NULL is allowed. */
void http_pool_free(struct http_pool *pool);

/**
 * Runs one exchange on a kept or new connection. Any thread.
 *
 * @param fresh_ms only a connection used within this time is taken from those
 * kept, so that the other side has hardly had time to close it.
 * @return as http_exchange(); HTTP_NOT_SENT when no connection came about.
 */
enum http_result http_pool_exchange(struct http_pool *pool,
				    const struct http_request *request,
				    uint32_t fresh_ms,
				    struct http_answer *answer) MUST_USE;

const char *http_pool_address(const struct http_pool *pool);

#endif
