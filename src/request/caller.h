#ifndef REQUEST_CALLER_H
#define REQUEST_CALLER_H

#include <event2/buffer.h>

#include "proxy/proxy_defs.h"

/**
 * @file
 * Connections of callers. Reads requests within the configured limits and
 * writes responses in the order of the requests. Idempotent requests that a
 * caller sends before it got an earlier response run at once, up to a limit;
 * any other request waits until all before it are answered, and nothing behind
 * it is read until then.
 */

struct caller_request;

/** Takes ownership of an accepted connection; closes `fd` on failure. */
void caller_accept(struct proxy *proxy, int fd);

/** As caller_accept(), for a connection of another entry VM that hands off
 * requests. */
void caller_accept_handoff(struct proxy *proxy, int fd);

/** @return whether another entry VM handed off the request. */
bool caller_is_handoff(const struct caller_request *request);

/** @return whether the caller has closed its connection. After a long turn of
 * the event loop, its requests are read before that is reported. */
bool caller_has_left(const struct caller_request *request);

/** Closes connections that have had no request for a while, during a graceful
 * shutdown. */
void callers_close_idle(struct proxy *proxy);

/** @return whether no connection is open, and the kernel has taken all bytes of
 * those that are closing. */
bool callers_have_left(const struct proxy *proxy);

/** Responds to every request in progress, at the end of a graceful shutdown. A
 * response that is being streamed goes on. */
void callers_end_requests(struct proxy *proxy);

/** Closes every connection. */
void callers_close_all(struct proxy *proxy);

/** How the end of a response's body is marked. */
enum response_framing {
	FRAMING_CONTENT_LENGTH, /**< by Content-Length */
	FRAMING_CHUNKED,	/**< by the last chunk */
	FRAMING_NO_BODY,	/**< there is no body */
};

/**
 * Writes the head of a response.
 *
 * @param headers header lines, moved out of the buffer, or NULL.
 * @param bytes length of the body for FRAMING_CONTENT_LENGTH.
 * @param close whether to close the connection after this response.
 */
void caller_write_head(struct caller_request *request, uint16_t status,
		       struct evbuffer *headers, enum response_framing framing,
		       uint64_t bytes, bool close);

/** Lets the caller read a large response for `ms` without its kernel taking
 * more of it. Otherwise a window that stays small would count as a host that is
 * gone; see tcp_set_options(). */
void caller_extend_reading(struct caller_request *request, int64_t ms);

/** Moves `body` into the response. */
void caller_write_body(struct caller_request *request, struct evbuffer *body);

/** Completes the response. Reads the next request or closes the connection;
 * `request` may be freed. The requests behind one that closes the connection
 * are cancelled. */
void caller_end_response(struct caller_request *request);

/** Resets the connection, so that an incomplete response cannot look complete.
 * Frees `request`, and cancels the other requests of the connection. */
void caller_abort(struct caller_request *request);

/** @return response bytes not yet written to the socket. */
size_t caller_unsent_bytes(struct caller_request *request);

#endif
