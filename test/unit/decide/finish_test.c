#include "decide/finish.h"

#include "decide/recent_objects.h"
#include "decide/run_time.h"
#include "unit/test.h"

#define SERVERS 4
#define SLOTS 3
#define CACHED_MS 60
#define UNCACHED_MS 200

static struct finish_server servers[SERVERS];
static struct finish_request request;

static void setup(uint32_t busy)
{
	uint32_t i;

	memset(servers, 0, sizeof(servers));
	for (i = 0; i < SERVERS; i++)
		servers[i] = (struct finish_server){
			.hash = 7919 * (i + 1),
			.slots = SLOTS,
			.window = SLOTS,
			.own_requests = busy,
			.work_percent = 100,
			.rtt_ms = 1,
		};
	request = (struct finish_request){
		.object_hash = 12345,
		.sticky = true,
		.cached_ms = CACHED_MS,
		.uncached_ms = UNCACHED_MS,
		.mean_ms = CACHED_MS,
		.target_ms = 500,
		.deadline_ms = 2000,
	};
}

static struct finish_choice choose(void)
{
	return finish_choose(servers, SERVERS, &request);
}

/* @return the server that ranks first for the object. */
static uint32_t first_server(void)
{
	const uint32_t busy = servers[0].own_requests;
	uint32_t first;

	setup(0);
	first = choose().index;
	setup(busy);
	return first;
}

static void request_goes_where_its_object_is(void)
{
	uint32_t first;

	setup(0);
	first = first_server();
	g_assert_cmpint(choose().result, ==, FINISH_SEND);
	g_assert_cmpuint(choose().finish_ms, ==, UNCACHED_MS + 1);
	servers[(first + 1) % SERVERS].cached = true;
	g_assert_cmpuint(choose().index, ==, (first + 1) % SERVERS);
	g_assert_cmpuint(choose().finish_ms, ==, CACHED_MS + 1);
	/* a few ms of network do not move an object */
	setup(0);
	servers[first].rtt_ms = 4;
	g_assert_cmpuint(choose().index, ==, first);
}

/* 51% of the look-ups of a customer found all slots of their server occupied
 * while the region was at a third of its capacity. */
static void full_server_is_passed_by_while_others_are_idle(void)
{
	uint32_t first;
	uint32_t i;

	setup(0);
	first = first_server();
	servers[first].cached = true;
	servers[first].own_requests = SLOTS;
	/* for a slot in 20 ms, waiting is faster than a miss */
	g_assert_cmpint(choose().result, ==, FINISH_WAIT);
	g_assert_cmpuint(choose().index, ==, first);
	servers[first].ahead_count = 9;
	servers[first].ahead_ms = 9 * CACHED_MS;
	g_assert_cmpint(choose().result, ==, FINISH_SEND);
	g_assert_cmpuint(choose().index, !=, first);
	/* with all slots occupied, a miss would take them from others */
	for (i = 0; i < SERVERS; i++)
		if (i != first)
			servers[i].own_requests = SLOTS;
	g_assert_cmpint(choose().result, ==, FINISH_WAIT);
	g_assert_cmpuint(choose().index, ==, first);
}

/* Misses that spread over all servers evict more objects than those that go to
 * the same second server. */
static void miss_goes_to_the_second_server(void)
{
	uint32_t first;
	uint32_t second;
	uint32_t i;

	setup(0);
	first = first_server();
	servers[first].excluded = true;
	second = choose().index;
	for (i = 0; i < SERVERS; i++) {
		setup(0);
		servers[first].cached = true;
		servers[first].own_requests = SLOTS;
		servers[first].ahead_count = 9;
		servers[first].ahead_ms = 9 * CACHED_MS;
		servers[i].own_requests += i != first && i != second;
		g_assert_cmpuint(choose().index, ==, second);
	}
}

/* Load pattern: a server takes 2.5 times as long for 600 ms. */
static void slow_server_is_left_for_as_long_as_it_is_slow(void)
{
	uint32_t first;

	setup(0);
	first = first_server();
	servers[first].work_percent = 250;
	g_assert_cmpuint(choose().index, !=, first);
	/* where the object is cached, it is still the fastest */
	servers[first].cached = true;
	g_assert_cmpuint(choose().index, ==, first);
	servers[first].own_requests = SLOTS;
	servers[first].ahead_count = 2;
	servers[first].ahead_ms = 2 * CACHED_MS * 5 / 2;
	g_assert_cmpuint(choose().index, !=, first);
}

/* Load pattern: a server starts while others have its objects cached and free
 * slots. It would stay idle. A request with little time left must not pay. */
static void object_moves_to_a_server_that_has_joined(void)
{
	uint32_t first;
	uint32_t second;

	setup(1);
	first = first_server();
	second = (first + 1) % SERVERS;
	servers[second].cached = true;
	g_assert_cmpuint(choose().index, ==, second);
	servers[first].takes_objects = true;
	g_assert_cmpuint(choose().index, ==, first);
	g_assert_true(choose().moves);
	request.target_ms = UNCACHED_MS + UNCACHED_MS / 5;
	g_assert_cmpuint(choose().index, ==, second);
	g_assert_false(choose().moves);
	request.target_ms = 500;
	servers[first].window = 1;
	g_assert_cmpuint(choose().index, ==, second);
	servers[first].window = SLOTS;
	servers[first].pause_ms = 20;
	g_assert_cmpuint(choose().index, ==, second);
	servers[first].pause_ms = 0;
	/* another server takes only its own objects */
	servers[first].takes_objects = false;
	servers[(first + 2) % SERVERS].takes_objects = true;
	g_assert_cmpuint(choose().index, ==, second);
}

