#ifndef TEST_UNIT_DECIDE_JOINING_FLEET_H
#define TEST_UNIT_DECIDE_JOINING_FLEET_H

#include <glib.h>
#include <math.h>

#include "decide/assign.h"
#include "decide/cold_share.h"
#include "decide/finish.h"
#include "decide/ramp.h"
#include "decide/recent_objects.h"

/**
 * @file
 * Model of three entry VMs with ten servers in sum, each of which caches the
 * last 10 to 15 objects, at a third of their capacity. Objects are mapped to
 * servers by rendezvous hashing, and each VM places its requests at its
 * servers. One server joins, and is compared with the same server in a run with
 * the same requests in which it has been warm all the time.
 */

#define FLEET_SERVERS 10
#define FLEET_VMS 3
#define FLEET_OBJECTS 130
/* Popularity of the nth object, relative to the first: n to the power of -0.8 */
#define FLEET_SKEW 0.8
#define FLEET_UTILIZATION (1 / 3.0)
#define FLEET_MISS_FACTOR 3.3
#define FLEET_KNOWN_DEPTH 10
#define FLEET_STEP_MS 5
#define FLEET_JOIN_MS 15000
#define FLEET_DOWN_MS 5000 /* of a server that recovers */
#define FLEET_COLD_MS 3000
#define FLEET_COLD_PER_S 5.7
#define FLEET_COLD_SLOTS_PART 0.25
#define FLEET_END_MS (FLEET_JOIN_MS + 15000)
/* Period over which the joined server's share is measured. */
#define FLEET_SHARE_MS 2000
#define FLEET_JOINED 0

enum fleet_case {
	FLEET_STARTS,	/* cold, with nothing cached */
	FLEET_RECOVERS, /* after 5 s, with its cache */
	FLEET_WARM,	/* all the time */
};

struct fleet_request {
	uint64_t object;
	int64_t arrived_ms;
	int64_t sent_ms;
	int64_t end_ms;
	uint32_t target_ms;
	uint32_t server;
	bool hit;
};

struct fleet_server {
	uint64_t hash;
	uint32_t cached_objects;
	struct recent_objects recent;
	struct ramp ramp;
	int64_t cold_until_ms;
	int64_t cold_sent_ms;
	bool down;
	uint32_t own_requests;
	uint32_t sent_at[FLEET_END_MS / 100]; /* per 100 ms */
};

struct fleet {
	enum fleet_case kind;
	bool moves; /* whether objects move to the server that joins */
	uint32_t slots;
	double cached_ms;
	GRand *arrivals;
	GRand *run_times;
	int64_t now_ms;
	struct fleet_server servers[FLEET_SERVERS];
	GArray *waiting;		  /* struct fleet_request, of all VMs */
	GArray *running;		  /* struct fleet_request */
	double popularity[FLEET_OBJECTS]; /* cumulated */
	/* of the other servers, after it joined */
	double others_ms;
	uint32_t others;
	uint32_t late; /* of all servers */
	uint32_t refused;
};

static void fleet_choose_popularity(struct fleet *fleet)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < FLEET_OBJECTS; i++) {
		sum += pow(i + 1, -FLEET_SKEW);
		fleet->popularity[i] = sum;
	}
	for (i = 0; i < FLEET_OBJECTS; i++)
		fleet->popularity[i] /= sum;
}

static uint64_t fleet_draw_object(struct fleet *fleet)
{
	const double drawn = g_rand_double(fleet->arrivals);
	uint64_t i = 0;

	while (fleet->popularity[i] < drawn)
		i++;
	return i * 2654435761U + 17;
}

static uint32_t fleet_find_vm(const struct fleet *fleet, uint64_t object)
{
	struct assign_target targets[FLEET_SERVERS];
	uint32_t i;

	for (i = 0; i < FLEET_SERVERS; i++) {
		const struct fleet_server *server = &fleet->servers[i];
		const bool cold = server->cold_until_ms > fleet->now_ms;

		targets[i] = (struct assign_target){
			.hash = server->hash,
			.weight = fleet->slots *
				  (cold ? FLEET_COLD_SLOTS_PART : 1.0),
			/* a recovered server was listed all the time */
			.excluded = server->down && fleet->kind == FLEET_STARTS,
		};
	}
	return assign_object(object, targets, FLEET_SERVERS) % FLEET_VMS;
}

static uint32_t fleet_pause_ms(const struct fleet *fleet,
			       const struct fleet_server *server)
{
	const struct sender_rank rank = { .kind = SENDER_ASSIGNED };
	int64_t pause_ms;

	if (server->cold_until_ms <= fleet->now_ms)
		return 0;
	pause_ms = server->cold_sent_ms +
		   cold_share_min_interval_ms(&rank, FLEET_COLD_PER_S) -
		   fleet->now_ms;
	return (uint32_t)MAX(pause_ms, 0);
}

