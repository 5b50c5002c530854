#ifndef BENCH_FLEET_MODEL_H
#define BENCH_FLEET_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/schema.h"

/**
 * @file
 * A discrete-event model of a deployment: callers in several regions, entry VMs
 * that do not see each other's requests, and backend servers with slots, a
 * queue and a cache of objects. It runs the production code of src/decide/ in
 * simulated time, and other placement policies for comparison.
 */

struct fleet_region {
	uint32_t servers;
	uint32_t vms;
	uint32_t requests_per_s; /**< rate of its callers, before any event */
	uint32_t objects;	 /**< requested only by its callers */
};

/** A change of the load or the fleet at a point in time. */
struct fleet_event {
	char *kind; /**< "rate", "lose", "return" or "slow" */
	uint32_t at_ms;
	uint32_t region;
	uint32_t percent; /**< of the rate, the servers or the run time */
};

/** A load pattern, as read from a JSON file. */
struct fleet_pattern {
	char *name;
	struct fleet_region *regions;
	uint32_t region_count;
	struct fleet_event *events;
	uint32_t event_count;
	uint32_t slots; /**< of each server */
	uint32_t queue; /**< requests that wait at a server, at most */
	uint32_t object_cache_size; /**< objects in a server's cache */
	uint32_t uncached_run_ms;   /**< run time if the object is not cached */
	uint32_t cached_run_ms;	    /**< run time if the object is cached */
	uint32_t target_ms;	    /**< latency of a response in time */
	uint32_t timeout_ms;	    /**< of the route */
	uint32_t rtt_ms;	    /**< round-trip time between regions */
	uint32_t duration_ms;	    /**< simulated time */
};

extern const struct schema fleet_pattern_schema;

/** Policy that places requests on servers. */
enum fleet_policy {
	FLEET_AUBURNREACH,   /**< production code of src/decide/ */
	FLEET_LEAST_LOADED,  /**< lowest estimated load */
	FLEET_HASH,	     /**< highest hash, whatever its load */
	FLEET_HASH_OVERFLOW, /**< highest hash with a free slot */
	FLEET_POLICY_COUNT
};

struct fleet_result {
	uint32_t request_count;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;    /**< at once, for lack of room */
	uint32_t failed;     /**< timed out, or the server was lost */
	double cached_share; /**< of the runs: object was cached */
	/** Largest change between two successive windows of 2 s in the share of
	 * a region's requests that is to run in other regions. */
	double shift;
	/** Difference between the regions with the largest and the smallest
	 * share of requests that got a response in time. */
	double region_spread;
	/** Share of slot time in use, over the last quarter of the run. */
	double busy_share;
};

struct fleet_result fleet_model_run(const struct fleet_pattern *pattern,
				    enum fleet_policy policy, uint32_t seed);

/** @return the policy's name in tables. */
const char *fleet_policy_name(enum fleet_policy policy);

#endif
