#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <glib.h>

#include "fleet.h"

/**
 * @file
 * Callers that resolve entry VMs through the directory, keep their connections
 * until the VM closes them or fails, and record the outcome of each request.
 */

/** The outcome of one request as the caller saw it. */
struct call_record {
	char id[24];
	uint32_t vm;
	bool order;
	bool sent;	      /**< sent on an established connection */
	bool mismatched;      /**< 200, but not the response to this request */
	bool versioned_route; /**< to the route added by a version */
	uint16_t status;      /**< 0: connection ended or timeout */
	int64_t began_ms;     /**< since the callers started */
	int64_t ended_ms;
};

struct callers;

/**
 * Starts `count` callers.
 *
 * @param version_age_min_ms callers use the routes of a configuration version
 * only after it has been published for this long.
 */
struct callers *callers_new(struct fleet *fleet, uint32_t count,
			    int64_t version_age_min_ms);
void callers_free(struct callers *callers);

/** Lets requests in progress finish and starts no new ones. */
void callers_stop(struct callers *callers);

/** Records that configuration `version` was published now. */
void callers_mark_published(struct callers *callers, uint32_t version);

/** @return the finished requests, as struct call_record. */
const GArray *callers_records(const struct callers *callers);

/** @return milliseconds since the callers started. */
int64_t callers_elapsed_ms(const struct callers *callers);

#endif
