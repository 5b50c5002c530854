#ifndef DECIDE_RUN_TIME_H
#define DECIDE_RUN_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/service_time.h"

/**
 * @file
 * Mean run times of a route's requests whose object the server has cached and
 * of others, as measured by the only VM that sends to the server.
 *
 * Load pattern: nine of ten requests find their object cached, so that no
 * quantile of all run times tells what a cache miss costs. No I/O, no locking.
 */

/** All zeros: nothing measured. */
struct run_time {
	double cached_ms;
	double uncached_ms;
};

/**
 * Records a run.
 *
 * @param work_percent run time at that server at the time, 100 being usual.
 */
void run_time_record(struct run_time *time, bool cached, int64_t run_ms,
		     uint32_t work_percent);

/** @return the expected run time at the usual speed, at least 1; `fallback` is
 * used for what was not measured. */
uint32_t run_time_expected_ms(const struct run_time *time,
			      const struct service_time *fallback, bool cached);

#endif
