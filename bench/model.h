#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include <glib.h>
#include <stdint.h>

#include "bench_defs.h"

/**
 * @file
 * A discrete-event model of one region: entry VMs that do not see each other's
 * requests, and backend servers with few slots that refuse requests when all of
 * them are busy. Time is simulated, in microseconds; the same seed gives the
 * same results.
 */

enum model_policy {
	MODEL_ONE_QUEUE, /**< ideal: one shared queue for all slots */
	MODEL_RANDOM,
	MODEL_ROUND_ROBIN,
	MODEL_LEAST_IN_FLIGHT, /**< by the entry VM's own count */
	MODEL_TWO_CHOICES,     /**< of two random ones, by the same count */
	MODEL_PICK,	       /**< src/decide/pick.c */
	MODEL_OWNED,	       /**< each slot owned by one VM, not lent */
	MODEL_LEND,	       /**< src/decide/lend.c */
	MODEL_POLICY_COUNT,
};

extern const char *const model_policy_names[MODEL_POLICY_COUNT];

struct model_options {
	enum model_policy policy;
	uint32_t entry_count;
	uint32_t server_count;
	uint32_t slots; /**< of each server */
	double load;	/**< offered load, as a fraction of all slots */
	double mean_service_us;
	double sigma; /**< of the log-normal service times */
	uint32_t request_count;
	uint32_t owners_queried; /**< VMs a waiting request asks for a slot */
	uint32_t slow_server_count; /**< these take four times as long */
	guint32 seed;
};

struct model_result {
	struct samples overhead; /**< response time less service time */
	uint64_t responses;
	uint64_t refusals;
	uint64_t messages;	/**< sent between entry VMs */
	uint64_t double_grants; /**< requests granted a slot in use */
};

/** Runs the model. The caller frees `result->overhead` by samples_free(). */
void model_run(const struct model_options *options, struct model_result *result);

#endif
