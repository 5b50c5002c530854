#include "decide/wait_order.h"
#include "unit/request/own_servers.h"
#include "workspace/keys.h"

/* Requests that wait in this VM for servers that are assigned to it. */

/* How often a request was counted as work that was asked for; the names are
 * those that --wrap gives to the function. */
static uint32_t admitted;

void real_record_admitted(
	struct wait_order *order, const struct wait_entry *entry,
	int64_t now_ms) __asm__("__real_wait_order_record_admitted");
void count_admitted(struct wait_order *order, const struct wait_entry *entry,
		    int64_t now_ms) __asm__("__wrap_wait_order_record_admitted");

void count_admitted(struct wait_order *order, const struct wait_entry *entry,
		    int64_t now_ms)
{
	admitted++;
	real_record_admitted(order, entry, now_ms);
}

/* Requests that queue at a server count against its memory and its queue, and
 * cannot go elsewhere any more. */
static void server_gets_no_more_than_its_slots(void)
{
	uint64_t waited = counter_get(COUNTER_WAITED);
	int fds[SLOTS + 2];
	uint32_t i;

	setup_own();
	send_many(fds, SLOTS + 2);
	g_assert_cmpuint(arrivals, ==, SLOTS);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 2);
	g_assert_cmpuint(counter_get(COUNTER_WAITED) - waited, ==, 2);
	for (i = 0; i < SLOTS + 2; i++)
		answer(OWN_ANSWER, 200);
	g_assert_cmpuint(arrivals, ==, SLOTS + 2);
	g_assert_cmpuint(held_max, ==, SLOTS);
	for (i = 0; i < SLOTS + 2; i++)
		g_assert_cmpint(take_status(fds[i]), ==, 200);
	teardown_own();
}

/* Without large bodies, and without a handoff address, requests are sent as
 * before. */
static void nothing_waits_unless_enabled(void)
{
	int fds[SLOTS + 2];

	setup_own();
	proxy.config->has_large_bodies = false;
	send_many(fds, SLOTS + 2);
	g_assert_cmpuint(arrivals, ==, SLOTS + 2);
	close_many(fds, SLOTS + 2);
	teardown_own();
}

/* A caller that has left must neither be sent nor keep others waiting. */
static void caller_that_leaves_frees_its_place(void)
{
	int fds[SLOTS + 2];

	setup_own();
	send_many(fds, SLOTS + 2);
	close(fds[SLOTS]);
	run_ms(30);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 1);
	/* a slot of one that is cancelled at the server */
	close(fds[0]);
	run_ms(50);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpuint(arrivals, ==, SLOTS + 1);
	close_many(fds + 1, SLOTS - 1);
	close(fds[SLOTS + 1]);
	teardown_own();
}

/* A server leaves while requests wait for it: they go to another one, here to
 * one that is listed a moment later. */
static void requests_of_a_leaving_server_are_placed_again(void)
{
	int fds[SLOTS + 1];

	setup_own();
	send_many(fds, SLOTS + 1);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 1);
	list_server("s3");
	listed.draining = true;
	list_server("s2");
	listed.draining = false;
	run_ms(50);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpuint(arrivals, ==, SLOTS + 1);
	close_many(fds, SLOTS + 1);
	teardown_own();
}

/* Demand that is counted again with each attempt makes waits look longer than
 * they are, and others are refused. */
static void retried_request_counts_once_as_demand(void)
{
	int fds[SLOTS + 1];
	uint32_t i;

	setup_own();
	admitted = 0;
	send_many(fds, SLOTS + 1);
	for (i = 0; i < SLOTS; i++)
		answer(OWN_ANSWER, 200);
	list_server("s3");
	answer("Request-Id: r1\r\nNot-Executed: 1\r\n", 503);
	g_assert_cmpuint(arrivals, ==, SLOTS + 2);
	g_assert_cmpuint(admitted, ==, 1);
	close_many(fds, SLOTS + 1);
	teardown_own();
}

