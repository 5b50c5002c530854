#include "decide/spill.h"
#include "unit/test.h"

/* 15% of a region's requests may change region in 2 s; half of that is used. */
#define STEP_PER_S 0.04
#define SHIFT_MAX 0.15
#define WINDOW_MS 2000

static int64_t now_ms;

/* @return a region with 2 of 20 servers and a third of the failure domains. */
static struct spill_view small_region(void)
{
	struct spill_view view = {
		.near_slots = 18,
		.far_slots = 162,
		.region_vms = 9,
		.domain_share = 1.0 / 3,
		.fast_ms = 300,
		.uneven = true,
	};

	return view;
}

/* Sends `per_s` requests per second from this entry VM for `for_ms`. */
static void send_requests(struct spill *spill, const struct spill_view *view,
			  double per_s, int64_t for_ms)
{
	int64_t end_ms = now_ms + for_ms;
	int64_t gap_ms = (int64_t)(1000 / per_s);

	while (now_ms < end_ms) {
		spill_request(spill, view, STEP_PER_S, now_ms);
		now_ms += gap_ms;
	}
}

static struct spill start(void)
{
	struct spill spill = { 0 };

	now_ms = 1000000;
	return spill;
}

/* Load pattern: full traffic from the start in a region with few slots. */
static void initial_share_follows_slots(void)
{
	struct spill_view view = small_region();
	struct spill spill = start();

	spill_request(&spill, &view, STEP_PER_S, now_ms);
	g_assert_cmpfloat(spill.away, >, 0.3);
	g_assert_cmpfloat(spill.away, <, 0.7);
	view.near_slots = 90;
	view.far_slots = 90;
	spill = start();
	spill_request(&spill, &view, STEP_PER_S, now_ms);
	g_assert_cmpfloat(spill.away, ==, 0);
}

/* 9 VMs x 12 requests/s x 0.3 s need 32 slots; the target is 8.1 of 18. */
static void settles_at_target_utilisation(void)
{
	struct spill_view view = small_region();
	struct spill spill = start();

	send_requests(&spill, &view, 12, 30000);
	g_assert_cmpfloat(spill.away, >, 0.7);
	g_assert_cmpfloat(spill.away, <, 0.8);
}

/* Load pattern: many callers move to the region at once. The shift between two
 * windows must stay below the operator's limit. */
static void caller_shift_moves_share_slowly(void)
{
	struct spill_view view = small_region();
	struct spill spill = start();
	double before;
	int i;

	send_requests(&spill, &view, 4, 20000);
	for (i = 0; i < 10; i++) {
		before = spill.away;
		send_requests(&spill, &view, 25, WINDOW_MS);
		g_assert_cmpfloat(spill.away - before, <, SHIFT_MAX);
	}
	g_assert_cmpfloat(spill.away, >, 0.6);
	for (i = 0; i < 10; i++) {
		before = spill.away;
		send_requests(&spill, &view, 4, WINDOW_MS);
		g_assert_cmpfloat(before - spill.away, <, SHIFT_MAX);
	}
}

/* Load pattern: a failure domain fails; its requests must be moved at once. */
static void reacts_to_lost_servers_at_once(void)
{
	struct spill_view view = small_region();
	struct spill spill = start();
	double before;

	send_requests(&spill, &view, 12, 30000);
	before = spill.away;
	view.near_slots = 9;
	spill_request(&spill, &view, STEP_PER_S, now_ms);
	g_assert_cmpfloat(spill.away, >, before + 0.1);
	view.near_slots = 0;
	spill_request(&spill, &view, STEP_PER_S, now_ms + 10);
	g_assert_cmpfloat(spill.away, ==, 1);
}

/* Load pattern: servers become slow, which the request rate does not show. */
static void waiting_requests_raise_share(void)
{
	struct spill_view view = small_region();
	struct spill spill = start();

	send_requests(&spill, &view, 2, 20000);
	g_assert_cmpfloat(spill.away, ==, 0);
	view.near_waiting = 18;
	send_requests(&spill, &view, 2, 5000);
	g_assert_cmpfloat(spill.away, >, 0.1);
}

static void busy_remote_regions_get_no_requests(void)
{
	struct spill_view view = small_region();
	struct spill spill = start();

	view.far_load = view.far_slots;
	send_requests(&spill, &view, 12, 20000);
	g_assert_cmpfloat(spill.away, <, 0.05);
}

static void share_selects_objects(void)
{
	struct spill spill = { .away = 0.25 };
	uint32_t remote_count = 0;
	uint64_t object;

	for (object = 0; object < 10000; object++)
		remote_count += spill_goes_away(&spill, object * 7919);
	g_assert_cmpuint(remote_count, >, 2300);
	g_assert_cmpuint(remote_count, <, 2700);
	/* a larger share adds objects and removes none */
	for (object = 0; object < 1000; object++) {
		spill.away = 0.25;
		if (!spill_goes_away(&spill, object))
			continue;
		spill.away = 0.3;
		g_assert_true(spill_goes_away(&spill, object));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("spill", initial_share_follows_slots);
	ADD_TEST("spill", settles_at_target_utilisation);
	ADD_TEST("spill", caller_shift_moves_share_slowly);
	ADD_TEST("spill", reacts_to_lost_servers_at_once);
	ADD_TEST("spill", waiting_requests_raise_share);
	ADD_TEST("spill", busy_remote_regions_get_no_requests);
	ADD_TEST("spill", share_selects_objects);
	return g_test_run();
}
