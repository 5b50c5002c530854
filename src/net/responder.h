#ifndef NET_RESPONDER_H
#define NET_RESPONDER_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdint.h>

#include "net/http_stream.h"

/**
 * @file
 * A small HTTP server that hands complete requests to a handler, which responds
 * immediately or later. It serves requests answered from memory, and stand-ins.
 * All functions must be called on the loop's thread.
 */

struct responder;

/** A request that waits for its response. */
struct responder_request {
	const struct http_head *head; /**< valid until the response */
	struct evbuffer *body;
	/** Called when the connection ends before the response, after the
	 * request was freed. Set by the handler, may be NULL. */
	void (*on_disconnect)(void *context);
	void *context; /**< passed to `on_disconnect` */
};

typedef void (*responder_handler)(void *context,
				  struct responder_request *request);

/**
 * Listens on "IPv4:port".
 *
 * @return a responder that the caller frees, or NULL. A failure to listen is
 * logged.
 */
struct responder *responder_new(struct event_base *base, const char *address,
				responder_handler handler, void *context);
/** Closes all connections; pending requests get their `on_disconnect` callback. */
void responder_free(struct responder *responder);

/**
 * Responds to a request, which is invalid after the call.
 *
 * @param headers lines that end with CRLF, or NULL.
 * @param body its bytes are moved into the response; may be NULL.
 */
void responder_reply(struct responder_request *request, uint16_t status,
		     const char *headers, struct evbuffer *body);

/** Resets the request's connection without a response; frees the request. */
void responder_reset(struct responder_request *request);

/**
 * Responds with a truncated body: announces all of `body`, sends only its first
 * `bytes` and closes the connection. Frees the request.
 */
void responder_reply_truncated(struct responder_request *request,
			       uint16_t status, const char *headers,
			       struct evbuffer *body, size_t bytes);

/** @return the reason phrase of a status code; "Status" for unknown codes. */
const char *responder_reason_phrase(uint16_t status);

#endif
