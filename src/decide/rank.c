#include "decide/rank.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

uint64_t rank_hash(const char *text)
{
	return XXH64(text, strlen(text), 0);
}

static uint64_t score(const struct rank_candidate *candidate, uint64_t block)
{
	return XXH64(&candidate->name_hash, sizeof(candidate->name_hash), block);
}

static bool is_chosen(uint32_t index, const uint32_t *chosen, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (chosen[i] == index)
			return true;
	return false;
}

/**
 * @param other_domain_than excludes the failure domain of this candidate; may
 * be NULL.
 * @return the best candidate not chosen yet, or NULL.
 */
static const struct rank_candidate *
best_candidate(const struct rank_candidate *candidates, uint32_t count,
	       uint64_t block, const uint32_t *chosen, uint32_t chosen_count,
	       const struct rank_candidate *other_domain_than)
{
	const struct rank_candidate *best = NULL;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint64_t current = score(&candidates[i], block);

		if (best && current <= best_score)
			continue;
		if (is_chosen(candidates[i].index, chosen, chosen_count))
			continue;
		if (other_domain_than && candidates[i].failure_domain ==
						 other_domain_than->failure_domain)
			continue;
		best = &candidates[i];
		best_score = current;
	}
	return best;
}

uint32_t rank_choose(const struct rank_candidate *candidates, uint32_t count,
		     uint64_t block_hash, uint32_t *chosen, uint32_t chosen_max)
{
	const struct rank_candidate *first = NULL;
	const struct rank_candidate *next;
	uint32_t used = 0;

	while (used < chosen_max) {
		next = NULL;
		if (used == 1)
			next = best_candidate(candidates, count, block_hash,
					      chosen, used, first);
		if (!next)
			next = best_candidate(candidates, count, block_hash,
					      chosen, used, NULL);
		if (!next)
			break;
		if (!first)
			first = next;
		chosen[used++] = next->index;
	}
	return used;
}
