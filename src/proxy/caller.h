#ifndef PROXY_CALLER_H
#define PROXY_CALLER_H

#include <event2/buffer.h>

#include "proxy/proxy_defs.h"

/**
 * @file
 * Connections of callers: reading requests under the configuration's limits,
 * one at a time on each connection, and writing answers.
 */

struct caller;

/** Takes over an accepted connection. */
void caller_accept(struct proxy *proxy, int fd);

/** Closes connections that carry no request, in a planned stop. */
void callers_close_idle(struct proxy *proxy);

/** Closes every connection. */
void callers_close_all(struct proxy *proxy);

/** How the body of an answer ends. */
enum answer_framing {
	ANSWER_SIZED,	/**< after the announced bytes */
	ANSWER_CHUNKED, /**< after the last chunk */
	ANSWER_BARE,	/**< there is none */
};

/**
 * Writes the head of an answer.
 *
 * @param headers lines that are copied, or NULL.
 * @param bytes of the body, when it is sized.
 * @param close the connection ends after this answer.
 */
void caller_write_head(struct caller *caller, uint16_t status,
		       struct evbuffer *headers, enum answer_framing framing,
		       uint64_t bytes, bool close);

/** Moves `body` into the answer. */
void caller_write_body(struct caller *caller, struct evbuffer *body);

/** The answer is complete: the next request may be read. */
void caller_answered(struct caller *caller);

/** Ends the connection in a way that no answer on it looks complete. */
void caller_abort(struct caller *caller);

/** @return bytes of answers that the caller has not taken yet. */
size_t caller_unsent_bytes(const struct caller *caller);

#endif
