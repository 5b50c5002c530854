#ifndef DECIDE_RESPONSE_MATCH_H
#define DECIDE_RESPONSE_MATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * Decides whether a response on a connection to a server answers the request
 * that was sent last. Servers may write a response twice, or other bytes behind
 * a response, and a request may be sent to a server more than once.
 *
 * A refusal proves that this send did not run only if it cannot stem from
 * anything that was sent on the connection before: either no response was read
 * there yet, or it bears the ID of a request that was not refused there before.
 * Pure functions.
 */

/** Refusals remembered for a connection; then it is not used again. */
#define RESPONSE_HISTORY_REFUSALS_MAX 8

/** What was received on a connection. */
struct response_history {
	uint64_t refused_ids[RESPONSE_HISTORY_REFUSALS_MAX]; /**< hashes */
	uint32_t refused_count;
	bool has_response; /**< a head was read, of whatever request */
};

enum response_match {
	RESPONSE_MATCHES,  /**< answers the request sent last */
	RESPONSE_OF_OTHER, /**< bears the ID of another request */
	RESPONSE_UNPROVED, /**< may stem from an earlier request */
};

/** Properties of a response's head. */
struct response_origin {
	const char *id; /**< request ID that it bears; NULL: none */
	bool refused;	/**< it states that the request did not run */
	/** The sender answers all that it has not read with it, and closes. */
	bool answers_unread;
};

/**
 * @param request_id of the request sent last.
 * @return whether the response answers it.
 */
enum response_match response_match(const struct response_history *history,
				   const struct response_origin *origin,
				   const char *request_id);

/** @return whether a refusal of a request with this ID would be a proof. NULL
 * is allowed as ID. */
bool response_history_allows(const struct response_history *history,
			     const char *request_id);

/**
 * Records that a request was refused.
 *
 * @return false if the connection must not be used again.
 */
MUST_USE bool response_history_add_refusal(struct response_history *history,
					   const char *request_id);

#endif
