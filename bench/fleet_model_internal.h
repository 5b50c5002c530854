#ifndef BENCH_FLEET_MODEL_INTERNAL_H
#define BENCH_FLEET_MODEL_INTERNAL_H

#include <glib.h>
#include <math.h>

#include "decide/load.h"
#include "decide/object_cache.h"
#include "decide/service_time.h"
#include "decide/spillover.h"
#include "fleet_model.h"

/** @file State of the fleet model, shared by its source files. */

#define FLEET_REGIONS_MAX 8
#define FLEET_START_MS 1000000
#define FLEET_WINDOW_MS 2000
#define FLEET_WINDOWS_MAX 320

enum fleet_step_kind { STEP_ARRIVE, STEP_AT_SERVER, STEP_FINISH, STEP_CHANGE };

/** A request in progress. */
struct fleet_call {
	uint32_t region;
	uint32_t vm;
	uint32_t server;
	uint64_t object; /* hash */
	int64_t arrived_ms;
	uint32_t rtt_ms;
};

struct fleet_step {
	int64_t at_ms;
	uint64_t sequence; /* order of steps at the same time */
	enum fleet_step_kind kind;
	struct fleet_call *call;
	uint32_t index; /* of the region or the event */
};

struct fleet_server {
	uint32_t region;
	uint64_t hash;
	uint32_t running;
	uint32_t run_time_percent; /* of the usual one; 0: 100 percent */
	bool is_lost;
	GQueue waiting; /* struct fleet_call */
	GQueue objects; /* hashes, most recently used first */
};

/** One entry VM with its view of the fleet. */
struct fleet_vm {
	uint32_t region;
	struct load_view *loads; /* by server */
	struct spillover spillover;
	struct service_time run_times;
	struct object_cache object_cache;
};

struct fleet_region_state {
	uint32_t first_server;
	uint32_t first_vm;
	double arrivals_per_s;
	double next_arrival_ms;
	uint32_t request_count;
	uint32_t in_time;
	/* by window: requests placed, and the sum of the share that was to
	 * run in other regions, at each of them */
	uint32_t placed_count[FLEET_WINDOWS_MAX];
	double remote_share_sum[FLEET_WINDOWS_MAX];
};

struct fleet {
	const struct fleet_pattern *pattern;
	enum fleet_policy policy;
	GRand *random;
	GSequence *steps;
	uint64_t sequence;
	int64_t now_ms;
	int64_t last_quarter_ms;
	struct fleet_region_state regions[FLEET_REGIONS_MAX];
	struct fleet_server *servers;
	uint32_t server_count;
	struct fleet_vm *vms;
	uint32_t vm_count;
	uint64_t runs;
	uint64_t cached_runs;
	uint64_t busy_ms;
	struct fleet_result result;
};

struct fleet *fleet_new(const struct fleet_pattern *pattern,
			enum fleet_policy policy, uint32_t seed);
void fleet_free(struct fleet *fleet);

void fleet_schedule(struct fleet *fleet, int64_t at_ms, enum fleet_step_kind kind,
		    struct fleet_call *call, uint32_t index);

/** Chooses the call's server. @return false if the call is refused. */
bool fleet_place(struct fleet *fleet, struct fleet_call *call);

/**
 * Ends a call and frees it. The entry VM updates its view; if the server
 * `responded`, also with the load that the response reports.
 */
void fleet_finish_call(struct fleet *fleet, struct fleet_call *call,
		       bool responded);

/**
 * Puts the object at the head of the server's LRU cache of `capacity` objects.
 *
 * @return whether it was cached before.
 */
bool fleet_cache_access(struct fleet_server *server, uint64_t object,
			uint32_t capacity);

#endif
