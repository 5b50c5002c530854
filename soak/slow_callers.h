#ifndef SOAK_SLOW_CALLERS_H
#define SOAK_SLOW_CALLERS_H

#include "callers.h"

/**
 * @file
 * Callers that send large orders, each on a connection of its own, and read the
 * responses slowly but steadily, with a small receive buffer. Part of callers.h.
 */

struct slow_callers;

/** @param callers receives the records; must outlive the slow callers. */
struct slow_callers *slow_callers_new(struct fleet *fleet, uint32_t count,
				      struct callers *callers);
void slow_callers_free(struct slow_callers *slow);

/** Starts no new requests from now on. */
void slow_callers_stop(struct slow_callers *slow);

/** @return whether a request is still in progress. */
bool slow_callers_are_waiting(const struct slow_callers *slow);

/** Records requests that are still in progress as unanswered. */
void slow_callers_give_up(struct slow_callers *slow);

#endif
