#ifndef ENTRY_FORWARD_H
#define ENTRY_FORWARD_H

#include "entry/entry_defs.h"

/**
 * @file
 * Sends one request to backend servers, with retries, until one responds or no
 * further attempt is allowed.
 *
 * A non-idempotent request is retried only after proof that the previous
 * attempt did not run. Each attempt occupies a slot of its server; retries are
 * limited by the service's retry budget.
 */

#define REQUEST_ID_BYTES 96

/** A caller's request and its outcome. */
struct exchange {
	const struct document *doc;
	const struct doc_service *service;
	char request_id[REQUEST_ID_BYTES];
	const char *method;
	const char *path; /**< with the query string */
	char *headers;	  /**< header lines for the backend server; owned */
	char *body;	  /**< owned */
	uint32_t body_bytes;
	int64_t deadline_ns; /**< monotonic */
	bool idempotent;
	bool passed;	      /**< received from another entry VM */
	uint64_t fingerprint; /**< of method, path and body */

	enum verdict verdict;
	struct http_response response; /**< owned; status 0: no response */
	const char *reason;	       /**< static; why there is no response */
	uint32_t status; /**< HTTP status if there is no response */
	uint32_t attempts;
};

/**
 * Sends the exchange's request and fills in its outcome. Blocks up to the
 * exchange's deadline. Any thread.
 */
void forward_run(struct entry *entry, struct exchange *exchange);

/**
 * Ends an exchange without a response from a backend server.
 *
 * @param reason static text for the caller.
 */
void forward_refuse(struct exchange *exchange, enum verdict verdict,
		    uint32_t status, const char *reason);

/** Frees the headers, body and response of the exchange. */
void forward_clear(struct exchange *exchange);

/**
 * @return whether the response has no request id or the exchange's own.
 */
bool forward_response_matches(const struct exchange *exchange,
			      const struct http_response *response);

#endif
