#ifndef NET_RESPONDER_H
#define NET_RESPONDER_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdint.h>

#include "net/http_stream.h"

/**
 * @file
 * A small HTTP server: whole requests in, answers out, at once or later. For
 * questions that are answered from memory, and for stand-ins. Loop's thread.
 */

struct responder;

/** A request that waits for its answer. */
struct responder_request {
	const struct http_head *head; /**< valid until the answer */
	struct evbuffer *body;
	/** The connection ended before the answer; the request is gone after
	 * the call. Set by the handler, may be NULL. */
	void (*gone)(void *context);
	void *context; /**< of `gone` */
};

typedef void (*responder_handler)(void *context,
				  struct responder_request *request);

/** Listens on "IP:port". @return a responder, or NULL with a log line. */
struct responder *responder_new(struct event_base *base, const char *address,
				responder_handler handler, void *context);
/** Closes all connections; requests that wait are told that they are gone. */
void responder_free(struct responder *responder);

/**
 * Answers a request, which is gone after the call.
 *
 * @param headers lines that end with CRLF, or NULL.
 * @param body moved into the answer, or NULL.
 */
void responder_reply(struct responder_request *request, uint16_t status,
		     const char *headers, struct evbuffer *body);

/** Ends the request's connection with a reset and without an answer. */
void responder_break(struct responder_request *request);

/** Cuts the body short: announces all of it, sends `bytes`, and closes. */
void responder_cut(struct responder_request *request, uint16_t status,
		   const char *headers, struct evbuffer *body, size_t bytes);

/** @return the standard text of a status code. */
const char *responder_reason(uint16_t status);

#endif
