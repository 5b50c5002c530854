#ifndef DECIDE_SERVICE_TIME_H
#define DECIDE_SERVICE_TIME_H

#include <stdint.h>

/**
 * @file
 * How long requests run, as three points of their distribution.
 *
 * Load pattern: the first request of an object at a server runs several times
 * as long as those after it. The fast point plans where objects go: planning
 * with the slow ones would scatter objects and keep all of them slow. The slow
 * point tells whether a first request can finish in time: one that is cut off
 * has cost a slot for nothing. Pure.
 */

struct service_time {
	double fast_ms;	   /**< a fifth of the requests are faster */
	double typical_ms; /**< half of them are */
	double slow_ms;	   /**< nine tenths are */
	uint32_t answers;  /**< counted up to a bound */
};

/** Begins with a guess, until answers tell more. */
void service_time_init(struct service_time *time, uint32_t guess_ms);

/** Notes how long a request ran that did not wait at its server. */
void service_time_note(struct service_time *time, int64_t ran_ms);

#endif