/* With the failure domain evacuated, or the configuration revoked, a request
 * would wait for ever. */
static void requests_without_servers_are_answered(void)
{
	int fds[SLOTS + 1];

	setup_own();
	send_many(fds, SLOTS + 1);
	g_hash_table_add(proxy.evacuated, (char *)"fyn-a");
	servers_mark_changed(proxy.servers);
	run_ms(50);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpint(take_status(fds[SLOTS]), ==, 503);
	close_many(fds, SLOTS);
	teardown_own();

	setup_own();
	send_many(fds, SLOTS + 1);
	proxy.config->has_large_bodies = false;
	run_ms(50);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpuint(arrivals, ==, SLOTS + 1);
	close_many(fds, SLOTS + 1);
	teardown_own();
}

/* All servers of a failure domain start cold together, or ask for a pause,
 * while those of another have free slots. */
static void pausing_servers_do_not_hold_requests(void)
{
	struct server *own;
	int fd;

	setup_own();
	listed.failure_domain = (char *)"jyl-a";
	list_server("s9");
	listed.failure_domain = (char *)"fyn-a";
	own = servers_find(proxy.servers, "s2");
	server_record_busy(own, 30000, clock_now_ms(&now));
	fd = send_request();
	run_ms(50);
	g_assert_cmpuint(arrivals, ==, 1);
	g_assert_cmpuint(own->load.own_requests, ==, 0);
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);
	/* for a short pause it is faster to wait */
	own->busy_until_ms = clock_now_ms(&now) + 100;
	fd = send_request();
	run_ms(50);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 1);
	run_ms(100);
	g_assert_cmpuint(own->load.own_requests, ==, 1);
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_own();
}

/* A wait that is too long for the deadline is refused as not run, on arrival or
 * once it has become so. */
static void hopeless_requests_are_refused(void)
{
	int fds[SLOTS + 60];
	uint32_t refused = 0;
	uint32_t i;

	setup_own();
	proxy.config->routes[0].timeout_ms = 2000;
	send_many(fds, SLOTS + 60);
	g_assert_cmpuint(arrivals, ==, SLOTS);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), >, 0);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), <, 20);
	for (i = SLOTS; i < SLOTS + 60; i++) {
		if (!is_answered(fds[i]))
			continue;
		g_assert_cmpint(take_status(fds[i]), ==, 503);
		fds[i] = -1;
		refused++;
	}
	g_assert_cmpuint(refused + wait_queue_length(proxy.wait_queue), ==, 60);
	run_ms(2000);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	for (i = SLOTS; i < SLOTS + 60; i++)
		if (fds[i] >= 0)
			g_assert_cmpint(take_status(fds[i]), ==, 503);
	g_assert_cmpuint(arrivals, ==, SLOTS);
	close_many(fds, SLOTS);
	teardown_own();
}

/* Requests that are late already must not keep those out that can still meet
 * their target; the queue stays within one target latency's worth of work. */
static void late_requests_leave_for_those_in_time(void)
{
	int late[SLOTS + 8];
	int fresh[3];
	uint32_t refused = 0;
	uint32_t length;
	uint32_t i;

	setup_own();
	send_many(late, SLOTS + 8);
	length = wait_queue_length(proxy.wait_queue);
	g_assert_cmpuint(length, >=, 5);
	run_ms(TARGET_LATENCY_MS * 7 / 10);
	send_many(fresh, 3);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), <=, length + 1);
	for (i = 0; i < 3; i++)
		g_assert_false(is_answered(fresh[i]));
	for (i = SLOTS; i < SLOTS + 8; i++)
		refused += is_answered(late[i]);
	g_assert_cmpuint(refused, >=, 2);
	close_many(fresh, 3);
	close_many(late, SLOTS + 8);
	teardown_own();
}

