#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Helpers for HTTP servers: start, request bodies with a size limit, replies.
 */

struct http_server_options {
	const char *address; /**< "IP:port" */
	uint32_t threads; /**< maximum number of connections served concurrently */
	uint32_t keep_alive_ms;	     /**< idle timeout; 0: no keep-alive */
	uint32_t request_timeout_ms; /**< time limit for receiving a request */
	const char *certificate;     /**< PEM file; NULL: no TLS */
	uint32_t connections_max; /**< connections that may wait for a thread */
};

/**
 * Starts a server whose handlers are set with mg_set_request_handler().
 *
 * @return the server, to be stopped with http_server_stop(), or NULL after one
 * line on standard error.
 */
struct mg_context *http_server_start(const struct http_server_options *options);

/**
 * Stops and frees a server when no request is in progress. It accepts requests
 * until then.
 *
 * @param address on which it listens, as it was started.
 * @param drain_ms longest wait. What handlers reply later is not sent.
 */
void http_server_stop(struct mg_context *server, const char *address,
		      uint32_t drain_ms);

/**
 * Reads a request's body.
 *
 * @param bytes_max longer bodies are rejected.
 * @param body receives a NUL-terminated buffer that the caller frees, or NULL.
 * @return the body's length, -1 if it is too long or memory is short, -2 if it
 * is incomplete. After an error the connection is not kept alive.
 */
int64_t http_read_body(struct mg_connection *connection, uint32_t bytes_max,
		       char **body);

/**
 * Sends a complete reply.
 *
 * @param headers additional lines, each ending in CR LF, or NULL.
 */
void http_reply(struct mg_connection *connection, uint32_t status,
		const char *content_type, const char *headers, const char *body,
		uint32_t body_bytes);

/** Sends a JSON value and drops the caller's reference to it. */
void http_reply_json(struct mg_connection *connection, uint32_t status,
		     const char *headers, json_t *value);

/**
 * Sends {"error": what, "remedy": remedy}.
 */
void http_reply_error(struct mg_connection *connection, uint32_t status,
		      const char *headers, const char *what, const char *remedy);

/**
 * Reads a parameter of the query string.
 *
 * @param value receives the decoded value, or an empty string.
 * @return whether the parameter is present and fits.
 */
bool http_query_parameter(const struct mg_connection *connection,
			  const char *name, char *value, uint32_t value_bytes);

/** @return the reason phrase of a status code. */
const char *http_reason_phrase(uint32_t status);

#endif
