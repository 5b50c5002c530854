#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * Blocking HTTP client: one exchange over one connection, with a deadline.
 *
 * A connection carries one exchange at a time. It may be reused only after a
 * complete response; otherwise it must be closed, so that a late response is
 * never taken for the response to another request.
 */

/** Outcome of an exchange. */
enum http_result {
	HTTP_COMPLETE,	 /**< a complete response was read */
	HTTP_NOT_SENT,	 /**< no byte of the request was sent */
	HTTP_INCOMPLETE, /**< sent at least in part; no complete response */
	HTTP_TIMED_OUT,	 /**< sent at least in part; the deadline passed */
	HTTP_TOO_LONG,	 /**< the response body exceeds the limit */
};

struct http_request {
	const char *method;
	const char *path; /**< including the query string */
	const char *headers; /**< additional lines, each ending in CR LF, or NULL */
	const char *body;
	uint32_t body_bytes;
	uint32_t response_bytes_max;
	int64_t deadline_ns; /**< monotonic time */
};

struct http_header {
	char *name;
	char *value;
};

#define HTTP_HEADERS_MAX 64

/** A response; http_response_clear() frees its contents. */
struct http_response {
	uint32_t status;
	struct http_header headers[HTTP_HEADERS_MAX];
	uint32_t header_count;
	char *body; /**< NUL-terminated; the NUL is not counted */
	uint32_t body_bytes;
};

struct http_connection;

/**
 * Connects to "IP:port".
 *
 * @param deadline_ns monotonic time.
 * @return a connection to be closed with http_close(), or NULL.
 */
struct http_connection *http_connect(const char *address, int64_t deadline_ns);

/** Closes a connection. NULL is allowed. */
void http_close(struct http_connection *connection);

/**
 * Sends a request and reads the response. Blocks until the deadline at most.
 *
 * @param response zeroed by the caller; filled only if the result is HTTP_COMPLETE.
 */
enum http_result http_exchange(struct http_connection *connection,
			       const struct http_request *request,
			       struct http_response *response) MUST_USE;

/** @return whether the connection can be used for another exchange. */
bool http_is_reusable(const struct http_connection *connection);

/** @return the value of a header, or NULL. The name is case-insensitive. */
const char *http_response_header(const struct http_response *response,
				 const char *name);

void http_response_clear(struct http_response *response);

/**
 * Sends a request and reads only the response header; the body is then read
 * with http_read_line(). For responses of unlimited length, such as a watch.
 *
 * @return whether the status was 200.
 */
bool http_open_stream(struct http_connection *connection,
		      const struct http_request *request) MUST_USE;

/**
 * Reads one line of a stream.
 *
 * @param line receives the line, NUL-terminated, without its LF.
 * @param deadline_ns monotonic time.
 * @return the line's length, or -1 on the deadline, an error or a line that is
 * too long.
 */
int http_read_line(struct http_connection *connection, char *line,
		   uint32_t line_bytes, int64_t deadline_ns);

#endif
