#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <glib.h>

#include "fleet.h"

/**
 * @file
 * Callers that resolve entry VMs through the directory and record the outcome
 * of each request. A third of them query the directory and connect for each
 * request, and another third connect for each and keep a lookup result for three
 * times its TTL. The others keep their connections until the VM closes them or
 * fails, half of these also to a VM that the directory has stopped naming.
 */

/** The outcome of one request as the caller saw it. */
struct call_record {
	char id[24];
	uint32_t vm;
	bool order;
	bool sent;	      /**< sent on an established connection */
	bool mismatched;      /**< 200, but not the response to this request */
	bool versioned_route; /**< to the route added by a version */
	bool fresh;   /**< on a new connection, after a lookup of its own */
	bool stamped; /**< the response is a server's */
	bool reads_slowly; /**< see slow_callers.h */
	uint16_t status;   /**< 0: connection ended or timeout */
	uint32_t limit_ms; /**< the shorter of its deadline and the route's */
	int64_t began_ms;  /**< since the callers started */
	int64_t ended_ms;
};

struct callers;

/**
 * Starts `count` callers, and `slow_count` of slow_callers.h.
 *
 * @param version_age_min_ms callers use the routes of a configuration version
 * only after it has been published for this long.
 */
struct callers *callers_new(struct fleet *fleet, uint32_t count,
			    uint32_t slow_count, int64_t version_age_min_ms);
void callers_free(struct callers *callers);

/** Lets requests in progress finish and starts no new ones. */
void callers_stop(struct callers *callers);

/** @return whether a request is still in progress. */
bool callers_are_waiting(const struct callers *callers);

/** Records requests that are still in progress as unanswered. */
void callers_give_up(struct callers *callers);

/** Records that configuration `version` was published now. */
void callers_mark_published(struct callers *callers, uint32_t version);

/** Clears a record, and gives it an ID and the time. */
void callers_begin_record(struct callers *callers, struct call_record *record);
/** Adds the record of a request that has ended now. */
void callers_end_record(struct callers *callers, struct call_record *record);

/** @return the finished requests, as struct call_record. */
const GArray *callers_records(const struct callers *callers);

/** @return milliseconds since the callers started. */
int64_t callers_elapsed_ms(const struct callers *callers);

#endif
