#include "fleet/servers.h"
#include "unit/test.h"

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct topology topology = { domains, 1 };
static struct clock now;

static struct server_entry entry(const char *id, int64_t start_unix_ms)
{
	struct server_entry one = {
		.id = (char *)id,
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 9,
		.start_unix_ms = start_unix_ms,
	};

	return one;
}

static struct server *only_server(struct servers *servers)
{
	const GPtrArray *list = servers_for_service(servers, "reg");

	g_assert_cmpuint(list->len, ==, 1);
	return g_ptr_array_index(list, 0);
}

static struct servers *one_server(void)
{
	struct servers *servers;
	struct server_entry first = entry("s1", 7);

	now = clock_from_manual(&manual);
	servers = servers_new(&now, &topology);
	servers_put(servers, &first);
	return servers;
}

/* Load pattern: a server becomes five times slower, and each of its requests
 * fails only at its timeout. */
static void slow_server_is_tried_by_one_request(void)
{
	struct servers *servers = one_server();
	struct server *server = only_server(servers);
	int64_t at_ms = clock_now_ms(&now);

	g_assert_false(server_is_avoided(server, at_ms));
	server_record_slow_response(server, at_ms);
	g_assert_true(server_is_avoided(server, at_ms));
	g_assert_true(server_is_avoided(server, at_ms + 3999));
	g_assert_false(server_is_avoided(server, at_ms + 4000));
	load_record_sent(&server->load);
	g_assert_true(server_is_avoided(server, at_ms + 4001));
	load_record_finished(&server->load);
	server_record_success(server);
	g_assert_false(server_is_avoided(server, at_ms + 4002));
	servers_free(servers);
}

static void server_is_avoided_after_two_failures(void)
{
	struct servers *servers = one_server();
	struct server *server = only_server(servers);
	int64_t at_ms = clock_now_ms(&now);

	server_record_failure(server, "test", at_ms);
	g_assert_false(server_is_avoided(server, at_ms));
	server_record_failure(server, "test", at_ms);
	g_assert_true(server_is_avoided(server, at_ms));
	g_assert_false(server_is_avoided(server, at_ms + 1000));
	servers_free(servers);
}

static void unreachable_server_is_avoided_at_once(void)
{
	struct servers *servers = one_server();
	struct server *server = only_server(servers);

	server_record_unreachable(server, clock_now_ms(&now));
	g_assert_true(server_is_avoided(server, clock_now_ms(&now)));
	servers_free(servers);
}

/* This VM was cut off from all servers: they have not failed themselves. */
static void failures_of_a_cut_are_forgotten(void)
{
	struct servers *servers = one_server();
	struct server *server = only_server(servers);
	const int64_t at_ms = clock_now_ms(&now);

	server_record_unreachable(server, at_ms);
	servers_forget_unreachable(servers, at_ms + 1);
	g_assert_true(server_is_avoided(server, at_ms));
	servers_forget_unreachable(servers, at_ms);
	g_assert_false(server_is_avoided(server, at_ms));
	g_assert_cmpuint(server->consecutive_failures, ==, 0);
	server_record_slow_response(server, at_ms);
	server->unreachable_ms = 0;
	servers_forget_unreachable(servers, 0);
	g_assert_true(server_is_avoided(server, at_ms));
	servers_free(servers);
}

/* A server that restarts under the same id must not inherit failures. */
static void new_incarnation_starts_without_failures(void)
{
	struct servers *servers = one_server();
	struct server *before = server_ref(only_server(servers));
	struct server_entry again = entry("s1", 8);

	server_record_unreachable(before, clock_now_ms(&now));
	servers_put(servers, &again);
	g_assert_true(only_server(servers) != before);
	g_assert_false(before->listed);
	g_assert_false(server_is_usable(before));
	g_assert_false(
		server_is_avoided(only_server(servers), clock_now_ms(&now)));
	server_unref(before);
	servers_free(servers);
}

static void missing_server_is_restored(void)
{
	struct servers *servers = one_server();
	struct server_entry same = entry("s1", 7);

	servers_mark_missing(servers, "s1");
	g_assert_true(only_server(servers)->missing);
	servers_put(servers, &same);
	g_assert_false(only_server(servers)->missing);
	servers_remove(servers, "s1");
	g_assert_cmpuint(servers_for_service(servers, "reg")->len, ==, 0);
	servers_free(servers);
}

static void draining_server_is_not_usable(void)
{
	struct servers *servers = one_server();
	struct server_entry leaving = entry("s1", 7);

	leaving.draining = true;
	servers_put(servers, &leaving);
	g_assert_false(server_is_usable(only_server(servers)));
	servers_free(servers);
}

static struct server_entry numbered_entry(int64_t start_unix_ms,
					  int64_t sequence, bool draining)
{
	struct server_entry one = entry("s1", start_unix_ms);

	one.sequence = sequence;
	one.draining = draining;
	return one;
}

/* The store comes back from a copy in which the server was still ready. */
static void older_entry_does_not_end_draining(void)
{
	struct servers *servers = one_server();
	struct server_entry ready = numbered_entry(7, 4, false);
	struct server_entry draining = numbered_entry(7, 9, true);

	servers_put(servers, &ready);
	servers_put(servers, &draining);
	servers_put(servers, &ready);
	g_assert_true(only_server(servers)->draining);
	g_assert_false(server_is_usable(only_server(servers)));
	servers_free(servers);
}

