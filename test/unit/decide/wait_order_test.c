#include "unit/decide/wait_model.h"

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
