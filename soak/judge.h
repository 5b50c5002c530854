#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include <jansson.h>

#include "callers.h"
#include "plan.h"

/** @file What must have held, from what callers and backend servers saw. */

/** A machine is held to its bounds this long after the last fault, in ms. */
#define JUDGE_CALM_MS 4000

struct evidence {
	const struct soak_plan *plan;
	const GArray *seen; /**< of struct seen */
	json_t *runs;	    /**< request id to the servers that ran it */
	json_t *late;	    /**< runs at servers that had left for too long */
	int64_t served_from_ms; /**< from here on every request is served */
	uint32_t own_ends;
	uint32_t rss_early_kb; /**< the largest VM's memory, at first */
	uint32_t rss_max_kb;   /**< the same, at the end */
};

/** Prints a line for each promise that broke. @return how many. */
uint32_t judge(const struct evidence *evidence);

#endif
