#include <xxhash.h>

#include "unit/request/own_servers.h"

/* Which of this VM's servers have an object cached, and retries at them. */

/* Of a server that refuses although it has free slots. */
#define FREE_REFUSAL \
	"Request-Id: r1\r\nNot-Executed: 1\r\nBackend-Load: 0,0,4\r\n"

static int send_for_object(const char *object)
{
	int fds[2];
	char text[256];

	g_snprintf(text, sizeof(text),
		   "GET /note HTTP/1.1\r\nHost: a.example\r\n"
		   "Request-Id: r1\r\nDeadline-Ms: 20000\r\n"
		   "Cookie: Affinity-Key=%s\r\n\r\n",
		   object);
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	caller_accept(&proxy, fds[0]);
	g_assert_cmpint(write(fds[1], text, strlen(text)), ==,
			(ssize_t)strlen(text));
	run_ms(30);
	return fds[1];
}

/* Run times of hits and misses are known from here on. */
static void set_run_times(void)
{
	struct route_state *state =
		g_hash_table_lookup(proxy.route_states, "read");

	state->run_time = (struct run_time){ 100, 300 };
}

/* @return the server that has the only request in progress. */
static struct server *busy_server(void)
{
	struct server *s2 = servers_find(proxy.servers, "s2");
	struct server *s3 = servers_find(proxy.servers, "s3");

	g_assert_cmpuint(held->len, ==, 1);
	g_assert_cmpuint(s2->load.own_requests + s3->load.own_requests, ==, 1);
	return s2->load.own_requests ? s2 : s3;
}

static void setup_two_servers(void)
{
	int fd;

	setup_own();
	proxy.config->routes[0].sticky = true;
	proxy.config->routes[0].attempts_max = 4;
	list_server("s3");
	fd = send_for_object("o1");
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);
	set_run_times();
}

/* Servers refuse some requests at random. A retry at a server that does not
 * have the object cached takes three times as long. */
static void refused_hit_is_sent_to_its_server_once_more(void)
{
	struct server *first;
	int fd;

	setup_two_servers();
	fd = send_for_object("o1");
	first = busy_server();
	answer(FREE_REFUSAL, 503);
	g_assert_true(busy_server() == first);
	answer(FREE_REFUSAL, 503);
	g_assert_true(busy_server() != first);
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);
	g_assert_cmpuint(arrivals, ==, 4);
	teardown_own();
}

/* The attempts of a route, and the retries of the fleet, stay bounded. */
static void second_try_at_a_server_counts_as_a_retry(void)
{
	uint64_t retries = counter_get(COUNTER_RETRIES);
	int fd;

	setup_two_servers();
	proxy.config->routes[0].attempts_max = 2;
	fd = send_for_object("o1");
	answer(FREE_REFUSAL, 503);
	g_assert_cmpuint(counter_get(COUNTER_RETRIES) - retries, ==, 1);
	answer(FREE_REFUSAL, 503);
	g_assert_cmpint(take_status(fd), ==, 503);
	g_assert_cmpuint(arrivals, ==, 3);
	proxy.bounds.retry_extra = 0;
	fd = send_for_object("o1");
	answer(FREE_REFUSAL, 503);
	g_assert_cmpint(take_status(fd), ==, 503);
	g_assert_cmpuint(arrivals, ==, 4);
	teardown_own();
}

/* A server that asks for a pause would refuse again, and without the object in
 * its cache it is no better than another one. */
static void other_refusals_are_retried_elsewhere(void)
{
	struct server *first;
	int fd;

	setup_two_servers();
	fd = send_for_object("o2");
	first = busy_server();
	answer(FREE_REFUSAL, 503);
	g_assert_true(busy_server() != first);
	/* the refused request has not loaded it */
	g_assert_cmpuint(recent_objects_position(&first->recent,
						 XXH3_64bits("o2", 2)),
			 ==, RECENT_OBJECTS_ABSENT);
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);

	set_run_times();
	fd = send_for_object("o1");
	first = busy_server();
	answer(FREE_REFUSAL "Retry-After: 1\r\n", 503);
	g_assert_true(busy_server() != first);
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_own();
}

