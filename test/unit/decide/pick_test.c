#include "decide/budget.h"
#include "decide/pick.h"
#include "decide/quarantine.h"
#include "unit/test.h"

#define SERVERS 4

static void setup(struct pick_server *servers)
{
	int i;

	memset(servers, 0, SERVERS * sizeof(*servers));
	for (i = 0; i < SERVERS; i++)
		servers[i].slots = 3;
}

static void fills_every_slot_and_no_more(void)
{
	struct pick_server servers[SERVERS];
	int i;

	setup(servers);
	for (i = 0; i < SERVERS * 3; i++)
		g_assert_cmpint(pick_choose(servers, SERVERS, NULL, 0,
					    g_random_int(), 0),
				>=, 0);
	for (i = 0; i < SERVERS; i++)
		g_assert_cmpuint(servers[i].in_flight, ==, 3);
	g_assert_cmpint(pick_choose(servers, SERVERS, NULL, 0, 0, 0), ==, -1);
	g_assert_cmpuint(pick_free_slots(servers, SERVERS, 0), ==, 0);
	g_assert_cmpuint(pick_usable_slots(servers, SERVERS, 0), ==, 12);
}

static void prefers_servers_of_own_failure_domain(void)
{
	struct pick_server servers[SERVERS];
	int i;

	setup(servers);
	servers[2].local = true;
	for (i = 0; i < 3; i++)
		g_assert_cmpint(pick_choose(servers, SERVERS, NULL, 0,
					    (uint64_t)i << 32, 0),
				==, 2);
	g_assert_cmpint(pick_choose(servers, SERVERS, NULL, 0, 0, 0), !=, 2);
}

static void leaving_servers_get_no_requests(void)
{
	static const uint8_t reasons[] = { PICK_LEAVING_DOCUMENT,
					   PICK_LEAVING_SIGNAL, PICK_LEAVING_PEER,
					   PICK_LEAVING_VM_LIST };
	struct pick_server servers[SERVERS];
	size_t i;

	setup(servers);
	for (i = 0; i < ARRAY_SIZE(reasons); i++)
		servers[i].leaving = reasons[i];
	g_assert_cmpint(pick_choose(servers, SERVERS, NULL, 0, 7, 0), ==, -1);
	g_assert_cmpuint(pick_usable_slots(servers, SERVERS, 0), ==, 0);
}

static void skips_tried_servers(void)
{
	const uint32_t tried[] = { 0, 1, 2 };
	struct pick_server servers[SERVERS];

	setup(servers);
	g_assert_cmpint(pick_choose(servers, SERVERS, tried, 3, 99, 0), ==, 3);
}

static void fail(struct pick_server *servers, uint32_t index, int times,
		 int64_t now_ms)
{
	while (times--) {
		servers[index].in_flight++;
		pick_finish(servers, SERVERS, index, PICK_FAILED, now_ms);
	}
}

static void slow_starts_after_ejection(void)
{
	struct pick_server servers[SERVERS];
	int64_t back_ms;

	setup(servers);
	servers[0].slots = 10;
	fail(servers, 0, PICK_FAILURES_TO_EJECT, 1000);
	back_ms = servers[0].ejected_until_ms;
	g_assert_cmpint(back_ms, ==, 1000 + PICK_EJECT_MS);
	g_assert_cmpuint(pick_usable_slots(servers, SERVERS, back_ms - 1), ==, 9);
	g_assert_cmpuint(pick_usable_slots(servers, SERVERS, back_ms), ==, 10);
	g_assert_cmpuint(pick_usable_slots(servers, SERVERS,
					   back_ms + PICK_SLOW_START_MS / 2),
			 ==, 14);
	g_assert_cmpuint(pick_usable_slots(servers, SERVERS,
					   back_ms + PICK_SLOW_START_MS),
			 ==, 19);
}

static void ejects_at_most_half(void)
{
	struct pick_server servers[SERVERS];
	int i, ejected = 0;

	setup(servers);
	for (i = 0; i < SERVERS; i++)
		fail(servers, (uint32_t)i, 10, 0);
	for (i = 0; i < SERVERS; i++)
		ejected += servers[i].ejected_until_ms > 0;
	g_assert_cmpint(ejected, ==, 2);
}

static void refusal_pauses_without_ejecting(void)
{
	struct pick_server servers[SERVERS];

	setup(servers);
	servers[0].in_flight = 1;
	pick_finish(servers, SERVERS, 0, PICK_REFUSED, 100);
	g_assert_cmpuint(servers[0].failures, ==, 0);
	g_assert_cmpuint(pick_free_slots(servers, SERVERS, 100), ==, 9);
	g_assert_cmpuint(pick_free_slots(servers, SERVERS, 100 + PICK_FULL_MS),
			 ==, 12);
}

static void budget_bounds_retries(void)
{
	struct budget budget;
	int i, retries = 0;

	budget_init(&budget, 100);
	for (i = 0; i < 10000; i++) {
		budget_deposit(&budget);
		retries += budget_withdraw(&budget);
	}
	g_assert_cmpint(retries, <=, 1000 + BUDGET_BURST_RETRIES);
	g_assert_cmpint(retries, >=, 1000);
	budget_init(&budget, 0);
	budget_deposit(&budget);
	g_assert_false(budget_withdraw(&budget));
}

static void two_crashes_quarantine_a_request(void)
{
	struct quarantine quarantine = { 0 };

	g_assert_false(quarantine_record_crash(&quarantine, 7, 1, 0));
	g_assert_false(quarantine_record_crash(&quarantine, 7, 1, 0));
	g_assert_false(quarantine_refuses(&quarantine, 7, 0));
	g_assert_true(quarantine_record_crash(&quarantine, 7, 2, 1000));
	g_assert_true(quarantine_refuses(&quarantine, 7, 1000));
	g_assert_false(quarantine_refuses(&quarantine, 8, 1000));
	g_assert_false(quarantine_refuses(&quarantine, 7,
					  1000 + QUARANTINE_REFUSE_MS));
	g_assert_true(quarantine_add(&quarantine, 9, 2000));
	g_assert_false(quarantine_add(&quarantine, 9, 2000));
	g_assert_true(quarantine_refuses(&quarantine, 9, 2000));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("pick", fills_every_slot_and_no_more);
	ADD_TEST("pick", prefers_servers_of_own_failure_domain);
	ADD_TEST("pick", leaving_servers_get_no_requests);
	ADD_TEST("pick", skips_tried_servers);
	ADD_TEST("pick", slow_starts_after_ejection);
	ADD_TEST("pick", ejects_at_most_half);
	ADD_TEST("pick", refusal_pauses_without_ejecting);
	ADD_TEST("pick", budget_bounds_retries);
	ADD_TEST("pick", two_crashes_quarantine_a_request);
	return g_test_run();
}
