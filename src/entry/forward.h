#ifndef ENTRY_FORWARD_H
#define ENTRY_FORWARD_H

#include "entry/entry_defs.h"

/**
 * @file
 * Sends one request to backend servers until it is answered or must end.
 *
 * A request that is not idempotent is sent again only after proof that the
 * attempt before did not run. An attempt costs a slot of its server; attempts
 * after the first are paid from the service's retry budget.
 */

#define REQUEST_ID_BYTES 96

/** One request of a caller and what came of it. */
struct exchange {
	const struct document *doc;
	const struct doc_service *service;
	char request_id[REQUEST_ID_BYTES];
	const char *method;
	const char *path; /**< with its query */
	char *headers;	  /**< lines that go on to the backend server */
	char *body;
	uint32_t body_bytes;
	int64_t deadline_ns;
	bool idempotent;
	bool passed;	      /**< another entry VM passed it on */
	uint64_t fingerprint; /**< of method, path and body */

	enum verdict verdict;
	struct http_answer answer; /**< status 0: none */
	const char *reason;	   /**< a static text when there is no answer */
	uint32_t status;	   /**< to send when there is no answer */
	uint32_t attempts;
};

/** Runs the exchange; fills in what came of it. Blocks up to its deadline. */
void forward_run(struct entry *entry, struct exchange *exchange);

/** Ends an exchange without an answer. */
void forward_refuse(struct exchange *exchange, enum verdict verdict,
		    uint32_t status, const char *reason);

/** Frees what the exchange owns. */
void forward_clear(struct exchange *exchange);

/**
 * @return whether the answer's request id, if any, is the exchange's.
 */
bool forward_answer_matches(const struct exchange *exchange,
			    const struct http_answer *answer);

#endif
