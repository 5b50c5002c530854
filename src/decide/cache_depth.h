#ifndef DECIDE_CACHE_DEPTH_H
#define DECIDE_CACHE_DEPTH_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/recent_objects.h"
#include "decide/run_time.h"

/**
 * @file
 * Estimates how many of the objects last requested the servers of a service
 * have cached, from the run times that the only VM that sends to them observes.
 *
 * Load patterns: a service caches 10 to 15 objects, another one 27 and more;
 * one run in seven takes 2.5 times as long, so that a hit looks like a miss. No
 * I/O, no locking.
 */

#define CACHE_DEPTH_INITIAL 10

/** All zeros: nothing observed. */
struct cache_depth {
	/** for each position, how much more likely its runs are if the server
	 * caches the object there (logarithm) */
	double evidence[RECENT_OBJECTS_MAX];
	double shift; /**< of the estimate from CACHE_DEPTH_INITIAL */
};

/**
 * Records a run that did not wait at the server and was no retry.
 *
 * @param position of its object in the server's recent objects when it was
 * sent; RECENT_OBJECTS_ABSENT says nothing.
 * @param time mean run times of its route; without both it says nothing.
 * @param work_percent run time at that server at the time, 100 being usual.
 */
void cache_depth_record(struct cache_depth *depth, uint32_t position,
			const struct run_time *time, int64_t run_ms,
			uint32_t work_percent);

/** @return the estimated number of cached objects, 1 to RECENT_OBJECTS_MAX. */
uint32_t cache_depth_objects(const struct cache_depth *depth);

/** @return whether a server has an object cached. */
bool cache_depth_contains(const struct cache_depth *depth, uint32_t position);

/** @return whether it still has if the estimate is twice as high as it is. */
bool cache_depth_contains_surely(const struct cache_depth *depth,
				 uint32_t position);

#endif
