#ifndef TEST_UNIT_DECIDE_WAIT_MODEL_H
#define TEST_UNIT_DECIDE_WAIT_MODEL_H

#include "decide/finish.h"
#include "decide/recent_objects.h"
#include "decide/wait_order.h"
#include "unit/test.h"

/**
 * @file
 * A model of the servers of one VM, for replays of load patterns: requests are
 * placed by decide/finish, wait in the order of decide/wait_order, and run for
 * a time that depends on the server's cache. One step is 1 ms.
 */

#define SERVERS 4
#define SLOTS 3
/* Objects that each server caches. */
#define CACHE_DEPTH 10
#define CACHED_MS 60
#define UNCACHED_MS 200
/* Few enough for the caches of the servers. */
#define OBJECTS 24
#define TARGET_MS 500
#define DEADLINE_MS 2000
#define WAITING_MAX 2000
#define SECONDS 20
#define WORKSPACES 21
/* Requests a second if every object is cached. */
#define CAPACITY_PER_S (SERVERS * SLOTS * 1000.0 / CACHED_MS)

struct call {
	struct wait_entry entry;
	uint64_t object;
	int64_t deadline_ms;
	int64_t end_ms; /* of its run */
	uint32_t server;
	uint32_t group;
};

struct tally {
	uint32_t count;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;
	uint32_t refused_after_wait; /* of the refused ones, later than 100 ms */
};

static struct {
	GRand *random;
	int64_t now_ms;
	struct wait_order *order;
	GPtrArray *waiting; /* struct call */
	GPtrArray *running;
	struct finish_server servers[SERVERS];
	struct recent_objects recent[SERVERS];
	struct tally tallies[WORKSPACES];
	uint32_t hits;
	uint32_t runs;
} sim;

static struct wait_entry entries[WAITING_MAX + 1];

static inline void setup(uint32_t seed)
{
	uint32_t i;

	memset(&sim, 0, sizeof(sim));
	sim.random = g_rand_new_with_seed(seed);
	sim.now_ms = 1000;
	sim.order = wait_order_new();
	sim.waiting = g_ptr_array_new();
	sim.running = g_ptr_array_new();
	for (i = 0; i < SERVERS; i++)
		sim.servers[i] = (struct finish_server){ .hash = 7919 * (i + 1),
							 .slots = SLOTS,
							 .window = SLOTS,
							 .work_percent = 100,
							 .rtt_ms = 1 };
}

static inline void teardown(void)
{
	g_ptr_array_set_free_func(sim.waiting, g_free);
	g_ptr_array_set_free_func(sim.running, g_free);
	g_ptr_array_unref(sim.waiting);
	g_ptr_array_unref(sim.running);
	wait_order_free(sim.order);
	g_rand_free(sim.random);
}

static inline void end_call(struct call *call, bool refused)
{
	struct tally *tally = &sim.tallies[call->group];

	tally->count++;
	if (refused) {
		tally->refused++;
		tally->refused_after_wait +=
			sim.now_ms + TARGET_MS - call->entry.target_ms > 100;
	} else if (sim.now_ms <= call->entry.target_ms) {
		tally->in_time++;
	} else {
		tally->late++;
	}
	g_free(call);
}

static inline void add_ahead(const struct call *call)
{
	sim.servers[call->server].ahead_count++;
	sim.servers[call->server].ahead_ms += call->entry.run_ms;
}

static inline void clear_ahead(void)
{
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		sim.servers[i].ahead_count = sim.servers[i].ahead_ms = 0;
}

static inline struct finish_choice choose(const struct call *call)
{
	const struct finish_request request = {
		.object_hash = call->object,
		.sticky = true,
		.cached_ms = CACHED_MS,
		.uncached_ms = UNCACHED_MS,
		.mean_ms = CACHED_MS,
		.target_ms = (uint32_t)MAX(call->entry.target_ms - sim.now_ms, 0),
		.deadline_ms = (uint32_t)(call->deadline_ms - sim.now_ms),
	};
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		sim.servers[i].cached =
			recent_objects_position(&sim.recent[i], call->object) <
			CACHE_DEPTH;
	return finish_choose(sim.servers, SERVERS, &request);
}

static inline uint32_t sort_waiting(struct call *added)
{
	uint32_t count = sim.waiting->len;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct call *call = g_ptr_array_index(sim.waiting, i);

		entries[i] = call->entry;
		entries[i].index = i;
	}
	if (added) {
		entries[count] = added->entry;
		entries[count].index = count;
		count++;
	}
	wait_order_sort(sim.order, entries, count, sim.now_ms);
	return count;
}

static inline void run(struct call *call, const struct finish_choice *choice)
{
	struct finish_server *server = &sim.servers[choice->index];
	double run_ms = server->cached ? CACHED_MS : UNCACHED_MS;

	sim.runs++;
	sim.hits += server->cached;
	recent_objects_record(&sim.recent[choice->index], call->object);
	run_ms *= server->work_percent / 100.0 *
		  g_rand_double_range(sim.random, 0.6, 1.4);
	server->own_requests++;
	g_assert_cmpuint(server->own_requests, <=, SLOTS);
	call->server = choice->index;
	call->end_ms = sim.now_ms + (int64_t)run_ms + 1;
	g_ptr_array_add(sim.running, call);
}

