#ifndef FLEET_CONFIG_DEFS_H
#define FLEET_CONFIG_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The operator's configuration as the data path reads it. A configuration is
 * never changed once it is built; a request holds one from its first byte to
 * its last.
 */

struct service {
	char *name;
	char *health_path;
	uint32_t connections_max; /**< at one backend server, from all callers */
	uint32_t cold_start_ms;
	double cold_per_s; /**< requests a cold backend server bears */
};

/** One service of a route, with its share of the requests. */
struct route_part {
	const struct service *service;
	uint32_t weight;
};

struct route {
	char *name;
	char *host;
	char *prefix; /**< begins and ends with a slash */
	uint32_t prefix_bytes;
	bool idempotent;
	bool sticky; /**< requests of one object run faster at one server */
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t priority; /**< 0: the highest */
	bool most_urgent;  /**< no route of its services has a higher rank */
	uint32_t attempts_max; /**< backend servers a request may be sent to */
	struct route_part *parts;
	uint32_t part_count;
	char **home_regions; /**< none: any region */
	uint32_t home_region_count;
};

/** Bounds on what callers may send. */
struct caller_limits {
	uint32_t head_bytes_max;
	uint64_t body_bytes_max;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct config {
	uint32_t references; /**< loop's thread only */
	uint64_t version;
	struct service *services;
	uint32_t service_count;
	struct route *routes; /**< longest prefix first */
	uint32_t route_count;
	struct caller_limits limits;
};

#endif