/* @return how many of eight objects go to a server. */
static uint32_t count_objects_sent_to(const char *id)
{
	const struct server *target = servers_find(proxy.servers, id);
	uint32_t count = 0;
	char object[8];
	int i;
	int fd;

	for (i = 0; i < 8; i++) {
		g_snprintf(object, sizeof(object), "p%d", i);
		fd = send_for_object(object);
		g_assert_cmpuint(held->len, ==, 1);
		count += target->load.own_requests;
		answer(OWN_ANSWER, 200);
		g_assert_cmpint(take_status(fd), ==, 200);
	}
	return count;
}

/* A server that joins while others have the objects cached and slots free would
 * get none of them. */
static void objects_move_once_to_a_server_that_has_joined(void)
{
	uint64_t moved = counter_get(COUNTER_OBJECTS_MOVED);
	uint32_t taken;

	setup_own();
	proxy.config->routes[0].sticky = true;
	proxy.config->routes[0].target_latency_ms = 2000;
	g_assert_cmpuint(count_objects_sent_to("s2"), ==, 8);
	set_run_times();
	list_server("s3");
	servers_find(proxy.servers, "s3")->ramp = (struct ramp){ 0 };
	g_assert_cmpuint(count_objects_sent_to("s3"), ==, 0);
	ramp_begin(&servers_find(proxy.servers, "s3")->ramp, clock_now_ms(&now),
		   0);
	taken = count_objects_sent_to("s3");
	g_assert_cmpuint(taken, >, 0);
	g_assert_cmpuint(taken, <, 8);
	g_assert_cmpuint(counter_get(COUNTER_OBJECTS_MOVED) - moved, ==, taken);
	g_assert_cmpuint(count_objects_sent_to("s3"), ==, taken);
	g_assert_cmpuint(counter_get(COUNTER_OBJECTS_MOVED) - moved, ==, taken);
	teardown_own();
}

/* The position of an object counts as it was when the request was sent; a retry
 * finds its own refused attempt there. */
static void runs_tell_how_many_objects_are_cached(void)
{
	const struct cache_depth *depth;
	const struct run_time *time;
	double last;
	int fd;

	setup_two_servers();
	listed.draining = true;
	list_server("s3");
	listed.draining = false;
	fd = send_for_object("o2");
	answer(OWN_ANSWER, 200);
	close(fd);
	fd = send_for_object("o1");
	answer(OWN_ANSWER, 200);
	close(fd);
	set_run_times();
	fd = send_for_object("o2");
	answer(OWN_ANSWER, 200);
	close(fd);
	depth = &((struct service_state *)g_hash_table_lookup(proxy.service_states,
							      "reg"))
			 ->cache_depth;
	g_assert_cmpfloat(depth->evidence[1], >, 0);
	g_assert_cmpfloat(depth->evidence[0], ==, 0);
	last = depth->evidence[1];
	fd = send_for_object("o1");
	answer(FREE_REFUSAL, 503);
	answer(OWN_ANSWER, 200);
	g_assert_cmpint(take_status(fd), ==, 200);
	g_assert_cmpfloat(depth->evidence[0], ==, 0);
	g_assert_cmpfloat(depth->evidence[1], ==, last);
	/* near the depth, run times are neither those of hits nor of misses */
	time = &((struct route_state *)g_hash_table_lookup(proxy.route_states,
							   "read"))
			->run_time;
	set_run_times();
	((struct cache_depth *)depth)->shift = 1 - CACHE_DEPTH_INITIAL;
	fd = send_for_object("o2");
	answer(OWN_ANSWER, 200);
	close(fd);
	g_assert_cmpfloat(time->cached_ms, ==, 100);
	g_assert_cmpfloat(time->uncached_ms, ==, 300);
	teardown_own();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("exchange_cached", refused_hit_is_sent_to_its_server_once_more);
	ADD_TEST("exchange_cached", second_try_at_a_server_counts_as_a_retry);
	ADD_TEST("exchange_cached", other_refusals_are_retried_elsewhere);
	ADD_TEST("exchange_cached", runs_tell_how_many_objects_are_cached);
	ADD_TEST("exchange_cached",
		 objects_move_once_to_a_server_that_has_joined);
	return g_test_run();
}
