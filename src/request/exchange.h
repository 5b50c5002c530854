#ifndef REQUEST_EXCHANGE_H
#define REQUEST_EXCHANGE_H

#include "net/http_stream.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Handles one request of a caller from its head to its final response: matches
 * the route, reads the body, selects a server, sends the request, evaluates the
 * outcome, and retries or responds.
 */

struct caller_request;
struct exchange;

/** Creates an exchange from the request's head. @return NULL if out of
 * memory. */
struct exchange *exchange_begin(struct proxy *proxy,
				struct caller_request *caller,
				const struct http_head *head);

/** @return whether the request may run more than once, or will not run. */
bool exchange_is_idempotent(const struct exchange *exchange);

/** @return whether the request is refused without reading its body. */
bool exchange_refuses_body(const struct exchange *exchange);

/** Adds a part of the body. May send a response, which frees the exchange. */
void exchange_add_body(struct exchange *exchange, const uint8_t *data,
		       size_t bytes);

/** Processes the request once it is complete or need not be read any further.
 * May free the exchange. */
void exchange_process_request(struct exchange *exchange);

/** The output buffer is empty: resumes reading the server's response. */
void exchange_on_output_drained(struct exchange *exchange);

/**
 * The process exits: responds that the request has not run or may have run, and
 * frees the exchange, unless its response is being streamed. NULL is allowed.
 */
void exchange_end_at_exit(struct exchange *exchange);

/** The caller closed its connection: cancels the request and frees the
 * exchange. NULL is allowed. */
void exchange_cancel(struct exchange *exchange);

#endif
