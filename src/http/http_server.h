#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * What the project's HTTP servers share: start, bounded bodies, replies.
 */

struct http_server_options {
	const char *address;	     /**< "IP:port" */
	uint32_t threads;	     /**< callers served at the same time */
	uint32_t keep_alive_ms;	     /**< an idle connection is closed then */
	uint32_t request_timeout_ms; /**< for a caller to send its request */
	const char *certificate;     /**< PEM file; NULL: no TLS */
	uint32_t connections_max;    /**< accepted and waiting for a thread */
};

/**
 * Starts a server whose handlers are set with mg_set_request_handler().
 *
 * @return the server, to be stopped with mg_stop(), or NULL after one line on
 * standard error.
 */
struct mg_context *http_server_start(const struct http_server_options *options);

/**
 * Reads a request's body.
 *
 * @param bytes_max longer bodies are refused.
 * @param body receives a buffer that the caller frees, ended by a zero byte.
 * @return the body's length, -1 when it is too long, -2 when it did not come.
 */
int64_t http_read_body(struct mg_connection *connection, uint32_t bytes_max,
		       char **body);

/**
 * Sends a whole reply.
 *
 * @param headers further lines, each ended by CR LF; or NULL.
 */
void http_reply(struct mg_connection *connection, uint32_t status,
		const char *content_type, const char *headers, const char *body,
		uint32_t body_bytes);

/** Sends a JSON value and releases it. */
void http_reply_json(struct mg_connection *connection, uint32_t status,
		     const char *headers, json_t *value);

/**
 * Sends {"error": what, "remedy": remedy}.
 */
void http_reply_error(struct mg_connection *connection, uint32_t status,
		      const char *headers, const char *what, const char *remedy);

/**
 * @return whether the query holds `name`; its value, decoded and cut to fit,
 * is in `value`.
 */
bool http_query(const struct mg_connection *connection, const char *name,
		char *value, uint32_t value_bytes);

/** @return the reason phrase of a status. */
const char *http_reason(uint32_t status);

#endif