/* The copy lists a server that has left since. */
static void server_that_left_does_not_return(void)
{
	struct servers *servers = one_server();
	struct server_entry last = numbered_entry(7, 9, false);
	struct server_entry next = numbered_entry(7, 10, false);
	struct server_entry restarted = numbered_entry(8, 1, false);

	servers_put(servers, &last);
	servers_remove(servers, "s1");
	servers_put(servers, &last);
	g_assert_cmpuint(servers_count(servers), ==, 0);
	/* it writes again itself */
	servers_put(servers, &next);
	g_assert_cmpuint(servers_count(servers), ==, 1);
	servers_remove(servers, "s1");
	servers_put(servers, &restarted);
	g_assert_cmpuint(servers_count(servers), ==, 1);
	servers_free(servers);
}

/* The copy lists an earlier start of a server, at its former address. */
static void earlier_start_does_not_replace_a_server(void)
{
	struct servers *servers = one_server();
	struct server_entry restarted = numbered_entry(8, 1, false);
	struct server_entry earlier = numbered_entry(7, 99, false);

	servers_put(servers, &restarted);
	servers_put(servers, &earlier);
	g_assert_cmpint(only_server(servers)->start_unix_ms, ==, 8);
	servers_free(servers);
}

static void leaving_ends_with_a_new_start(void)
{
	struct servers *servers = one_server();
	struct server_entry again = numbered_entry(7, 5, false);
	struct server_entry restarted = numbered_entry(8, 1, false);

	server_record_leaving(only_server(servers));
	servers_put(servers, &again);
	g_assert_false(server_is_usable(only_server(servers)));
	servers_put(servers, &restarted);
	g_assert_true(server_is_usable(only_server(servers)));
	servers_free(servers);
}

static uint32_t window(const struct server *server)
{
	return ramp_window(&server->ramp, server->load.slots);
}

/* A server whose entry names no cold time runs already: when a fleet starts,
 * its servers are listed one after the other, and all of them got one request
 * at a time. */
static void servers_that_start_get_few_requests(void)
{
	struct servers *servers = one_server();
	struct server_entry next = entry("s1", 8);

	g_assert_cmpuint(window(only_server(servers)), ==, 9);
	servers_log_changes(servers);
	servers_put(servers, &next);
	g_assert_cmpuint(window(only_server(servers)), ==, 9);
	servers_remove(servers, "s1");
	next = entry("s2", 8);
	next.cold_left_ms = 3000;
	servers_put(servers, &next);
	g_assert_cmpuint(window(servers_find(servers, "s2")), ==, 1);
	/* a later write of the same start is no start */
	only_server(servers)->ramp.active = false;
	next.sequence = 5;
	servers_put(servers, &next);
	g_assert_cmpuint(window(only_server(servers)), ==, 9);
	servers_free(servers);
}

static void cold_servers_get_few_requests(void)
{
	struct servers *servers = one_server();
	struct server *server = only_server(servers);
	int64_t at_ms = clock_now_ms(&now);

	server_record_cold(server, 0, at_ms);
	g_assert_cmpuint(window(server), ==, 9);
	servers_mark_cold(servers, "fyn-a", 5000);
	g_assert_cmpint(server->cold_until_ms, ==, at_ms + 5000);
	g_assert_cmpuint(window(server), ==, 1);
	g_assert_cmpint(server->ramp.again_ms, ==, at_ms + 5000);
	/* each response of a cold server says how long it is cold still */
	ramp_record(&server->ramp, RAMP_USUAL, 9, at_ms);
	server_record_cold(server, 3000, at_ms);
	g_assert_cmpuint(window(server), ==, 2);
	g_assert_cmpint(server->ramp.again_ms, ==, at_ms + 3000);
	/* it is warm earlier than expected */
	server_record_cold(server, 0, at_ms);
	ramp_record(&server->ramp, RAMP_USUAL, 9, at_ms + 1);
	g_assert_cmpuint(window(server), ==, 1);
	servers_free(servers);
}

static void servers_that_recover_get_few_requests(void)
{
	struct servers *servers = one_server();
	struct server *server = only_server(servers);
	int64_t at_ms = clock_now_ms(&now);

	server_record_busy(server, 500, at_ms);
	g_assert_cmpuint(window(server), ==, 1);
	g_assert_cmpint(server->ramp.again_ms, ==, at_ms + 500);
	server->ramp.active = false;
	server_record_failure(server, "test", at_ms);
	g_assert_cmpuint(window(server), ==, 9);
	server_record_failure(server, "test", at_ms);
	g_assert_cmpuint(window(server), ==, 1);
	/* the cause was this VM's own network */
	server_record_unreachable(server, at_ms);
	servers_forget_unreachable(servers, at_ms);
	g_assert_cmpuint(window(server), ==, 9);
	servers_free(servers);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("servers", slow_server_is_tried_by_one_request);
	ADD_TEST("servers", server_is_avoided_after_two_failures);
	ADD_TEST("servers", unreachable_server_is_avoided_at_once);
	ADD_TEST("servers", failures_of_a_cut_are_forgotten);
	ADD_TEST("servers", new_incarnation_starts_without_failures);
	ADD_TEST("servers", missing_server_is_restored);
	ADD_TEST("servers", draining_server_is_not_usable);
	ADD_TEST("servers", older_entry_does_not_end_draining);
	ADD_TEST("servers", server_that_left_does_not_return);
	ADD_TEST("servers", earlier_start_does_not_replace_a_server);
	ADD_TEST("servers", leaving_ends_with_a_new_start);
	ADD_TEST("servers", servers_that_start_get_few_requests);
	ADD_TEST("servers", cold_servers_get_few_requests);
	ADD_TEST("servers", servers_that_recover_get_few_requests);
	return g_test_run();
}
