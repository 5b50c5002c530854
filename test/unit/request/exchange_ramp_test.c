#include "request/exchange_internal.h"
#include "unit/fake_assignment.h"
#include "unit/test.h"

/* Requests of a route whose runs take 100 ms with the object cached. */
#define TYPICAL_MS 100
#define UNCACHED_MS 330

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct proxy proxy;
static struct route route = { .name = (char *)"read" };
static struct service service = { .name = "reg" };
static struct exchange e;

/* @return a server that was listed `listed_ms` ago. */
static struct server *setup(int64_t listed_ms)
{
	struct server_entry entry = {
		.id = (char *)"s1",
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 9,
	};
	struct server *server;

	now = clock_from_manual(&manual);
	memset(&proxy, 0, sizeof(proxy));
	proxy.clock = &now;
	proxy.topology.domains = domains;
	proxy.topology.domain_count = G_N_ELEMENTS(domains);
	proxy.servers = servers_new(&now, &proxy.topology);
	proxy.route_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	servers_put(proxy.servers, &entry);
	server = servers_find(proxy.servers, "s1");
	clock_manual_advance_ms(&manual, listed_ms);
	memset(&e, 0, sizeof(e));
	e.proxy = &proxy;
	e.route = &route;
	e.service = &service;
	service_time_init(&exchange_route_state(&e)->time, TYPICAL_MS);
	ramp_begin(&server->ramp, proxy_now_ms(&proxy), 0);
	fake_assignment_on = true;
	return server;
}

static void teardown(void)
{
	g_hash_table_destroy(proxy.route_states);
	servers_free(proxy.servers);
}

static uint32_t window_after(struct server *server, enum attempt_end end,
			     int64_t elapsed_ms)
{
	exchange_record_ramp(&e, server, end, elapsed_ms);
	return ramp_window(&server->ramp, server->load.slots);
}

/* A server that was listed long ago and recovers has its objects cached still:
 * a run as long as without them means that it is in trouble. */
static void recovered_server_is_judged_by_cached_objects(void)
{
	struct server *server = setup(60000);

	e.object_cached = true;
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS), ==,
			 2);
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, UNCACHED_MS),
			 ==, 1);
	e.object_cached = false;
	server->ramp.ignored = 0;
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, UNCACHED_MS),
			 ==, 2);
	teardown();
}

/* A server that has restarted has lost what this VM remembers as cached; usual
 * runs without it must not keep the window at one. */
static void restarted_server_has_nothing_cached(void)
{
	struct server *server = setup(1000);

	e.object_cached = true;
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, UNCACHED_MS),
			 ==, 2);
	teardown();
}

/* A caller that reads slowly, or gives little time, says nothing good or bad of
 * the server; a refusal or a failure does. */
static void ends_are_told_apart(void)
{
	struct server *server = setup(60000);
	uint32_t i;

	e.object_cached = true;
	for (i = 0; i < 3; i++)
		window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS);
	g_assert_cmpuint(window_after(server, ATTEMPT_TIMED_OUT, 50), ==, 4);
	e.streaming = true;
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, 5000), ==, 4);
	e.streaming = false;
	g_assert_cmpuint(window_after(server, ATTEMPT_OTHER_SERVER, 50), ==, 4);
	g_assert_cmpuint(window_after(server, ATTEMPT_REFUSED, 5), ==, 2);
	server->ramp.ignored = 0;
	g_assert_cmpuint(window_after(server, ATTEMPT_BROKEN, 5), ==, 1);
	server->ramp.ignored = 0;
	for (i = 0; i < 9; i++)
		window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS);
	g_assert_false(server->ramp.active);
	teardown();
}

/* Usual run times alone do not tell whether the server could take more. */
static void free_slots_open_the_window_faster(void)
{
	struct server *server = setup(60000);
	const int64_t now_ms = proxy_now_ms(&proxy);

	e.object_cached = true;
	load_record_report(&server->load, 2, 0, now_ms);
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS), ==,
			 3);
	load_record_work_percent(&server->load, 250, now_ms);
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS), ==,
			 4);
	load_record_work_percent(&server->load, 100, now_ms);
	load_record_report(&server->load, 9, 1, now_ms);
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS), ==,
			 5);
	load_record_report(&server->load, 2, 0, now_ms);
	clock_manual_advance_ms(&manual, 1000);
	g_assert_cmpuint(window_after(server, ATTEMPT_ANSWERED, TYPICAL_MS), ==,
			 6);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("exchange_ramp", recovered_server_is_judged_by_cached_objects);
	ADD_TEST("exchange_ramp", restarted_server_has_nothing_cached);
	ADD_TEST("exchange_ramp", ends_are_told_apart);
	ADD_TEST("exchange_ramp", free_slots_open_the_window_faster);
	return g_test_run();
}