static void hopeless_request_is_refused_with_its_wait(void)
{
	setup(SLOTS);
	request.deadline_ms = UNCACHED_MS + 10;
	g_assert_cmpint(choose().result, ==, FINISH_TOO_LATE);
	g_assert_cmpuint(choose().wait_ms, ==, CACHED_MS / SLOTS + 1);
	setup(0);
	servers[0].excluded = servers[1].excluded = true;
	servers[2].excluded = servers[3].excluded = true;
	g_assert_cmpint(choose().result, ==, FINISH_NO_SERVER);
	g_assert_cmpint(finish_choose(NULL, 0, &request).result, ==,
			FINISH_NO_SERVER);
}

/* A server crashes when it holds more requests than fit its memory. */
static void never_more_than_the_window_is_sent(void)
{
	uint32_t own;

	for (own = 0; own < 3 * SLOTS; own++) {
		setup(own);
		g_assert_cmpint(choose().result, ==,
				own < SLOTS ? FINISH_SEND : FINISH_WAIT);
	}
	setup(1);
	servers[0].window = servers[1].window = 1;
	servers[2].window = servers[3].window = 1;
	g_assert_cmpint(choose().result, ==, FINISH_WAIT);
}

static void failing_and_pausing_servers_are_used_last(void)
{
	uint32_t first;
	uint32_t i;

	setup(0);
	first = first_server();
	servers[first].cached = true;
	servers[first].avoid = true;
	g_assert_cmpuint(choose().index, !=, first);
	for (i = 0; i < SERVERS; i++)
		servers[i].avoid = true;
	g_assert_cmpuint(choose().index, ==, first);
	servers[first].pause_ms = 1500;
	g_assert_cmpuint(choose().index, !=, first);
	for (i = 0; i < SERVERS; i++)
		servers[i].pause_ms = 1500;
	g_assert_cmpint(choose().result, ==, FINISH_WAIT);
	g_assert_cmpuint(choose().wait_ms, ==, 1500);
}

/* A server caches the last objects; one that was pushed out runs slow again. */
static void recent_objects_are_the_last_ones(void)
{
	struct recent_objects objects = { 0 };
	uint64_t i;

	g_assert_cmpuint(recent_objects_position(&objects, 0), ==,
			 RECENT_OBJECTS_ABSENT);
	for (i = 0; i < RECENT_OBJECTS_MAX; i++)
		recent_objects_record(&objects, i);
	recent_objects_record(&objects, 0);
	recent_objects_record(&objects, 100);
	g_assert_cmpuint(recent_objects_position(&objects, 0), ==, 1);
	g_assert_cmpuint(recent_objects_position(&objects, 1), ==,
			 RECENT_OBJECTS_ABSENT);
	for (i = 2; i < RECENT_OBJECTS_MAX; i++)
		g_assert_cmpuint(recent_objects_position(&objects, i), ==,
				 RECENT_OBJECTS_MAX + 1 - i);
	g_assert_cmpuint(recent_objects_position(&objects, 100), ==, 0);
	/* of a refused request */
	recent_objects_remove(&objects, 0);
	recent_objects_remove(&objects, 0);
	g_assert_cmpuint(recent_objects_position(&objects, 0), ==,
			 RECENT_OBJECTS_ABSENT);
	g_assert_cmpuint(recent_objects_position(&objects, 100), ==, 0);
	g_assert_cmpuint(recent_objects_position(&objects, 2), ==,
			 RECENT_OBJECTS_MAX - 2);
	g_assert_cmpuint(objects.count, ==, RECENT_OBJECTS_MAX - 1);
}

/* With nine hits of ten requests no quantile shows the cost of a miss. */
static void run_times_of_hits_and_misses_are_told_apart(void)
{
	struct service_time fallback;
	struct run_time time = { 0 };
	int i;

	service_time_init(&fallback, 150);
	g_assert_cmpuint(run_time_expected_ms(&time, &fallback, true), ==, 150);
	g_assert_cmpuint(run_time_expected_ms(&time, &fallback, false), ==, 150);
	for (i = 0; i < 200; i++)
		run_time_record(&time, i % 20 != 0,
				i % 20 ? CACHED_MS : UNCACHED_MS, 100);
	/* at a server in trouble */
	run_time_record(&time, true, CACHED_MS * 5 / 2, 250);
	g_assert_cmpuint(run_time_expected_ms(&time, &fallback, true), ==,
			 CACHED_MS);
	g_assert_cmpuint(run_time_expected_ms(&time, &fallback, false), ==,
			 UNCACHED_MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("finish", request_goes_where_its_object_is);
	ADD_TEST("finish", full_server_is_passed_by_while_others_are_idle);
	ADD_TEST("finish", miss_goes_to_the_second_server);
	ADD_TEST("finish", slow_server_is_left_for_as_long_as_it_is_slow);
	ADD_TEST("finish", object_moves_to_a_server_that_has_joined);
	ADD_TEST("finish", hopeless_request_is_refused_with_its_wait);
	ADD_TEST("finish", never_more_than_the_window_is_sent);
	ADD_TEST("finish", failing_and_pausing_servers_are_used_last);
	ADD_TEST("finish", recent_objects_are_the_last_ones);
	ADD_TEST("finish", run_times_of_hits_and_misses_are_told_apart);
	return g_test_run();
}
