#ifndef NET_HTTP_STREAM_H
#define NET_HTTP_STREAM_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * Reads HTTP/1.1 messages from one TCP connection on an event loop.
 *
 * A stream stops parsing after each complete message until http_stream_read_next(),
 * so pipelined bytes stay in a bounded buffer. A close by the peer is reported
 * immediately, even while a message is being handled. All functions must be
 * called on the loop's thread; callbacks may free the stream.
 */

enum http_role {
	HTTP_ROLE_SERVER, /**< reads requests */
	HTTP_ROLE_CLIENT, /**< reads responses */
};

/** Why a stream ended. */
enum http_end_reason {
	HTTP_END_CLOSED,	  /**< graceful close by the peer */
	HTTP_END_RESET,		  /**< connection error other than a time-out */
	HTTP_END_TIMED_OUT,	  /**< the peer's kernel stopped responding */
	HTTP_END_INVALID,	  /**< malformed message */
	HTTP_END_HEAD_TOO_LARGE,  /**< too many header bytes or headers */
	HTTP_END_UNEXPECTED_DATA, /**< data while no message was expected */
};

struct http_header {
	const char *name;
	const char *value;
};

/** Start line and headers of a message; valid until the next message. */
struct http_head {
	const char *method; /**< requests only */
	const char *target; /**< requests only */
	uint16_t status;    /**< responses only */
	struct http_header *headers;
	uint32_t header_count;
	int64_t content_length; /**< -1: no Content-Length */
	bool chunked;
	bool keep_alive;
	bool until_close; /**< response body delimited by the close */
};

struct http_stream_events {
	/** The connection is established. May be NULL for accepted ones. */
	void (*connected)(void *context);
	void (*head)(void *context, const struct http_head *head);
	void (*body)(void *context, const uint8_t *data, size_t bytes);
	/** The message is complete; parsing stops until http_stream_read_next(). */
	void (*complete)(void *context);
	/** All output was written to the socket. May be NULL. */
	void (*drained)(void *context);
	/** The stream has ended; the owner must free it. */
	void (*ended)(void *context, enum http_end_reason end);
};

struct http_stream;

/**
 * Reads requests from an accepted connection and takes ownership of `fd`.
 *
 * @param head_bytes_max limit on the start line and headers of a message.
 * @return a stream that the caller frees, or NULL, with `fd` closed.
 */
struct http_stream *http_stream_accept(struct event_base *base, int fd,
				       uint32_t head_bytes_max,
				       const struct http_stream_events *events,
				       void *context);

/**
 * Starts to connect; `connected` or `ended` follows. Responses are parsed once
 * http_stream_read_next() is called.
 *
 * @param user_timeout_ms see tcp_set_options().
 * @return a stream that the caller frees, or NULL.
 */
struct http_stream *http_stream_connect(struct event_base *base,
					const struct sockaddr_in *address,
					uint32_t user_timeout_ms,
					const struct http_stream_events *events,
					void *context);

/** Frees the stream and closes its connection. NULL is allowed. */
void http_stream_free(struct http_stream *stream);

/**
 * Frees the stream; its connection is closed after the output was sent and the
 * peer has closed. See linger_close(). NULL is allowed.
 */
void http_stream_free_lingering(struct http_stream *stream);

/**
 * Frees the stream and resets its connection, so that the peer does not take a
 * truncated body for a complete one. NULL is allowed.
 */
void http_stream_abort(struct http_stream *stream);

/** Starts parsing the next message, which may already be buffered. */
void http_stream_read_next(struct http_stream *stream);

/**
 * Takes back http_stream_read_next().
 *
 * @return false, without effect, if bytes of the next message have been read.
 */
bool http_stream_stop_reading(struct http_stream *stream);

/** Treats the next response as one to HEAD: no body, whatever its headers. */
void http_stream_expect_no_body(struct http_stream *stream);

/** Stops or resumes reading from the socket. */
void http_stream_pause_reading(struct http_stream *stream, bool pause);

/** Changes the stream's TCP_USER_TIMEOUT, see tcp_set_options(). */
void http_stream_set_user_timeout(struct http_stream *stream,
				  uint32_t timeout_ms);

/** @return whether the peer has closed or reset the connection, also before
 * that is reported. Not known while unread input comes before it. */
bool http_stream_peer_has_closed(const struct http_stream *stream);

/** @return the number of buffered bytes that were not parsed yet. */
size_t http_stream_pending_bytes(const struct http_stream *stream);

/** @return whether any byte of the next message has arrived. */
bool http_stream_has_message_begun(const struct http_stream *stream);

/** @return the output buffer; whatever is added to it is sent. */
struct evbuffer *http_stream_output(struct http_stream *stream);

/** @return the first value of a header, or NULL. Names ignore case. */
const char *http_head_get(const struct http_head *head, const char *name);

/**
 * @return whether the list of tokens in a header, separated by commas or white
 * space, contains `token`. Names and tokens ignore case.
 */
bool http_head_has_token(const struct http_head *head, const char *name,
			 const char *token);

/**
 * @return whether the target has no white space or control characters, all
 * names are tokens (RFC 9110 section 5.6.2), and the body has no transfer
 * coding but one "chunked". Anything else may be read differently by whoever it
 * is passed on to.
 */
bool http_head_is_valid(const struct http_head *head);

#endif
