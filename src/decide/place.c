#include "decide/place.h"

#include <math.h>
#include <xxhash.h>

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

/* Classes of candidates, best first; a request leaves one class only when
 * nothing in it has room. */
static uint32_t class_of(const struct place_candidate *candidate)
{
	bool room = candidate->load < candidate->slots;

	if (!room)
		return 4;
	return (candidate->avoid ? 2 : 0) + (candidate->near ? 0 : 1);
}

struct place_choice place_choose(const struct place_candidate *candidates,
				 uint32_t count,
				 const struct place_request *request)
{
	struct place_choice choice = { PLACE_NO_SERVER, 0, 0 };
	uint32_t best_class = UINT32_MAX;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct place_candidate *candidate = &candidates[i];
		uint32_t class;
		double score;

		if (candidate->barred || !candidate->slots)
			continue;
		class = class_of(candidate);
		if (class > best_class)
			continue;
		if (class == 4)
			score = -(double)wait_ms(candidate,
						 request->service_time_ms) -
				(candidate->avoid ? 1e6 : 0);
		else if (request->sticky)
			score = rank_score(request->object_hash, candidate);
		else
			score = -(double)candidate->load / candidate->slots;
		if (class == best_class && score <= best_score)
			continue;
		best_class = class;
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
