#ifndef FLEET_BOUNDS_DEFS_H
#define FLEET_BOUNDS_DEFS_H

#include <stdint.h>

/** @file Limits that the deployment sets for the whole fleet. */

struct bounds {
	/** Time after which a draining server must get no more requests. */
	uint32_t drain_ms;
	/** Time from SIGTERM to SIGKILL. */
	uint32_t stop_grace_ms;
	/** Retry budget: retries in a window, as a ratio to the requests, plus
	 * the extra. */
	double retry_ratio;
	uint32_t retry_extra;
	uint32_t retry_window_ms;
	/** A cold server may get `cold_requests_per_s` times the factor, plus the extra. */
	double cold_factor;
	uint32_t cold_extra;
	/** Longest time for which callers cache a response of the directory. */
	uint32_t directory_ttl_max_s;
	/** Fraction of a region's requests that may shift in a window. */
	double shift_max;
	/** Time after which an address may be reused by another service. */
	uint32_t address_reuse_ms;
	/** Time without disruption after which the limits apply again. */
	uint32_t stability_ms;
};

#endif
