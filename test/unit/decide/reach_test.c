#include "decide/reach.h"

#include "unit/test.h"

/* Interned in the program; compared by address here. */
static const char *const fyn_a = "fyn-a";
static const char *const fyn_b = "fyn-b";
static const char *const jyl_a = "jyl-a";

#define SERVERS 9

/* Lets probes of a round fail, with one server each. */
static void fail_probes(struct reach *reach, uint32_t count, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		reach_record_failed(reach, 100 + i, jyl_a, now_ms);
		reach_record_probe_failed(reach);
	}
}

/* Load pattern: requests come every 100 ms, and each connection hangs. */
static void a_cut_is_found_within_a_second(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 250);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 250), ==, 0);
	reach_record_failed(&reach, 2, fyn_a, 350);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 350), ==,
			 REACH_PROBES);
	g_assert_cmpint(reach.state, ==, REACH_SUSPECT);
	fail_probes(&reach, REACH_PROBES - 1, 700);
	g_assert_cmpint(reach.state, ==, REACH_SUSPECT);
	fail_probes(&reach, 1, 700);
	g_assert_cmpint(reach.state, ==, REACH_CUT_OFF);
	g_assert_cmpint(reach.first_failure_ms, ==, 250);
}

static void one_dead_server_is_no_cut(void)
{
	struct reach reach = { 0 };
	int64_t now_ms;

	for (now_ms = 0; now_ms < 10000; now_ms += 100) {
		reach_record_failed(&reach, 1, fyn_a, now_ms);
		g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, now_ms),
				 ==, 0);
	}
	g_assert_cmpint(reach.state, ==, REACH_UP);
}

/* Nothing tells a fleet's only server that is dead from a cut. */
static void the_only_server_is_not_probed(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 10);
	g_assert_cmpuint(reach_begin_probes(&reach, 1, 20), ==, 0);
}

static void two_servers_are_both_probed(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 10);
	g_assert_cmpuint(reach_begin_probes(&reach, 2, 20), ==, 2);
	fail_probes(&reach, 2, 30);
	g_assert_cmpint(reach.state, ==, REACH_CUT_OFF);
}

static void one_success_ends_the_round(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 10);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 10), ==,
			 REACH_PROBES);
	fail_probes(&reach, 2, 20);
	reach_record_connected(&reach, 3, 30);
	reach_record_probe_failed(&reach);
	g_assert_cmpint(reach.state, ==, REACH_UP);
	/* half of the servers are down: few probes, whatever else fails */
	reach_record_failed(&reach, 1, fyn_a, 40);
	reach_record_failed(&reach, 2, fyn_a, 50);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 1000), ==, 0);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 1031), ==,
			 REACH_PROBES);
}

static void old_failures_do_not_count(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 2500);
	g_assert_cmpuint(reach.failed_count, ==, 1);
	g_assert_cmpint(reach.first_failure_ms, ==, 2500);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 2500), ==, 0);
}

static void the_end_of_a_cut_is_probed_for(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 0);
	reach_begin_probes(&reach, SERVERS, 0);
	fail_probes(&reach, REACH_PROBES, 10);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 10), ==, 1);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 200), ==, 0);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 260), ==, 1);
	fail_probes(&reach, 1, 400);
	g_assert_cmpint(reach.state, ==, REACH_CUT_OFF);
	reach_record_connected(&reach, 3, 500);
	g_assert_cmpint(reach.state, ==, REACH_CUT_OFF);
	g_assert_cmpuint(reach_begin_probes(&reach, SERVERS, 500), ==, 1);
	reach_record_connected(&reach, 4, 510);
	g_assert_cmpint(reach.state, ==, REACH_UP);
	g_assert_cmpuint(reach.failed_count, ==, 0);
}

/* Load pattern: all servers but one are out of reach. */
static void one_server_of_many_does_not_end_a_cut(void)
{
	struct reach reach = { 0 };
	int64_t now_ms;

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 0);
	reach_begin_probes(&reach, SERVERS, 0);
	fail_probes(&reach, REACH_PROBES, 10);
	for (now_ms = 100; now_ms < 5000; now_ms += 100) {
		reach_record_connected(&reach, 3, now_ms);
		reach_record_connected(&reach, 3, now_ms);
		g_assert_cmpint(reach.state, ==, REACH_CUT_OFF);
		fail_probes(&reach, 1, now_ms);
	}
}

static void the_only_server_left_ends_a_cut(void)
{
	struct reach reach = { 0 };

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 0);
	reach_begin_probes(&reach, 2, 0);
	fail_probes(&reach, 2, 10);
	g_assert_cmpuint(reach_begin_probes(&reach, 1, 500), ==, 1);
	reach_record_connected(&reach, 1, 510);
	g_assert_cmpint(reach.state, ==, REACH_UP);
}

/* Load pattern: a failure domain is lost, or all servers of a service are. */
static void probes_go_to_other_domains_and_services(void)
{
	struct reach reach = { 0 };
	const struct reach_candidate candidates[] = {
		{ 1, fyn_a, "reg" }, { 2, fyn_a, "doc" }, { 3, fyn_a, "doc" },
		{ 4, fyn_b, "reg" }, { 5, fyn_b, "doc" }, { 6, jyl_a, "reg" },
	};
	uint32_t chosen[REACH_PROBES];
	uint32_t start;

	reach_record_failed(&reach, 1, fyn_a, 0);
	reach_record_failed(&reach, 2, fyn_a, 0);
	for (start = 0; start < ARRAY_SIZE(candidates); start++) {
		bool other_service = false;
		bool fyn = false;
		bool jyl = false;
		uint32_t i;

		g_assert_cmpuint(reach_choose_probes(&reach, candidates,
						     ARRAY_SIZE(candidates),
						     start, REACH_PROBES, chosen),
				 ==, REACH_PROBES);
		for (i = 0; i < REACH_PROBES; i++) {
			const struct reach_candidate *one =
				&candidates[chosen[i]];

			fyn |= one->failure_domain == fyn_b;
			jyl |= one->failure_domain == jyl_a;
			other_service |= !strcmp(one->service, "doc");
		}
		g_assert_true(fyn && jyl && other_service);
		g_assert_true(chosen[0] != chosen[1] &&
			      chosen[1] != chosen[2] && chosen[0] != chosen[2]);
	}
}

static void few_candidates_are_probed_once_each(void)
{
	struct reach reach = { 0 };
	const struct reach_candidate candidates[] = { { 1, fyn_a, "reg" },
						      { 2, fyn_a, "reg" } };
	uint32_t chosen[REACH_PROBES];

	g_assert_cmpuint(reach_choose_probes(&reach, candidates, 2, 1,
					     REACH_PROBES, chosen),
			 ==, 2);
	g_assert_cmpuint(chosen[0], !=, chosen[1]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("reach", a_cut_is_found_within_a_second);
	ADD_TEST("reach", one_dead_server_is_no_cut);
	ADD_TEST("reach", the_only_server_is_not_probed);
	ADD_TEST("reach", two_servers_are_both_probed);
	ADD_TEST("reach", one_success_ends_the_round);
	ADD_TEST("reach", old_failures_do_not_count);
	ADD_TEST("reach", the_end_of_a_cut_is_probed_for);
	ADD_TEST("reach", one_server_of_many_does_not_end_a_cut);
	ADD_TEST("reach", the_only_server_left_ends_a_cut);
	ADD_TEST("reach", probes_go_to_other_domains_and_services);
	ADD_TEST("reach", few_candidates_are_probed_once_each);
	return g_test_run();
}