/* Chooses among the servers of the VM, taking those that wait before it into
 * account. */
static struct finish_choice fleet_place(struct fleet *fleet,
					const struct fleet_request *request,
					uint32_t ahead)
{
	const uint32_t vm = fleet_find_vm(fleet, request->object);
	struct finish_server states[FLEET_SERVERS] = { 0 };
	const int64_t age_ms = fleet->now_ms - request->arrived_ms;
	const struct finish_request wanted = {
		.object_hash = request->object,
		.sticky = true,
		.cached_ms = (uint32_t)fleet->cached_ms,
		.uncached_ms = (uint32_t)(fleet->cached_ms * FLEET_MISS_FACTOR),
		.mean_ms = (uint32_t)fleet->cached_ms,
		.target_ms = (uint32_t)MAX(request->target_ms - age_ms, 0),
		.deadline_ms = (uint32_t)MAX(3 * request->target_ms - age_ms, 0),
	};
	uint32_t i;

	for (i = 0; i < FLEET_SERVERS; i++) {
		const struct fleet_server *server = &fleet->servers[i];
		uint32_t position;

		position = recent_objects_position(&server->recent,
						   request->object);
		states[i] = (struct finish_server){
			.hash = server->hash,
			.slots = fleet->slots,
			.window = ramp_window(&server->ramp, fleet->slots),
			.own_requests = server->own_requests,
			.work_percent = 100,
			.rtt_ms = 1,
			.pause_ms = fleet_pause_ms(fleet, server),
			.cached = position < FLEET_KNOWN_DEPTH,
			.excluded = server->down || i % FLEET_VMS != vm,
			.takes_objects =
				fleet->moves &&
				position == RECENT_OBJECTS_ABSENT &&
				ramp_has_joined(&server->ramp, fleet->now_ms),
		};
	}
	for (i = 0; i < ahead; i++) {
		const struct fleet_request *other =
			&g_array_index(fleet->waiting, struct fleet_request, i);

		states[other->server].ahead_count++;
		states[other->server].ahead_ms += wanted.cached_ms;
	}
	return finish_choose(states, FLEET_SERVERS, &wanted);
}

static void fleet_send(struct fleet *fleet, struct fleet_request request,
		       uint32_t index)
{
	struct fleet_server *server = &fleet->servers[index];
	double run_ms =
		fleet->cached_ms * exp(0.35 *
				       (g_rand_double(fleet->run_times) +
					g_rand_double(fleet->run_times) +
					g_rand_double(fleet->run_times) - 1.5) *
				       2);

	request.hit = recent_objects_position(&server->recent, request.object) <
		      server->cached_objects;
	request.server = index;
	request.sent_ms = fleet->now_ms;
	if (!request.hit)
		run_ms *= FLEET_MISS_FACTOR;
	request.end_ms = fleet->now_ms + (int64_t)run_ms + 1;
	recent_objects_record(&server->recent, request.object);
	server->own_requests++;
	server->sent_at[fleet->now_ms / 100]++;
	server->cold_sent_ms = fleet->now_ms;
	g_array_append_val(fleet->running, request);
}

static void fleet_place_waiting(struct fleet *fleet)
{
	guint i = 0;

	while (i < fleet->waiting->len) {
		struct fleet_request *request =
			&g_array_index(fleet->waiting, struct fleet_request, i);
		const struct finish_choice choice =
			fleet_place(fleet, request, i);

		request->server = choice.index;
		if (choice.result == FINISH_WAIT) {
			i++;
			continue;
		}
		if (choice.result == FINISH_SEND)
			fleet_send(fleet, *request, choice.index);
		else
			fleet->refused++;
		g_array_remove_index(fleet->waiting, i);
	}
}

static void fleet_end_requests(struct fleet *fleet)
{
	guint i = 0;

	while (i < fleet->running->len) {
		const struct fleet_request *request =
			&g_array_index(fleet->running, struct fleet_request, i);
		struct fleet_server *server = &fleet->servers[request->server];
		const int64_t run_ms = request->end_ms - request->sent_ms;
		const bool listed_now = fleet->kind == FLEET_STARTS &&
					request->server == FLEET_JOINED &&
					fleet->now_ms < FLEET_JOIN_MS + 15000;
		enum ramp_result result;

		if (request->end_ms > fleet->now_ms) {
			i++;
			continue;
		}
		server->own_requests--;
		result = ramp_judge(run_ms,
				    fleet->cached_ms *
					    (request->hit && !listed_now
						     ? 1
						     : FLEET_MISS_FACTOR));
		if (result == RAMP_USUAL && server->own_requests < fleet->slots)
			result = RAMP_FREE;
		ramp_record(&server->ramp, result, fleet->slots, fleet->now_ms);
		if (request->arrived_ms >= FLEET_JOIN_MS) {
			const double took_ms =
				request->end_ms - request->arrived_ms;

			fleet->late += took_ms > request->target_ms;
			if (request->server != FLEET_JOINED) {
				fleet->others_ms += took_ms;
				fleet->others++;
			}
		}
		g_array_remove_index_fast(fleet->running, i);
	}
}

