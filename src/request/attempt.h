#ifndef REQUEST_ATTEMPT_H
#define REQUEST_ATTEMPT_H

#include <event2/buffer.h>

#include "decide/outcome.h"
#include "net/http_stream.h"
#include "proxy/proxy_defs.h"
#include "request/message_defs.h"

/**
 * @file
 * One attempt to send a request to a backend server, or to the entry VM that is
 * assigned to it. What is learned of backend servers, such as their load, is
 * not recorded for an entry VM.
 *
 * A response is buffered until it is complete, so that the request can be
 * retried if the response breaks off. A response too large to buffer is
 * streamed once `buffer_full` has been called.
 */

struct attempt;

struct attempt_events {
	/** The response exceeds the buffer; the owner starts to forward it. */
	void (*buffer_full)(void *context, struct attempt *attempt);
	/** attempt_body() holds more of a streamed response. */
	void (*body_ready)(void *context, struct attempt *attempt);
	/** The attempt has ended; the owner frees it. */
	void (*done)(void *context, struct attempt *attempt,
		     enum attempt_end end);
};

/** The request to send. Must stay valid until the attempt ends. */
struct attempt_request {
	const char *id;
	const char *method;
	/** Request line and headers, without those that depend on the
	 * server. */
	struct evbuffer *head;
	struct evbuffer *body;
	bool runs_once;	       /**< must not run twice */
	const char *workspace; /**< name of the caller's; NULL: none */
	uint32_t send_count;   /**< earlier sends, told to an entry VM */
	int64_t deadline_ms;   /**< clock time; the server may stop after it */
	/** Responses up to this size are buffered until they are complete; 0:
	 * the default. */
	uint32_t buffered_bytes_max;
};

/** @return an attempt that the caller frees, or NULL if nothing was sent. */
struct attempt *attempt_start(struct proxy *proxy, struct server *server,
			      const struct attempt_request *request,
			      const struct attempt_events *events, void *context);

/** Frees the attempt. If it is in progress, closes its connection. */
void attempt_free(struct attempt *attempt);

struct server *attempt_server(const struct attempt *attempt);
/** @return whether the request was sent. */
bool attempt_was_sent(const struct attempt *attempt);
/** @return whether it was not sent because its server asked for a pause, which
 * is no failure of the server. */
bool attempt_was_withheld(const struct attempt *attempt);
/** @return time since the attempt began, in ms. */
int64_t attempt_elapsed_ms(const struct attempt *attempt);
/** @return whether the attempt uses an existing connection from the pool. */
bool attempt_reused_connection(const struct attempt *attempt);

/** @return whether the head of the response was received. */
bool attempt_response_started(const struct attempt *attempt);
/** @return whether the response says that the request has not run. */
bool attempt_is_refused(const struct attempt *attempt);
/** @return whether an entry VM wants this one to place the request. */
bool attempt_is_declined(const struct attempt *attempt);
/** @return the headers of the response, decoded; its texts are not valid. */
const struct response_meta *attempt_meta(const struct attempt *attempt);

/** Status, header lines and body of the response received so far. */
uint16_t attempt_status(const struct attempt *attempt);
struct evbuffer *attempt_headers(struct attempt *attempt);
struct evbuffer *attempt_body(struct attempt *attempt);
/** @return the response's Content-Length; -1: none. */
int64_t attempt_expected_body_bytes(const struct attempt *attempt);

/** Pauses or resumes reading the response. */
void attempt_pause_reading(struct attempt *attempt, bool paused);

#endif
