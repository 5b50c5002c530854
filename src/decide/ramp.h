#ifndef DECIDE_RAMP_H
#define DECIDE_RAMP_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The pace at which a backend server that has just started or recovered gets
 * requests: a window of requests in progress that follows how it answers. No
 * I/O, no locking.
 */

/** All zeros: the server is warm, and only its slots limit it. */
struct ramp {
	bool active;
	double window; /**< requests that may be in progress */
};

/** The server has started or recovered. */
void ramp_begin(struct ramp *ramp);

/** @return the requests that may be in progress at once, at least 1. */
uint32_t ramp_window(const struct ramp *ramp, uint32_t slots);

#endif
