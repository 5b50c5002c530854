#include "decide/pick.h"

#define RANDOM_SHIFT_BITS 32
#define PERMILLE_ALL 1000

static bool is_ejected(const struct pick_server *server, int64_t now_ms)
{
	return server->ejected_until_ms > now_ms;
}

/** @return slots available for requests; fewer during the slow start. */
static uint32_t open_slots(const struct pick_server *server, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - server->slow_start_began_ms;
	uint32_t open;

	if (!server->slow_start_began_ms || elapsed_ms >= PICK_SLOW_START_MS)
		return server->slots;
	open = (uint32_t)(server->slots * elapsed_ms / PICK_SLOW_START_MS);
	return open ? open : 1;
}

static bool is_usable(const struct pick_server *server, int64_t now_ms)
{
	return !server->leaving && !is_ejected(server, now_ms);
}

static bool has_room(const struct pick_server *server, int64_t now_ms)
{
	return server->in_flight < open_slots(server, now_ms) &&
	       server->full_until_ms <= now_ms;
}

static bool was_tried(uint32_t index, const uint32_t *tried, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (tried[i] == index)
			return true;
	return false;
}

/** @return whether a larger fraction of slots is free on `a` than on `b`. */
static bool is_freer(const struct pick_server *a, const struct pick_server *b,
		     int64_t now_ms)
{
	uint64_t open_a = open_slots(a, now_ms);
	uint64_t open_b = open_slots(b, now_ms);

	return (open_a - a->in_flight) * open_b >
	       (open_b - b->in_flight) * open_a;
}

struct choice {
	struct pick_server *servers;
	uint32_t count;
	const uint32_t *tried;
	uint32_t tried_count;
	int64_t now_ms;
};

static bool is_candidate(const struct choice *choice, uint32_t index, bool local)
{
	const struct pick_server *server = &choice->servers[index];

	return server->local == local && is_usable(server, choice->now_ms) &&
	       has_room(server, choice->now_ms) &&
	       !was_tried(index, choice->tried, choice->tried_count);
}

/** @return index of the `nth` candidate, counted from zero, or -1. */
static int nth_candidate(const struct choice *choice, uint32_t nth, bool local)
{
	uint32_t i;

	for (i = 0; i < choice->count; i++)
		if (is_candidate(choice, i, local) && !nth--)
			return (int)i;
	return -1;
}

static int choose_of_two(const struct choice *choice, uint64_t random, bool local)
{
	uint32_t candidates = 0;
	uint32_t i;
	int a, b;

	for (i = 0; i < choice->count; i++)
		candidates += is_candidate(choice, i, local);
	if (!candidates)
		return -1;
	a = nth_candidate(choice,
			  (uint32_t)(random >> RANDOM_SHIFT_BITS) % candidates,
			  local);
	b = nth_candidate(choice, (uint32_t)random % candidates, local);
	return is_freer(&choice->servers[b], &choice->servers[a], choice->now_ms)
		       ? b
		       : a;
}

/**
 * @return the server whose ejection ends first, or -1 if any server with a free
 * slot is not ejected.
 */
static int choose_ejected(const struct choice *choice)
{
	int best = -1;
	uint32_t i;

	for (i = 0; i < choice->count; i++) {
		const struct pick_server *server = &choice->servers[i];

		if (server->leaving || server->in_flight >= server->slots ||
		    was_tried(i, choice->tried, choice->tried_count))
			continue;
		if (!is_ejected(server, choice->now_ms))
			return -1;
		if (best < 0 || server->ejected_until_ms <
					choice->servers[best].ejected_until_ms)
			best = (int)i;
	}
	return best;
}

int pick_choose(struct pick_server *servers, uint32_t count,
		const uint32_t *tried, uint32_t tried_count, uint64_t random,
		int64_t now_ms)
{
	struct choice choice = { servers, count, tried, tried_count, now_ms };
	int index = choose_of_two(&choice, random, true);

	if (index < 0)
		index = choose_of_two(&choice, random, false);
	if (index < 0)
		index = choose_ejected(&choice);
	if (index >= 0)
		servers[index].in_flight++;
	return index;
}

bool pick_has_untried(const struct pick_server *servers, uint32_t count,
		      const uint32_t *tried, uint32_t tried_count, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (is_usable(&servers[i], now_ms) &&
		    !was_tried(i, tried, tried_count))
			return true;
	return false;
}

static bool may_eject(const struct pick_server *servers, uint32_t count,
		      int64_t now_ms)
{
	uint32_t ejected = 1;
	uint32_t i;

	for (i = 0; i < count; i++)
		ejected += is_ejected(&servers[i], now_ms);
	return ejected * PERMILLE_ALL <= count * PICK_EJECTED_MAX_PERMILLE;
}

static int64_t eject_duration_ms(uint32_t failures)
{
	int64_t ms = PICK_EJECT_MS;

	while (failures-- > PICK_FAILURES_TO_EJECT && ms < PICK_EJECT_MAX_MS)
		ms *= 2;
	return ms < PICK_EJECT_MAX_MS ? ms : PICK_EJECT_MAX_MS;
}

static void record_failure(struct pick_server *servers, uint32_t count,
			   uint32_t index, int64_t now_ms)
{
	struct pick_server *server = &servers[index];

	server->failures++;
	if (server->failures < PICK_FAILURES_TO_EJECT ||
	    is_ejected(server, now_ms) || !may_eject(servers, count, now_ms))
		return;
	server->ejected_until_ms = now_ms + eject_duration_ms(server->failures);
	server->slow_start_began_ms = server->ejected_until_ms;
}

void pick_finish(struct pick_server *servers, uint32_t count, uint32_t index,
		 enum pick_outcome outcome, int64_t now_ms)
{
	struct pick_server *server = &servers[index];

	if (server->in_flight)
		server->in_flight--;
	switch (outcome) {
	case PICK_RESPONDED:
		server->failures = 0;
		break;
	case PICK_REFUSED:
		server->full_until_ms = now_ms + PICK_FULL_MS;
		break;
	case PICK_FAILED:
		record_failure(servers, count, index, now_ms);
		break;
	case PICK_ABANDONED:
		break;
	}
}

uint32_t pick_free_slots(const struct pick_server *servers, uint32_t count,
			 int64_t now_ms)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (is_usable(&servers[i], now_ms) &&
		    has_room(&servers[i], now_ms))
			sum += open_slots(&servers[i], now_ms) -
			       servers[i].in_flight;
	return sum;
}

uint32_t pick_usable_slots(const struct pick_server *servers, uint32_t count,
			   int64_t now_ms)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (is_usable(&servers[i], now_ms))
			sum += open_slots(&servers[i], now_ms);
	return sum;
}
