#ifndef DECIDE_OUTCOME_H
#define DECIDE_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

#include "base/verdict_defs.h"

/**
 * @file
 * Interprets how an attempt ended: whether the request may have run, which
 * decides if it may be retried, and which status the caller gets. Pure
 * functions.
 */

enum attempt_end {
	ATTEMPT_ANSWERED,      /**< complete response of the server itself */
	ATTEMPT_FAILED,	       /**< the server ran it and responded with 5xx */
	ATTEMPT_REFUSED,       /**< the server states that it did not run it */
	ATTEMPT_OTHER_SERVER,  /**< the address belongs to another server */
	ATTEMPT_NOT_CONNECTED, /**< no byte of the request was sent */
	ATTEMPT_BROKEN,	       /**< sent; response missing or incomplete */
	ATTEMPT_SILENT,	       /**< sent; the server's host is unreachable */
	ATTEMPT_INVALID,       /**< sent; response is not the server's own */
	ATTEMPT_UNPROVED,      /**< sent; response may be to an earlier one */
	ATTEMPT_TIMED_OUT,     /**< sent; unfinished at the deadline */
};

/** Properties of a complete response. */
struct response_facts {
	uint16_t status;
	bool stamped; /**< carries the server's response stamp */
	bool not_run; /**< the server states that the request did not run */
	bool encoded; /**< the body was transformed on its way */
};

/** @return how an attempt with a complete response ended. */
enum attempt_end outcome_of_response(const struct response_facts *facts);

/** @return whether a status tells a caller that its request has not run, and
 * never will. */
bool outcome_status_means_not_run(uint16_t status);

/** @return what the attempt's end proves about execution of the request. */
enum verdict outcome_verdict(enum attempt_end end);

/** @return whether the attempt counts as a failure of the server. */
bool outcome_is_server_fault(enum attempt_end end);

/** @return the name used in logs. */
const char *outcome_text(enum attempt_end end);

/**
 * @param strongest the strongest verdict of all attempts of the request.
 * @param timed_out whether the deadline has passed.
 * @return the HTTP status for the caller when there is no response to forward.
 */
uint16_t outcome_http_status(enum verdict strongest, bool timed_out);

#endif
