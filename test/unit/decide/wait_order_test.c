#include "decide/wait_order.h"

#include "decide/finish.h"
#include "decide/recent_objects.h"
#include "unit/test.h"

/* Replays load patterns at the servers of one VM: requests are placed by
 * decide/finish, wait in the order of decide/wait_order, and run for a time
 * that depends on the server's cache. One step is 1 ms. */

#define SERVERS 4
#define SLOTS 3
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

static void setup(uint32_t seed)
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

static void teardown(void)
{
	g_ptr_array_set_free_func(sim.waiting, g_free);
	g_ptr_array_set_free_func(sim.running, g_free);
	g_ptr_array_unref(sim.waiting);
	g_ptr_array_unref(sim.running);
	wait_order_free(sim.order);
	g_rand_free(sim.random);
}

static void end_call(struct call *call, bool refused)
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

static void add_ahead(const struct call *call)
{
	sim.servers[call->server].ahead_count++;
	sim.servers[call->server].ahead_ms += call->entry.run_ms;
}

static void clear_ahead(void)
{
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		sim.servers[i].ahead_count = sim.servers[i].ahead_ms = 0;
}

static struct finish_choice choose(const struct call *call)
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
			recent_objects_contain(&sim.recent[i], call->object);
	return finish_choose(sim.servers, SERVERS, &request);
}

static uint32_t sort_waiting(struct call *added)
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

static void run(struct call *call, const struct finish_choice *choice)
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

static void set_server(struct call *call, const struct finish_choice *choice)
{
	call->server = choice->index;
	call->entry.run_ms = choice->run_ms;
	call->entry.finish_ms = choice->run_ms * 5 / 4;
	call->entry.cached = sim.servers[choice->index].cached;
}

/* @return whether a request left the queue. */
static bool advance(void)
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
static uint32_t sort_with(struct call *call)
{
	uint32_t position = 0;

	sort_waiting(call);
	while (entries[position].index != sim.waiting->len)
		position++;
	return position;
}

static void count_ahead(struct call *call)
{
	uint32_t position = sort_with(call);

	clear_ahead();
	while (position--)
		add_ahead(g_ptr_array_index(sim.waiting, entries[position].index));
}

static void wait(struct call *call, const struct finish_choice *choice)
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

static void arrive(uint32_t group, uint32_t rank, uint64_t workspace)
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

static void step(void)
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
static bool is_arrival(double per_s)
{
	return g_rand_double(sim.random) < per_s / 1000;
}

static double in_time_share(const struct tally *tally)
{
	return (double)tally->in_time / MAX(tally->count, 1);
}

static void report(const char *what, const struct tally *tally)
{
	g_test_message("%s: %u requests, in time %.3f, late %.3f, refused %.3f "
		       "(after 100 ms %.3f)",
		       what, tally->count, in_time_share(tally),
		       (double)tally->late / MAX(tally->count, 1),
		       (double)tally->refused / MAX(tally->count, 1),
		       (double)tally->refused_after_wait / MAX(tally->count, 1));
}

static void run_until_empty(void)
{
	while (sim.waiting->len || sim.running->len)
		step();
}

static uint32_t total_in_time(void)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < WORKSPACES; i++)
		total += sim.tallies[i].in_time;
	return total;
}

/* At 1.5 times the capacity, a queue without ranks makes all responses late, or
 * refuses half of the urgent ones. */
static void urgent_requests_are_served_in_overload(void)
{
	uint32_t seed;
	uint32_t ms;

	for (seed = 1; seed <= 3; seed++) {
		setup(seed);
		for (ms = 0; ms < SECONDS * 1000; ms++) {
			step();
			if (is_arrival(0.75 * CAPACITY_PER_S))
				arrive(0, 0, 0);
			if (is_arrival(0.75 * CAPACITY_PER_S))
				arrive(1, 1, 0);
		}
		run_until_empty();
		report("urgent", &sim.tallies[0]);
		report("other", &sim.tallies[1]);
		g_test_message("hits %.3f, in time of the capacity %.3f",
			       (double)sim.hits / sim.runs,
			       total_in_time() / (CAPACITY_PER_S * SECONDS));
		g_assert_cmpfloat(in_time_share(&sim.tallies[0]), >=, 0.95);
		g_assert_cmpfloat(in_time_share(&sim.tallies[1]), >=, 0.15);
		/* refused at once, not after a wait */
		g_assert_cmpuint(sim.tallies[1].refused_after_wait, <=,
				 0.2 * sim.tallies[1].refused);
		g_assert_cmpfloat(total_in_time(), >=,
				  0.85 * CAPACITY_PER_S * SECONDS);
		teardown();
	}
}

/* The urgent ones alone need more than the slots. */
static void lower_rank_is_not_starved(void)
{
	uint32_t ms;

	setup(1);
	for (ms = 0; ms < SECONDS * 1000; ms++) {
		step();
		if (is_arrival(1.5 * CAPACITY_PER_S))
			arrive(0, 0, 0);
		if (is_arrival(0.3 * CAPACITY_PER_S))
			arrive(1, 1, 0);
	}
	run_until_empty();
	report("urgent", &sim.tallies[0]);
	report("other", &sim.tallies[1]);
	g_assert_cmpuint(sim.tallies[1].in_time + sim.tallies[1].late, >=,
			 0.05 * CAPACITY_PER_S * SECONDS);
	g_assert_cmpuint(sim.tallies[0].in_time, >=,
			 0.7 * CAPACITY_PER_S * SECONDS);
	teardown();
}

/* Load pattern: a workspace sends 7.5 times its usual rate for 6.5 s beside 20
 * others that use 0.6 of the capacity together with it. */
