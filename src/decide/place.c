#include "decide/place.h"

#include <math.h>
#include <xxhash.h>

/* Classes of candidates, best first: a request moves on to the next class only
 * when no queue in one is short enough. Distance counts before soundness as
 * far as the region goes: an avoided server is tried before another region. */
enum class {
	CLASS_SOUND = 0, /* plus the distance from the tier that is wanted */
	CLASS_AVOIDED = PLACE_TIERS,
	CLASS_COLD = 2 * PLACE_TIERS,
	CLASS_NONE = 3 * PLACE_TIERS,
};

/* Order in which tiers are tried, by the tier that is wanted. */
static const uint32_t distance[PLACE_TIERS][PLACE_TIERS] = {
	[PLACE_DOMAIN] = { 0, 1, 2 },
	[PLACE_REGION] = { 1, 0, 2 },
	[PLACE_FAR] = { 2, 1, 0 },
};

uint32_t place_wait_ms(uint32_t load, uint32_t slots, uint32_t service_ms)
{
	if (load < slots)
		return 0;
	return (uint32_t)((uint64_t)(load - slots + 1) * service_ms / slots);
}

/* Weighted rendezvous hashing: the share of objects that a server comes first
 * for is its share of the slots. */
static double rank_score(uint64_t object_hash,
			 const struct place_candidate *candidate)
{
	uint64_t pair[2] = { object_hash, candidate->server_hash };
	uint64_t hash = XXH3_64bits(pair, sizeof(pair));
	double unit = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;

	return -(double)candidate->slots / log(unit);
}

static uint32_t class_of(const struct place_candidate *candidate,
			 const struct place_request *request)
{
	uint32_t class = distance[request->tier][candidate->tier];

	if (candidate->barred || !candidate->slots)
		return CLASS_NONE;
	if (candidate->tier == PLACE_FAR && request->tier != PLACE_FAR &&
	    !request->far_allowed)
		return CLASS_NONE;
	if (candidate->cold)
		return class + CLASS_COLD;
	return class + (candidate->avoid ? CLASS_AVOIDED : CLASS_SOUND);
}

static double score_of(const struct place_candidate *candidate,
		       const struct place_request *request)
{
	if (request->sticky)
		return rank_score(request->object_hash, candidate);
	return -(double)candidate->load / candidate->slots;
}

struct place_choice place_choose(const struct place_candidate *candidates,
				 uint32_t count,
				 const struct place_request *request)
{
	struct place_choice choice = { PLACE_NO_SERVER, 0, UINT32_MAX };
	uint32_t best_class = CLASS_NONE;
	uint32_t least_wait_ms = UINT32_MAX;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct place_candidate *candidate = &candidates[i];
		uint32_t class = class_of(candidate, request);
		uint32_t wait_ms;
		double score;

		if (class == CLASS_NONE)
			continue;
		wait_ms = place_wait_ms(candidate->load, candidate->slots,
					request->service_ms);
		if (wait_ms < least_wait_ms)
			least_wait_ms = wait_ms;
		if (wait_ms > request->wait_max_ms ||
		    wait_ms + request->service_ms > request->time_left_ms)
			continue;
		if (class > best_class)
			continue;
		score = score_of(candidate, request);
		if (class == best_class && score <= best_score)
			continue;
		best_class = class;
		best_score = score;
		choice.index = i;
		choice.wait_ms = wait_ms;
	}
	if (best_class != CLASS_NONE) {
		choice.verdict = PLACE_SEND;
	} else if (least_wait_ms != UINT32_MAX) {
		choice.verdict = PLACE_NO_ROOM;
		choice.wait_ms = least_wait_ms;
	} else {
		choice.wait_ms = 0;
	}
	return choice;
}
