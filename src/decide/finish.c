#include "decide/finish.h"

#include <glib.h>

#include "decide/rendezvous.h"

/* What a cache miss costs other requests, as a multiple of the slot time that
 * it takes beyond a hit, if all slots are occupied. It is more than 1 because
 * the object also evicts another one. */
#define MISS_COST 2.0
/* What a late response costs, as a multiple of the same. */
#define LATE_COST 0.7
/* Objects stay at their servers unless another one is faster by this part of
 * the run time, per step of rank. */
#define RANK_COST 0.1

/* Part of the expected time that must be left until the target for a request to
 * move its object: half of the runs take longer than the mean. */
#define MOVE_MARGIN 0.25

/* Requests per slot from which on a server counts as equally busy. */
#define BUSY_MAX 2.0

/* Servers with the highest scores for an object. */
struct ranks {
	uint32_t first;
	uint32_t second;
};

/* @return requests in progress and waiting per slot. */
static double load_of(const struct finish_server *server)
{
	return (double)(server->own_requests + server->others +
			server->ahead_count) /
	       server->window;
}

/* @return the share of all slots that is occupied. A long queue at one server
 * does not make the others busy. */
static double slots_in_use(const struct finish_server *servers, uint32_t count)
{
	double used = 0;
	double window = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (servers[i].excluded || !servers[i].window)
			continue;
		used += MIN(load_of(&servers[i]), 1) * servers[i].window;
		window += servers[i].window;
	}
	return window > 0 ? used / window : 0;
}

static struct ranks rank_servers(const struct finish_server *servers,
				 uint32_t count, uint64_t object_hash)
{
	struct ranks ranks = { UINT32_MAX, UINT32_MAX };
	double first = -1;
	double second = -1;
	uint32_t i;

	for (i = 0; i < count; i++) {
		double score = rendezvous_score(object_hash, servers[i].hash,
						servers[i].slots);

		if (servers[i].excluded)
			continue;
		if (score > first) {
			second = first;
			ranks.second = ranks.first;
			first = score;
			ranks.first = i;
		} else if (score > second) {
			second = score;
			ranks.second = i;
		}
	}
	return ranks;
}

static uint32_t wait_ms(const struct finish_server *server, uint32_t mean_ms)
{
	const double run_ms = (double)mean_ms * server->work_percent / 100;
	const uint32_t busy = server->own_requests + server->others;
	double before_ms;

	if (busy + server->ahead_count < server->window)
		return server->pause_ms;
	/* the slots become free one after the other */
	before_ms =
		server->ahead_ms + run_ms * (1 + (double)busy - server->window);
	if (before_ms < run_ms)
		before_ms = run_ms;
	return server->pause_ms + (uint32_t)(before_ms / server->window) + 1;
}

static uint32_t run_ms(const struct finish_server *server,
		       const struct finish_request *request)
{
	const bool is_hit = request->sticky && server->cached;

	return (uint32_t)((uint64_t)(is_hit ? request->cached_ms
					    : request->uncached_ms) *
			  server->work_percent / 100);
}

/* Beyond the time until the response. */
static double extra_cost(const struct finish_server *server,
			 const struct finish_request *request,
			 uint32_t finish_ms, double in_use)
{
	const double miss_ms = (double)request->uncached_ms - request->cached_ms;
	const double load = load_of(server);
	const double busy = MAX(in_use, MIN(load, BUSY_MAX));
	double cost = 0;

	if (finish_ms > request->target_ms)
		cost += LATE_COST * miss_ms;
	if (!request->sticky)
		return cost + RANK_COST * request->uncached_ms * load;
	if (!server->cached)
		cost += MISS_COST * miss_ms * busy * busy;
	return cost;
}

static double rank_cost(const struct ranks *ranks, uint32_t index,
			const struct finish_request *request)
{
	if (!request->sticky || index == ranks->first)
		return 0;
	return RANK_COST * request->cached_ms * (index == ranks->second ? 1 : 2);
}

static struct finish_choice estimate(const struct finish_server *server,
				     uint32_t index,
				     const struct finish_request *request)
{
	struct finish_choice choice = { .index = index };

	choice.wait_ms = wait_ms(server, request->mean_ms);
	choice.run_ms = run_ms(server, request);
	choice.finish_ms = choice.wait_ms + server->rtt_ms + choice.run_ms;
	choice.result = choice.wait_ms ? FINISH_WAIT : FINISH_SEND;
	return choice;
}

/* @return whether the object moves to the server that ranks first for it. */
static bool should_move(const struct finish_server *first,
			const struct finish_choice *choice,
			const struct finish_request *request)
{
	return request->sticky && first->takes_objects && !first->cached &&
	       choice->result == FINISH_SEND &&
	       choice->finish_ms <= request->deadline_ms &&
	       choice->finish_ms * (1 + MOVE_MARGIN) <= request->target_ms;
}

/* Chooses among the servers with this value of `avoid`. */
static struct finish_choice choose_among(const struct finish_server *servers,
					 uint32_t count,
					 const struct finish_request *request,
					 bool avoid)
{
	const struct ranks ranks =
		rank_servers(servers, count, request->object_hash);
	const double in_use = slots_in_use(servers, count);
	struct finish_choice best = { .result = FINISH_NO_SERVER };
	uint32_t shortest_wait_ms = UINT32_MAX;
	double best_cost = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct finish_server *server = &servers[i];
		struct finish_choice next;
		double cost;

		if (server->excluded || !server->window || server->avoid != avoid)
			continue;
		next = estimate(server, i, request);
		if (i == ranks.first && should_move(server, &next, request)) {
			next.moves = true;
			return next;
		}
		if (next.wait_ms < shortest_wait_ms)
			shortest_wait_ms = next.wait_ms;
		if (best.result == FINISH_NO_SERVER)
			best.result = FINISH_TOO_LATE;
		if (next.finish_ms > request->deadline_ms)
			continue;
		cost = next.finish_ms +
		       extra_cost(server, request, next.finish_ms, in_use) +
		       rank_cost(&ranks, i, request);
		if (best.result != FINISH_TOO_LATE && cost >= best_cost)
			continue;
		best_cost = cost;
		best = next;
	}
	if (best.result == FINISH_TOO_LATE)
		best.wait_ms = shortest_wait_ms;
	return best;
}

struct finish_choice finish_choose(const struct finish_server *servers,
				   uint32_t count,
				   const struct finish_request *request)
{
	struct finish_choice choice =
		choose_among(servers, count, request, false);
	struct finish_choice avoided;

	if (choice.result == FINISH_SEND || choice.result == FINISH_WAIT)
		return choice;
	avoided = choose_among(servers, count, request, true);
	return avoided.result == FINISH_NO_SERVER ? choice : avoided;
}
