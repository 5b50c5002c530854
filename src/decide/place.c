#include "decide/place.h"

#include <string.h>

#include "decide/rendezvous.h"

/* Kinds of candidates, best first. A worse kind is used only if there is no
 * server of a better kind: a long queue on a healthy server does not justify
 * loading an object into the cache of a slow or leaving one. */
enum kind { KIND_HEALTHY, KIND_AVOIDED, KIND_COLD, KIND_MISSING, KINDS };

enum side { SIDE_PREFERRED, SIDE_OTHER, SIDES };

/* Servers per side to which the requests for an object go. With more, each
 * server would get requests for more objects than it can cache, and all of them
 * would run slowly. */
#define SERVERS_PER_OBJECT 1

uint32_t place_wait_ms(uint32_t load, uint32_t slots, uint32_t service_ms)
{
	if (load < slots)
		return 0;
	return (uint32_t)((uint64_t)(load - slots + 1) * service_ms / slots);
}

static enum kind candidate_kind(const struct place_candidate *candidate)
{
	if (candidate->missing)
		return KIND_MISSING;
	if (candidate->cold)
		return KIND_COLD;
	return candidate->avoid ? KIND_AVOIDED : KIND_HEALTHY;
}

static double candidate_score(const struct place_candidate *candidate,
			      const struct place_request *request)
{
	if (request->sticky)
		return rendezvous_score(request->object_hash,
					candidate->server_hash, candidate->slots);
	return -(double)candidate->load / candidate->slots;
}

/* The candidates of a group with the highest scores, in descending order. */
struct shortlist {
	uint32_t indices[SERVERS_PER_OBJECT];
	double scores[SERVERS_PER_OBJECT];
	uint32_t count;
};

static void shortlist_add(struct shortlist *list, uint32_t index, double score)
{
	uint32_t position = list->count;

	while (position && score > list->scores[position - 1])
		position--;
	if (position == SERVERS_PER_OBJECT)
		return;
	if (list->count < SERVERS_PER_OBJECT)
		list->count++;
	memmove(&list->indices[position + 1], &list->indices[position],
		(list->count - 1 - position) * sizeof(list->indices[0]));
	memmove(&list->scores[position + 1], &list->scores[position],
		(list->count - 1 - position) * sizeof(list->scores[0]));
	list->indices[position] = index;
	list->scores[position] = score;
}

static uint32_t candidate_wait_ms(const struct place_candidate *candidate,
				  const struct place_request *request)
{
	uint32_t load = candidate->load;

	/* assume a queue of at least as many requests as slots */
	if (candidate->own_limit_reached && load < 2 * candidate->slots)
		load = 2 * candidate->slots;
	return place_wait_ms(load, candidate->slots, request->typical_ms);
}

/* The run time to allow for. A request that must end is promised a response,
 * and half of the runs take longer than the typical one, unless the object is
 * cached. */
static uint32_t candidate_run_ms(const struct place_candidate *candidate,
				 const struct place_request *request)
{
	if (candidate->cached || (!request->sticky && !request->must_end))
		return request->typical_ms;
	return request->slow_ms;
}

/* Chooses the server of a group with the shortest queue, or the highest ranked
 * one of several with free slots, if the response arrives in time. */
static bool choose_from(const struct shortlist *list,
			const struct place_candidate *candidates,
			const struct place_request *request,
			struct place_choice *choice)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		const struct place_candidate *candidate =
			&candidates[list->indices[i]];
		uint32_t wait_ms = candidate_wait_ms(candidate, request);
		uint32_t run_ms = candidate_run_ms(candidate, request);

		if (choice->result == PLACE_NO_SERVER) {
			choice->result = PLACE_NO_ROOM;
			choice->wait_ms = wait_ms;
		}
		if (choice->result == PLACE_NO_ROOM && wait_ms < choice->wait_ms)
			choice->wait_ms = wait_ms;
		if ((wait_ms || request->must_end) &&
		    (wait_ms + candidate->rtt_ms > request->wait_max_ms ||
		     wait_ms + candidate->rtt_ms + run_ms > request->remaining_ms))
			continue;
		if (choice->result == PLACE_SEND && wait_ms >= choice->wait_ms)
			continue;
		choice->result = PLACE_SEND;
		choice->index = list->indices[i];
		choice->wait_ms = wait_ms;
		break;
	}
	return choice->result == PLACE_SEND;
}

struct place_choice place_choose(const struct place_candidate *candidates,
				 uint32_t count,
				 const struct place_request *request)
{
	struct shortlist groups[KINDS][SIDES] = { 0 };
	struct place_choice choice = { PLACE_NO_SERVER, 0, 0, false };
	uint32_t busy_ms = 0; /* until the first server has room again */
	uint32_t kind;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct place_candidate *candidate = &candidates[i];
		enum side side = candidate->local != request->remote
					 ? SIDE_PREFERRED
					 : SIDE_OTHER;

		if (candidate->busy_ms) {
			if (!busy_ms || candidate->busy_ms < busy_ms)
				busy_ms = candidate->busy_ms;
			continue;
		}
		if (!candidate->excluded && candidate->slots)
			shortlist_add(&groups[candidate_kind(candidate)][side],
				      i, candidate_score(candidate, request));
	}
	for (kind = 0; kind < KINDS && choice.result == PLACE_NO_SERVER; kind++) {
		/* a long queue does not cause spillover, which is limited; but
		 * requests selected for spillover may run in this region */
		if (!choose_from(&groups[kind][SIDE_PREFERRED], candidates,
				 request, &choice) &&
		    (request->remote || choice.result == PLACE_NO_SERVER))
			choose_from(&groups[kind][SIDE_OTHER], candidates,
				    request, &choice);
	}
	if (choice.result == PLACE_NO_SERVER && busy_ms) {
		choice.result = PLACE_NO_ROOM;
		choice.wait_ms = busy_ms;
		choice.wait_is_stated = true;
	}
	return choice;
}
