#ifndef DECIDE_SERVICE_TIME_H
#define DECIDE_SERVICE_TIME_H

#include <stdint.h>

/**
 * @file
 * Estimates three quantiles of the service time of requests.
 *
 * Load pattern: the first request for an object on a server runs several times
 * as long as later ones, which find the object cached. Placement of objects is
 * based on the fast quantile: slower ones would spread the objects over more
 * servers, and then requests for all of them would stay slow. The slow quantile
 * tells whether a first request can finish in time: a request that times out
 * has used a slot for nothing. No I/O, no locking.
 */

struct service_time {
	double fast_ms;	       /**< 20th percentile */
	double typical_ms;     /**< median */
	double slow_ms;	       /**< 90th percentile */
	uint32_t sample_count; /**< stops counting after the initial phase */
};

/** Sets all quantiles to an initial estimate; 0 is taken as 1 ms. */
void service_time_init(struct service_time *time, uint32_t initial_ms);

/** Samples after which the quantiles are no longer mostly the first estimate. */
#define SERVICE_TIME_SAMPLES_MIN 16

/**
 * Takes over the quantiles that another entry VM has measured. VMs that hand
 * off all requests of a route measure none themselves.
 */
void service_time_adopt(struct service_time *time, uint32_t fast_ms,
			uint32_t slow_ms);

/**
 * Updates the quantiles with the service time of a request that did not wait in
 * its server's queue.
 */
void service_time_record(struct service_time *time, int64_t run_ms);

#endif