static inline void set_server(struct call *call,
			      const struct finish_choice *choice)
{
	call->server = choice->index;
	call->entry.run_ms = choice->run_ms;
	call->entry.finish_ms = choice->run_ms * 5 / 4;
	call->entry.cached = sim.servers[choice->index].cached;
}

/* @return whether a request left the queue. */
static inline bool advance(void)
{
	uint32_t count = sort_waiting(NULL);
	uint32_t i;

	clear_ahead();
	for (i = 0; i < count; i++) {
		struct call *call =
			g_ptr_array_index(sim.waiting, entries[i].index);
		struct finish_choice choice = choose(call);

		if (choice.result == FINISH_WAIT) {
			set_server(call, &choice);
			add_ahead(call);
			continue;
		}
		if (choice.result == FINISH_SEND) {
			entries[i].run_ms = choice.run_ms;
			wait_order_record_sent(sim.order, entries, count, i,
					       sim.now_ms);
		}
		g_ptr_array_remove(sim.waiting, call);
		if (choice.result == FINISH_SEND)
			run(call, &choice);
		else
			end_call(call, true);
		return true;
	}
	return false;
}

/* @return the position among those that wait of one that does not yet. */
static inline uint32_t sort_with(struct call *call)
{
	uint32_t position = 0;

	sort_waiting(call);
	while (entries[position].index != sim.waiting->len)
		position++;
	return position;
}

static inline void count_ahead(struct call *call)
{
	uint32_t position = sort_with(call);

	clear_ahead();
	while (position--)
		add_ahead(g_ptr_array_index(sim.waiting, entries[position].index));
}

static inline void wait(struct call *call, const struct finish_choice *choice)
{
	struct call *refused = NULL;
	uint32_t position;
	uint32_t wait_ms;
	uint32_t excess;

	set_server(call, choice);
	position = sort_with(call);
	wait_ms = wait_order_wait_ms(sim.order, entries, position,
				     choice->wait_ms, SERVERS * SLOTS,
				     sim.now_ms);
	if (wait_ms > TARGET_MS) {
		end_call(call, true);
		return;
	}
	wait_order_record_admitted(sim.order, &call->entry, sim.now_ms);
	call->entry.finish_ms = wait_ms + choice->run_ms;
	sort_waiting(call);
	excess = wait_order_find_excess(entries, sim.waiting->len + 1,
					SERVERS * SLOTS, WAITING_MAX);
	if (excess != WAIT_ORDER_NONE)
		refused = entries[excess].index == sim.waiting->len
				  ? call
				  : g_ptr_array_index(sim.waiting,
						      entries[excess].index);
	set_server(call, choice);
	g_ptr_array_add(sim.waiting, call);
	if (!refused)
		return;
	g_ptr_array_remove(sim.waiting, refused);
	end_call(refused, true);
}

static inline void arrive(uint32_t group, uint32_t rank, uint64_t workspace)
{
	static uint64_t sequence;
	struct call *call = g_new0(struct call, 1);
	struct finish_choice choice;

	call->group = group;
	call->object =
		31 * (1 + (uint64_t)g_rand_int_range(sim.random, 0, OBJECTS));
	call->deadline_ms = sim.now_ms + DEADLINE_MS;
	call->entry = (struct wait_entry){ .workspace = workspace,
					   .sequence = ++sequence,
					   .rank = rank,
					   .run_ms = CACHED_MS,
					   .finish_ms = CACHED_MS * 5 / 4,
					   .target_ms = sim.now_ms + TARGET_MS,
					   .target_latency_ms = TARGET_MS };
	count_ahead(call);
	choice = choose(call);
	if (choice.result == FINISH_WAIT) {
		wait(call, &choice);
	} else if (choice.result == FINISH_SEND) {
		wait_order_record_admitted(sim.order, &call->entry, sim.now_ms);
		if (sim.waiting->len)
			wait_order_record_sent(sim.order, entries,
					       sim.waiting->len + 1,
					       sort_with(call), sim.now_ms);
		run(call, &choice);
	} else {
		end_call(call, true);
	}
}

static inline void step(void)
{
	bool freed = false;
	guint i;

	sim.now_ms++;
	for (i = sim.running->len; i--;) {
		struct call *call = g_ptr_array_index(sim.running, i);

		if (call->end_ms > sim.now_ms)
			continue;
		sim.servers[call->server].own_requests--;
		g_ptr_array_remove_index(sim.running, i);
		end_call(call, false);
		freed = true;
	}
	if (freed || sim.now_ms % 20 == 0)
		while (advance())
			;
}

/* @return whether one of the requests of a Poisson process arrives. */
static inline bool is_arrival(double per_s)
{
	return g_rand_double(sim.random) < per_s / 1000;
}

static inline double in_time_share(const struct tally *tally)
{
	return (double)tally->in_time / MAX(tally->count, 1);
}

#endif
