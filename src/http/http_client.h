#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * One HTTP exchange over one connection, bounded by a deadline.
 *
 * A connection carries one exchange at a time. It may be used again only after
 * a whole answer; after anything else it must be closed, so that a late answer
 * can never be taken for another request's.
 */

/** How far an exchange came. */
enum http_result {
	HTTP_WHOLE,	/**< a whole answer was read */
	HTTP_NOT_SENT,	/**< no byte of the request left this process */
	HTTP_LOST,	/**< sent at least in part; no whole answer */
	HTTP_TIMED_OUT, /**< sent at least in part; the deadline passed */
	HTTP_TOO_LONG,	/**< the answer's body is longer than allowed */
};

struct http_request {
	const char *method;
	const char *path;    /**< with its query */
	const char *headers; /**< further lines, each ended by CR LF; or NULL */
	const char *body;
	uint32_t body_bytes;
	uint32_t answer_bytes_max;
	int64_t deadline_ns; /**< monotonic time */
};

struct http_header {
	char *name;
	char *value;
};

#define HTTP_HEADERS_MAX 64

/** An answer; http_answer_clear() frees what it holds. */
struct http_answer {
	uint32_t status;
	struct http_header headers[HTTP_HEADERS_MAX];
	uint32_t header_count;
	char *body; /**< ended by a zero byte that is not counted */
	uint32_t body_bytes;
};

struct http_connection;

/**
 * Connects to "IP:port".
 *
 * @param deadline_ns monotonic time at which to give up.
 * @return a connection to be closed with http_close(), or NULL.
 */
struct http_connection *http_connect(const char *address, int64_t deadline_ns);

/** Closes a connection. NULL is allowed. */
void http_close(struct http_connection *connection);

/**
 * Sends a request and reads the answer. Blocks until the deadline at most.
 *
 * @param answer zeroed by the caller; filled with HTTP_WHOLE only.
 */
enum http_result http_exchange(struct http_connection *connection,
			       const struct http_request *request,
			       struct http_answer *answer) MUST_USE;

/** @return whether another exchange may follow on the connection. */
bool http_reusable(const struct http_connection *connection);

/** @return the value of a header, or NULL. Names match in any case. */
const char *http_answer_header(const struct http_answer *answer,
			       const char *name);

void http_answer_clear(struct http_answer *answer);

/**
 * Sends a request and reads only the answer's header; the body then comes
 * through http_read_line(). For answers without an end, such as a watch.
 *
 * @return whether the status was 200.
 */
bool http_open_stream(struct http_connection *connection,
		      const struct http_request *request) MUST_USE;

/**
 * Reads one line of a stream.
 *
 * @param deadline_ns monotonic time at which to give up.
 * @return the line's length without its end, or -1.
 */
int http_read_line(struct http_connection *connection, char *line,
		   uint32_t line_bytes, int64_t deadline_ns);

#endif
