#ifndef BENCH_MODEL_DEFS_H
#define BENCH_MODEL_DEFS_H

#include "decide/lend.h"
#include "decide/pick.h"
#include "model.h"

/**
 * @file
 * What the model's modules share.
 */

#define ENTRIES_MAX 64
#define SERVERS_MAX 64
struct request {
	int64_t arrived_us;
	int64_t service_us;
	uint32_t entry;
	uint32_t tried[SERVERS_MAX];
	uint32_t tried_count;
	uint32_t part; /* the lent or owned slot that it uses */
	uint32_t asked[ENTRIES_MAX];
	uint32_t asked_count;
};

struct model {
	const struct model_options *options;
	struct model_result *result;
	GRand *random;
	GSequence *events;
	uint64_t event_count;
	int64_t now_us;
	struct request *requests;
	uint32_t busy[SERVERS_MAX]; /* as the server counts */
	GQueue queue;		    /* of the one queue */
	struct pick_server view[ENTRIES_MAX][SERVERS_MAX];
	uint32_t turn[ENTRIES_MAX];
	struct lend lend[ENTRIES_MAX];
	uint32_t hint[ENTRIES_MAX]; /* the last owner that granted */
};

/** @return the model's time in milliseconds. */
static inline int64_t model_now_ms(const struct model *model)
{
	return model->now_us / 1000;
}

#endif