static void one_workspace_takes_nothing_from_others(void)
{
	const double usual_per_s = 0.6 * CAPACITY_PER_S / WORKSPACES;
	/* a large one, whose burst alone exceeds the slots that are left */
	const double large_per_s = 4 * usual_per_s;
	struct tally others = { 0 };
	uint32_t seed;
	uint32_t i;
	uint32_t ms;

	for (seed = 1; seed <= 3; seed++) {
		double worst = 1;

		setup(seed);
		memset(&others, 0, sizeof(others));
		for (ms = 0; ms < SECONDS * 1000; ms++) {
			bool bursts = ms >= 5000 && ms < 11500;

			step();
			if (is_arrival(large_per_s * (bursts ? 7.5 : 1)))
				arrive(0, 0, 1);
			for (i = 1; i < WORKSPACES; i++)
				if (is_arrival(usual_per_s))
					arrive(i, 1, i + 1);
		}
		run_until_empty();
		for (i = 1; i < WORKSPACES; i++) {
			worst = MIN(worst, in_time_share(&sim.tallies[i]));
			others.count += sim.tallies[i].count;
			others.in_time += sim.tallies[i].in_time;
			others.late += sim.tallies[i].late;
			others.refused += sim.tallies[i].refused;
		}
		report("large", &sim.tallies[0]);
		report("others", &others);
		g_test_message("worst of the others %.3f", worst);
		g_assert_cmpfloat(in_time_share(&others), >=, 0.95);
		g_assert_cmpfloat(worst, >=, 0.85);
		g_assert_cmpfloat(in_time_share(&sim.tallies[0]), >=, 0.3);
		teardown();
	}
}

/* The queue of a burst must not make the requests after it late. */
static void burst_ends_with_its_end(void)
{
	uint32_t seed;
	uint32_t ms;

	for (seed = 1; seed <= 3; seed++) {
		setup(seed);
		for (ms = 0; ms < SECONDS * 1000; ms++) {
			bool bursts = ms >= 5000 && ms < 8000;

			step();
			if (is_arrival((bursts ? 2.5 : 0.6) * CAPACITY_PER_S))
				arrive(bursts ? 0 : 1, 0, 0);
		}
		run_until_empty();
		report("burst", &sim.tallies[0]);
		report("else", &sim.tallies[1]);
		g_assert_cmpfloat(in_time_share(&sim.tallies[1]), >=, 0.97);
		g_assert_cmpuint(sim.tallies[0].in_time, >=,
				 0.8 * CAPACITY_PER_S * 3);
		g_assert_cmpuint(sim.tallies[0].late, <=,
				 0.1 * sim.tallies[0].count);
		teardown();
	}
}

/* One server in four takes 2.5 times as long for 600 ms of each two seconds. */
static void slow_server_delays_few(void)
{
	uint32_t seed;
	uint32_t ms;

	for (seed = 1; seed <= 3; seed++) {
		setup(seed);
		for (ms = 0; ms < SECONDS * 1000; ms++) {
			sim.servers[1].work_percent = ms % 2000 < 600 ? 250 : 100;
			step();
			if (is_arrival(0.6 * CAPACITY_PER_S))
				arrive(0, 0, 0);
		}
		run_until_empty();
		report("all", &sim.tallies[0]);
		g_test_message("hits %.3f", (double)sim.hits / sim.runs);
		g_assert_cmpfloat(in_time_share(&sim.tallies[0]), >=, 0.97);
		teardown();
	}
}

static void order_of_a_few(void)
{
	struct wait_order *order = wait_order_new();
	struct wait_entry some[] = {
		{ .index = 0,
		  .rank = 1,
		  .run_ms = 50,
		  .finish_ms = 50,
		  .target_ms = 1200,
		  .sequence = 1 },
		{ .index = 1,
		  .rank = 0,
		  .run_ms = 50,
		  .finish_ms = 50,
		  .target_ms = 1020,
		  .sequence = 2 },
		{ .index = 2,
		  .rank = 0,
		  .run_ms = 50,
		  .finish_ms = 50,
		  .target_ms = 1300,
		  .sequence = 3 },
		{ .index = 3,
		  .rank = 0,
		  .run_ms = 50,
		  .finish_ms = 50,
		  .target_ms = 1310,
		  .sequence = 4,
		  .cached = true },
	};

	wait_order_sort(order, some, G_N_ELEMENTS(some), 1000);
	/* cached and due at about the same time; urgent; late */
	g_assert_cmpuint(some[0].index, ==, 3);
	g_assert_cmpuint(some[1].index, ==, 2);
	g_assert_cmpuint(some[2].index, ==, 0);
	g_assert_cmpuint(some[3].index, ==, 1);
	g_assert_cmpuint(wait_order_find_excess(some, 4, 1, 3), ==, 3);
	g_assert_cmpuint(wait_order_find_excess(some, 4, 1, 4), ==, 3);
	some[3].target_latency_ms = 200;
	g_assert_cmpuint(wait_order_find_excess(some, 4, 1, 4), ==,
			 WAIT_ORDER_NONE);
	g_assert_cmpuint(wait_order_find_excess(some, 0, 1, 4), ==,
			 WAIT_ORDER_NONE);
	wait_order_free(order);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("wait_order", order_of_a_few);
	ADD_TEST("wait_order", urgent_requests_are_served_in_overload);
	ADD_TEST("wait_order", lower_rank_is_not_starved);
	ADD_TEST("wait_order", one_workspace_takes_nothing_from_others);
	ADD_TEST("wait_order", burst_ends_with_its_end);
	ADD_TEST("wait_order", slow_server_delays_few);
	return g_test_run();
}
