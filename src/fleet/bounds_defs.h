#ifndef FLEET_BOUNDS_DEFS_H
#define FLEET_BOUNDS_DEFS_H

#include <stdint.h>

/** @file Bounds that the deployment sets on what the whole fleet does. */

struct bounds {
	/** Time from the notice of a leaving server to its last request. */
	uint32_t drain_ms;
	/** Time from SIGTERM to SIGKILL. */
	uint32_t stop_grace_ms;
	/** Repeats beyond the first send of each request, in a window. */
	double retry_ratio;
	uint32_t retry_extra;
	uint32_t retry_window_ms;
	/** A cold server may get `cold_per_s` times this, and a few more. */
	double cold_factor;
	uint32_t cold_extra;
	/** Longest time that callers keep an answer of the directory. */
	uint32_t directory_ttl_max_s;
	/** Part of a region's requests that may change region in a window. */
	double shift_max;
	/** An address may serve another service after this time. */
	uint32_t address_reuse_ms;
	/** Time without disruption after which bounds hold again. */
	uint32_t stability_ms;
};

#endif
