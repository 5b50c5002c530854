#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <glib.h>

#include "fleet.h"

/**
 * @file
 * Callers that ask the directory, keep their connections until the VM closes
 * them or is gone, and note what came of each request.
 */

/** What a caller saw. */
struct seen {
	char id[24];
	uint32_t vm;
	bool order;
	bool sent;    /**< the whole request was handed over */
	bool foreign; /**< a success that is not the answer to this request */
	bool newer_route; /**< asks for a route of a version that is old enough */
	uint16_t status;  /**< 0: the connection ended, or nothing came */
	int64_t began_ms; /**< of the soak */
	int64_t ended_ms;
};

struct callers;

/** @param version_age_ms a version may be asked for when it is so old. */
struct callers *callers_new(struct fleet *fleet, uint32_t count,
			    int64_t version_age_ms);
void callers_free(struct callers *callers);

/** Lets callers end what they do and begin nothing new. */
void callers_stop(struct callers *callers);

/** Tells the callers that a version was published now. */
void callers_published(struct callers *callers, uint32_t version);

/** @return what was seen, of struct seen. */
const GArray *callers_seen(const struct callers *callers);

/** @return time since the callers began, in ms. */
int64_t callers_now_ms(const struct callers *callers);

#endif
