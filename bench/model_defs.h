#ifndef BENCH_MODEL_DEFS_H
#define BENCH_MODEL_DEFS_H

#include "decide/lend.h"
#include "decide/pick.h"
#include "model.h"

/**
 * @file
 * State of the model of one region, shared by its source files.
 */

#define MODEL_ENTRIES_MAX 64
#define MODEL_SERVERS_MAX 64

struct model_request {
	int64_t arrived_us;
	int64_t service_us;
	uint32_t entry;
	uint32_t tried[MODEL_SERVERS_MAX];
	uint32_t tried_count;
	uint32_t slot_index; /* owned or borrowed slot that it uses */
	uint32_t queried[MODEL_ENTRIES_MAX];
	uint32_t queried_count;
};

struct model {
	const struct model_options *options;
	struct model_result *result;
	GRand *random;
	GSequence *events;
	uint64_t event_count;
	int64_t now_us;
	struct model_request *requests;
	uint32_t busy[MODEL_SERVERS_MAX]; /* slots in use, by server */
	GQueue queue;			  /* of MODEL_ONE_QUEUE */
	struct pick_server view[MODEL_ENTRIES_MAX][MODEL_SERVERS_MAX];
	uint32_t round_robin_last[MODEL_ENTRIES_MAX];
	struct lend lend[MODEL_ENTRIES_MAX];
	uint32_t preferred_owner[MODEL_ENTRIES_MAX]; /* granted last */
};

/** @return the simulated time in milliseconds. */
static inline int64_t model_now_ms(const struct model *model)
{
	return model->now_us / 1000;
}

#endif