/* @return the requests sent to the server that joins in the period up to an age
 * since it has joined. */
static uint32_t fleet_sent(const struct fleet *fleet, int64_t age_ms, int64_t ms)
{
	const int64_t end_ms = FLEET_JOIN_MS + age_ms;
	uint32_t sum = 0;
	int64_t i;

	for (i = (end_ms - ms) / 100; i < end_ms / 100; i++)
		sum += fleet->servers[FLEET_JOINED].sent_at[i];
	return sum;
}

/* @return the most requests sent to it in a second up to an age. */
static uint32_t fleet_busiest(const struct fleet *fleet, int64_t until_ms)
{
	uint32_t most = 0;
	int64_t age_ms;

	for (age_ms = 100; age_ms <= until_ms; age_ms += 100)
		most = MAX(most, fleet_sent(fleet, age_ms, MIN(age_ms, 1000)));
	return most;
}

/* @return the age at which it first got 0.9 of the requests that it gets as a
 * warm server, or INT64_MAX. */
static int64_t fleet_full_ms(const struct fleet *fleet, const struct fleet *warm)
{
	int64_t age_ms;

	for (age_ms = FLEET_SHARE_MS; age_ms <= FLEET_END_MS - FLEET_JOIN_MS;
	     age_ms += 500)
		if (fleet_sent(fleet, age_ms, FLEET_SHARE_MS) >=
		    0.9 * fleet_sent(warm, age_ms, FLEET_SHARE_MS))
			return age_ms;
	return INT64_MAX;
}

static void fleet_join(struct fleet *fleet)
{
	struct fleet_server *server = &fleet->servers[FLEET_JOINED];

	server->down = false;
	if (fleet->kind == FLEET_WARM)
		return;
	if (fleet->kind == FLEET_STARTS)
		server->cold_until_ms = fleet->now_ms + FLEET_COLD_MS;
	ramp_begin(&server->ramp, fleet->now_ms, server->cold_until_ms);
}

static void fleet_add_arrivals(struct fleet *fleet)
{
	const double hit_part = 0.9;
	const double mean_ms = fleet->cached_ms *
			       (hit_part + (1 - hit_part) * FLEET_MISS_FACTOR);
	double odds = FLEET_UTILIZATION * FLEET_SERVERS * fleet->slots *
		      FLEET_STEP_MS / mean_ms;

	for (; odds > 0; odds -= 0.1) {
		struct fleet_request request = {
			.arrived_ms = fleet->now_ms,
			.target_ms = (uint32_t)(fleet->cached_ms * 6),
		};

		if (g_rand_double(fleet->arrivals) >= fmin(odds, 0.1))
			continue;
		request.object = fleet_draw_object(fleet);
		g_array_append_val(fleet->waiting, request);
	}
}

/* @return what was measured while a server joined. */
static struct fleet fleet_run(enum fleet_case kind, bool moves, uint32_t slots,
			      uint32_t seed)
{
	struct fleet fleet = {
		.kind = kind,
		.moves = moves,
		.slots = slots,
		.cached_ms = slots == 9 ? 430 : 155,
		.arrivals = g_rand_new_with_seed(seed),
		.run_times = g_rand_new_with_seed(seed + 1),
		.waiting =
			g_array_new(false, false, sizeof(struct fleet_request)),
		.running =
			g_array_new(false, false, sizeof(struct fleet_request)),
	};
	uint32_t i;

	fleet_choose_popularity(&fleet);
	for (i = 0; i < FLEET_SERVERS; i++) {
		fleet.servers[i].hash = g_rand_int(fleet.arrivals) * 7919ULL;
		fleet.servers[i].cached_objects = 10 + i % 6;
	}
	fleet.servers[FLEET_JOINED].down = kind == FLEET_STARTS;
	for (; fleet.now_ms < FLEET_END_MS; fleet.now_ms += FLEET_STEP_MS) {
		if (fleet.now_ms == FLEET_JOIN_MS - FLEET_DOWN_MS)
			fleet.servers[FLEET_JOINED].down = kind != FLEET_WARM;
		if (fleet.now_ms == FLEET_JOIN_MS)
			fleet_join(&fleet);
		fleet_end_requests(&fleet);
		fleet_add_arrivals(&fleet);
		fleet_place_waiting(&fleet);
	}
	g_rand_free(fleet.arrivals);
	g_rand_free(fleet.run_times);
	g_array_unref(fleet.waiting);
	g_array_unref(fleet.running);
	return fleet;
}

#endif
