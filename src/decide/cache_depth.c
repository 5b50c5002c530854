#include "decide/cache_depth.h"

/* Logarithms of the likelihood ratios of a run that looks like a hit, and of
 * one that looks like a miss, if one hit in seven is slow and one miss in
 * twenty fast: ln(6/7 / (1/20)) and ln(19/20 / (1/7)). */
#define HIT_EVIDENCE 2.84
#define MISS_EVIDENCE 1.89
/* Evidence for the initial estimate at each position, so that a single fast run
 * at a position far behind it does not count. */
#define INITIAL_EVIDENCE 0.5
/* Runs after which evidence has lost two thirds of its weight: the number of
 * cached objects may change with the servers' version. */
#define RUNS_KEPT 1000
/* Part of the way to the most likely number that the estimate moves with each
 * run, so that a few runs do not move it far. */
#define STEP 0.05
/* Hits and misses are told apart only if a miss takes this many times as long:
 * run times vary by about 40%. */
#define RATIO_MIN 1.5

static uint32_t most_likely(const struct cache_depth *depth)
{
	double best_sum = 0;
	double sum = 0;
	uint32_t best = 1;
	uint32_t i;

	/* the last object is cached by any server */
	for (i = 1; i < RECENT_OBJECTS_MAX; i++) {
		sum += depth->evidence[i];
		sum += i < CACHE_DEPTH_INITIAL ? INITIAL_EVIDENCE
					       : -INITIAL_EVIDENCE;
		if (sum <= best_sum)
			continue;
		best_sum = sum;
		best = i + 1;
	}
	return best;
}

/* @return whether a run time is nearer, by ratio, to that of a hit. */
static bool is_hit(const struct run_time *time, double run_ms)
{
	return run_ms * run_ms < time->cached_ms * time->uncached_ms;
}

void cache_depth_record(struct cache_depth *depth, uint32_t position,
			const struct run_time *time, int64_t run_ms,
			uint32_t work_percent)
{
	double usual_ms =
		(double)run_ms * 100 / (work_percent ? work_percent : 100);
	uint32_t i;

	if (position >= RECENT_OBJECTS_MAX || !time->cached_ms ||
	    time->uncached_ms < RATIO_MIN * time->cached_ms)
		return;
	for (i = 0; i < RECENT_OBJECTS_MAX; i++)
		depth->evidence[i] *= 1 - 1.0 / RUNS_KEPT;
	depth->evidence[position] +=
		is_hit(time, usual_ms) ? HIT_EVIDENCE : -MISS_EVIDENCE;
	depth->shift += STEP * ((double)most_likely(depth) -
				CACHE_DEPTH_INITIAL - depth->shift);
}

uint32_t cache_depth_objects(const struct cache_depth *depth)
{
	return (uint32_t)(CACHE_DEPTH_INITIAL + depth->shift + 0.5);
}

bool cache_depth_contains(const struct cache_depth *depth, uint32_t position)
{
	return position < cache_depth_objects(depth);
}

bool cache_depth_contains_surely(const struct cache_depth *depth,
				 uint32_t position)
{
	return position < (cache_depth_objects(depth) + 1) / 2;
}