/* A retry goes to another server of this VM, within its slots. */
static void retry_waits_for_another_server(void)
{
	int fds[2 * SLOTS];
	uint32_t i;

	setup_own();
	list_server("s3");
	send_many(fds, 2 * SLOTS);
	g_assert_cmpuint(arrivals, ==, 2 * SLOTS);
	answer("Request-Id: r1\r\nNot-Executed: 1\r\n", 503);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 1);
	/* its first server has a free slot, which it must not use again */
	for (i = 0; i < 2 * SLOTS; i++)
		answer(OWN_ANSWER, 200);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	for (i = 0; i < 2 * SLOTS; i++)
		g_assert_cmpint(take_status(fds[i]), ==, 200);
	teardown_own();
}

/* Puts a configuration in force in which one workspace has `key`. */
static void set_key(const char *key)
{
	struct config *config = new_config();

	config->has_large_bodies = true;
	g_assert_true(config_add_workspaces(config, 1));
	config->workspaces[0].name = strdup("dairy");
	g_assert_true(workspace_keys_add(config->keys, key, 0));
	config_unref(proxy.config);
	proxy.config = config;
}

static int send_with_key(const char *key)
{
	char *text = g_strdup_printf("GET /note HTTP/1.1\r\nHost: a.example\r\n"
				     "Request-Id: r1\r\nDeadline-Ms: 20000\r\n"
				     "Authorization: Bearer %s\r\n\r\n",
				     key);
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	caller_accept(&proxy, fds[0]);
	g_assert_cmpint(write(fds[1], text, strlen(text)), ==,
			(ssize_t)strlen(text));
	g_free(text);
	return fds[1];
}

/* Guards against a request that is sent with a key that was removed while the
 * request waited. */
static void removed_key_is_refused_after_waiting(void)
{
	int fds[SLOTS + 1];
	uint32_t i;

	setup_own();
	set_key("k1");
	for (i = 0; i < SLOTS + 1; i++)
		fds[i] = send_with_key("k1");
	run_ms(50);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 1);
	set_key("k9");
	for (i = 0; i < SLOTS; i++)
		answer(OWN_ANSWER, 200);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpuint(arrivals, ==, SLOTS);
	g_assert_cmpint(take_status(fds[SLOTS]), ==, 401);
	for (i = 0; i < SLOTS; i++)
		g_assert_cmpint(take_status(fds[i]), ==, 200);
	teardown_own();
}

/* A process that exits tells waiting callers that nothing has run. */
static void waiting_requests_are_answered_at_exit(void)
{
	struct stop *stop;
	int fds[SLOTS + 1];
	int status;

	setup_own();
	send_many(fds, SLOTS + 1);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_true(run_ms(SHORT_EXIT_MS + 500));
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpuint(arrivals, ==, SLOTS);
	status = take_status(fds[SLOTS]);
	g_assert_cmpint(status, ==, 503);
	close_many(fds, SLOTS);
	stop_free(stop);
	teardown_own();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("exchange_own", server_gets_no_more_than_its_slots);
	ADD_TEST("exchange_own", nothing_waits_unless_enabled);
	ADD_TEST("exchange_own", caller_that_leaves_frees_its_place);
	ADD_TEST("exchange_own", requests_of_a_leaving_server_are_placed_again);
	ADD_TEST("exchange_own", retried_request_counts_once_as_demand);
	ADD_TEST("exchange_own", requests_without_servers_are_answered);
	ADD_TEST("exchange_own", pausing_servers_do_not_hold_requests);
	ADD_TEST("exchange_own", hopeless_requests_are_refused);
	ADD_TEST("exchange_own", late_requests_leave_for_those_in_time);
	ADD_TEST("exchange_own", retry_waits_for_another_server);
	ADD_TEST("exchange_own", removed_key_is_refused_after_waiting);
	ADD_TEST("exchange_own", waiting_requests_are_answered_at_exit);
	return g_test_run();
}
