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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("servers", slow_server_is_tried_by_one_request);
	ADD_TEST("servers", server_is_avoided_after_two_failures);
	ADD_TEST("servers", unreachable_server_is_avoided_at_once);
	ADD_TEST("servers", new_incarnation_starts_without_failures);
	ADD_TEST("servers", missing_server_is_restored);
	ADD_TEST("servers", draining_server_is_not_usable);
	return g_test_run();
}
