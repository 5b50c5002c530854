#include "decide/place.h"

#include <math.h>
#include <xxhash.h>

/* Groups of candidates, best first. A request leaves a group only when nobody
 * in it can take it. */
enum group {
	GROUP_PREFERRED_ROOM,
	GROUP_PREFERRED_AVOIDED,
	GROUP_PREFERRED_FULL,
	GROUP_OTHER_ROOM,
	GROUP_OTHER_AVOIDED,
	GROUP_OTHER_FULL,
	GROUP_NONE,
};

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

static uint32_t wait_ms(const struct place_candidate *candidate,
			uint32_t service_time_ms)
{
	uint32_t ahead;

	if (candidate->load < candidate->slots)
		return 0;
	ahead = candidate->load - candidate->slots + 1;
	return (uint32_t)((uint64_t)ahead * service_time_ms / candidate->slots);
}

static enum group group_of(const struct place_candidate *candidate,
			   const struct place_request *request)
{
	bool preferred = candidate->near != request->away;
	enum group group;

	if (candidate->barred || !candidate->slots)
		return GROUP_NONE;
	if (candidate->load >= candidate->slots)
		group = GROUP_PREFERRED_FULL;
	else if (candidate->avoid)
		group = GROUP_PREFERRED_AVOIDED;
	else
		group = GROUP_PREFERRED_ROOM;
	return preferred ? group : group + GROUP_OTHER_ROOM;
}

/* Larger is better within one group. */
static double score_of(const struct place_candidate *candidate,
		       const struct place_request *request, enum group group)
{
	if (group == GROUP_PREFERRED_FULL || group == GROUP_OTHER_FULL)
		return -(double)wait_ms(candidate, request->service_time_ms) -
		       (candidate->avoid ? request->time_left_ms : 0);
	if (request->sticky)
		return rank_score(request->object_hash, candidate);
	return -(double)candidate->load / candidate->slots;
}

struct place_choice place_choose(const struct place_candidate *candidates,
				 uint32_t count,
				 const struct place_request *request)
{
	struct place_choice choice = { PLACE_NO_SERVER, 0, 0 };
	enum group best_group = GROUP_NONE;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		enum group group = group_of(&candidates[i], request);
		double score;

		if (group == GROUP_NONE || group > best_group)
			continue;
		score = score_of(&candidates[i], request, group);
		if (group == best_group && score <= best_score)
			continue;
		best_group = group;
		best_score = score;
		choice.verdict = PLACE_SEND;
		choice.index = i;
	}
	if (choice.verdict != PLACE_SEND)
		return choice;
	choice.wait_ms = wait_ms(&candidates[choice.index],
				 request->service_time_ms);
	if (choice.wait_ms + request->service_time_ms > request->time_left_ms)
		choice.verdict = PLACE_NO_ROOM;
	return choice;
}
