#include "proxy/stop.h"

#include <event2/buffer.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kv/presence.h"
#include "net/http_stream.h"
#include "net/linger.h"
#include "net/tcp.h"
#include "net/timer.h"
#include "platform_kv.h"
#include "proxy/caller.h"
#include "proxy/crash.h"
#include "proxy/pool.h"
#include "proxy/store_sync.h"
#include "unit/test.h"

/* Runs a graceful shutdown in this process. The clock is advanced manually;
 * timers run on the event loop. */

/* Well behind the time at which a VM without requests exits. */
#define EXIT_MS 4500
#define GRACE_MS 10000
#define RESPONSE_BYTES (2 * 1024 * 1024)
/* Grace of the tests in which a request is in progress at the exit, which is
 * half a second earlier. */
#define SHORT_GRACE_MS 5000
#define SHORT_EXIT_MS (SHORT_GRACE_MS - 500)
/* When no caller has this VM's address from the directory any more. */
#define CALLERS_LEFT_MS 3300
#define REQUEST_TIMEOUT_MS 20000
#define TARGET_LATENCY_MS 1000

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct proxy_settings settings = {
	.name = (char *)"e1",
	.relay_address = (char *)"",
	.store_history_s = 20,
	.pipelined_requests = 8,
};
static struct proxy proxy;
static struct platform_kv *kv;
static struct responder *store;
static struct responder *server;

/* What the server does with a request that waits for a slot. */
static struct {
	bool reports_deadline; /* says at the deadline that it did not run it */
	uint32_t arrived;
	struct responder_request *waiting;
	struct event *deadline;
} queue;

static void ignore(void *context)
{
	(void)context;
}

static const struct presence_events presence_events = { ignore, ignore };
static const struct http_stream_events stream_events = { 0 };

static struct responder *listen_anywhere(responder_handler handler, void *context,
					 struct sockaddr_in *address)
{
	struct responder *responder = NULL;
	char text[32];
	int tries;

	for (tries = 0; tries < 20 && !responder; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		responder = responder_new(proxy.base, text, handler, context);
	}
	g_assert_nonnull(responder);
	g_assert_true(tcp_parse_address(text, address));
	return responder;
}

static void setup(void)
{
	struct sockaddr_in address;

	now = clock_from_manual(&manual);
	proxy.base = event_base_new();
	proxy.clock = &now;
	proxy.settings = &settings;
	proxy.bounds.stop_grace_ms = GRACE_MS;
	kv = platform_kv_new(proxy.base);
	store = listen_anywhere(platform_kv_handle, kv, &address);
	proxy.presence = presence_new(proxy.base, &address, "a/vm", "{}",
				      &presence_events, NULL);
}

static void teardown(void)
{
	presence_free(proxy.presence);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	linger_free_all();
	event_base_free(proxy.base);
	memset(&proxy, 0, sizeof(proxy));
}

static void on_queue_deadline(evutil_socket_t fd, short what, void *context)
{
	struct responder_request *request = queue.waiting;

	(void)fd;
	(void)what;
	(void)context;
	queue.waiting = NULL;
	responder_reply(request, 503, "Not-Executed: 1\r\n", NULL);
}

static void on_queue_left(void *context)
{
	(void)context;
	queue.waiting = NULL;
	evtimer_del(queue.deadline);
}

/* A server whose slots are taken until after the end of the test. */
static void handle_queued_request(void *context, struct responder_request *request)
{
	const char *deadline = http_head_get(request->head, "Deadline-Ms");

	(void)context;
	queue.arrived++;
	queue.waiting = request;
	request->on_disconnect = on_queue_left;
	if (queue.reports_deadline)
		timer_start(queue.deadline, g_ascii_strtoll(deadline, NULL, 10));
}

static struct config *new_config(void)
{
	struct config *config = config_new(1, 1);
	struct route *route = &config->routes[0];

	config->version = 1;
	config->limits = (struct caller_limits){ 16384, 65536, 30000, 30000 };
	config->services[0].name = strdup("reg");
	config->services[0].health_path = strdup("/health");
	route->name = strdup("read");
	route->host = strdup("a.example");
	route->prefix = strdup("/");
	route->prefix_bytes = 1;
	route->idempotent = true;
	route->timeout_ms = REQUEST_TIMEOUT_MS;
	route->target_latency_ms = TARGET_LATENCY_MS;
	route->attempts_max = 2;
	route->parts = calloc(1, sizeof(*route->parts));
	route->part_count = 1;
	route->parts[0].service = &config->services[0];
	route->parts[0].weight = 1;
	g_assert_null(config_finalize(config));
	return config;
}

/* A VM with one route and one server, at which requests wait. */
static void setup_requests(bool reports_deadline)
{
	struct server_entry entry = {
		.id = (char *)"s1",
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 4,
	};
	struct sockaddr_in nowhere;

	setup();
	memset(&queue, 0, sizeof(queue));
	queue.reports_deadline = reports_deadline;
	queue.deadline = evtimer_new(proxy.base, on_queue_deadline, NULL);
	proxy.bounds.stop_grace_ms = SHORT_GRACE_MS;
	proxy.topology.domains = domains;
	proxy.topology.domain_count = G_N_ELEMENTS(domains);
	proxy.region = g_intern_string("fyn");
	proxy.failure_domain = g_intern_string("fyn-a");
	proxy.evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	proxy.service_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy.route_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy.servers = servers_new(&now, &proxy.topology);
	proxy.vms = vms_new(&proxy.topology);
	g_assert_true(tcp_parse_address("127.0.0.1:1", &nowhere));
	proxy.crashes = crash_watch_new(&proxy, &nowhere);
	proxy.store_sync = store_sync_new(&proxy, &nowhere);
	proxy.config = new_config();
	server = listen_anywhere(handle_queued_request, NULL, &entry.address);
	servers_put(proxy.servers, &entry);
}

static void teardown_requests(void)
{
	struct server *s1 =
		g_ptr_array_index(servers_for_service(proxy.servers, "reg"), 0);

	callers_close_all(&proxy);
	while (s1->idle)
		pool_discard(s1->idle);
	responder_free(server);
	event_free(queue.deadline);
	store_sync_free(proxy.store_sync);
	crash_watch_free(proxy.crashes);
	servers_free(proxy.servers);
	vms_free(proxy.vms);
	g_hash_table_destroy(proxy.evacuated);
	g_hash_table_destroy(proxy.service_states);
	g_hash_table_destroy(proxy.route_states);
	config_unref(proxy.config);
	teardown();
}

/* Sends a request on an open connection. */
static void send_another_request(int fd)
{
	static const char text[] = "GET /note HTTP/1.1\r\nHost: a.example\r\n"
				   "Request-Id: r1\r\nDeadline-Ms: 20000\r\n"
				   "\r\n";

	g_assert_cmpint(write(fd, text, strlen(text)), ==, (ssize_t)strlen(text));
}

/* Sends a request. @return the caller's end of its connection. */
static int send_request(void)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	caller_accept(&proxy, fds[0]);
	send_another_request(fds[1]);
	return fds[1];
}

/* @return the status of the response that has arrived; 0: none. Closes the
 * connection. */
static int take_status(int fd)
{
	char text[512] = "";
	ssize_t bytes = read(fd, text, sizeof(text) - 1);
	int status = 0;

	if (bytes > 0 && strstr(text, "\r\n\r\n"))
		g_assert_cmpint(sscanf(text, "HTTP/1.1 %d", &status), ==, 1);
	close(fd);
	return status;
}

/* @return the number of responses that have arrived. Closes the connection. */
static uint32_t count_responses(int fd)
{
	char text[2048] = "";
	const char *at = text;
	uint32_t count = 0;

	if (read(fd, text, sizeof(text) - 1) > 0)
		while ((at = strstr(at, "HTTP/1.1 "))) {
			count++;
			at++;
		}
	close(fd);
	return count;
}

/* Runs the loop for a time. @return whether the shutdown has ended. */
static bool run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		event_base_loop(proxy.base, EVLOOP_NONBLOCK);
		if (event_base_got_break(proxy.base))
			return true;
		usleep(5000);
		clock_manual_advance_ms(&manual, 5);
	}
	return false;
}

/* A response whose caller has not read it yet; its request is no longer in
 * progress. @return the caller's end of the connection. */
static int begin_closing_connection(void)
{
	char *response = g_malloc0(RESPONSE_BYTES);
	struct http_stream *stream;
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	stream = http_stream_accept(proxy.base, fds[0], 1000, &stream_events,
				    NULL);
	g_assert_nonnull(stream);
	evbuffer_add(http_stream_output(stream), response, RESPONSE_BYTES);
	http_stream_free_lingering(stream);
	g_free(response);
	return fds[1];
}

/* The process must not end while a response is still in its memory. */
static void waits_until_responses_have_left(void)
{
	char chunk[65536];
	struct stop *stop;
	size_t received = 0;
	bool ended = false;
	ssize_t bytes;
	int fd;

	setup();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(3000));
	fd = begin_closing_connection();
	g_assert_false(run_ms(EXIT_MS - 3000));
	while ((bytes = read(fd, chunk, sizeof(chunk))) > 0) {
		received += (size_t)bytes;
		/* it may end while the last bytes are in the kernel's buffer */
		ended |= run_ms(5);
	}
	g_assert_cmpuint(received, ==, RESPONSE_BYTES);
	g_assert_true(ended || run_ms(1000));
	close(fd);
	stop_free(stop);
	teardown();
}

static void ends_when_nothing_is_left(void)
{
	struct stop *stop;

	setup();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_true(run_ms(EXIT_MS));
	stop_free(stop);
	teardown();
}

/* The request waits at its server until the process exits: its caller must
 * learn that it has not run. */
static void queued_request_is_not_given_up_at_exit(void)
{
	struct stop *stop;
	int fd;

	setup_requests(true);
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(1000));
	fd = send_request();
	g_assert_true(run_ms(SHORT_EXIT_MS));
	g_assert_cmpuint(queue.arrived, ==, 1);
	g_assert_cmpint(take_status(fd), ==, 503);
	stop_free(stop);
	teardown_requests();
}

/* Like the test above, but the server reports nothing: the request may have
 * run. One request was taken before SIGTERM, one after it. */
static void request_without_response_is_answered_at_exit(void)
{
	struct stop *stop;
	int before;
	int after;

	setup_requests(false);
	run_ms(100);
	before = send_request();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(1000));
	after = send_request();
	g_assert_true(run_ms(SHORT_EXIT_MS));
	g_assert_cmpuint(queue.arrived, ==, 2);
	g_assert_cmpint(take_status(before), ==, 504);
	g_assert_cmpint(take_status(after), ==, 504);
	stop_free(stop);
	teardown_requests();
}

/* The process was suspended until after its exit deadline. */
static void last_responses_leave_after_a_suspension(void)
{
	struct stop *stop;
	int fd;

	setup_requests(false);
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(1000));
	fd = send_request();
	g_assert_false(run_ms(100));
	clock_manual_advance_ms(&manual, 2 * SHORT_GRACE_MS);
	g_assert_true(run_ms(1000));
	g_assert_cmpint(take_status(fd), ==, 504);
	stop_free(stop);
	teardown_requests();
}

/* Callers that still send when all have left can be served by another VM. */
static void request_long_after_sigterm_is_refused(void)
{
	struct stop *stop;
	int before;
	int late;

	setup_requests(false);
	run_ms(100);
	before = send_request();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(CALLERS_LEFT_MS + 100));
	late = send_request();
	g_assert_false(run_ms(100));
	g_assert_cmpuint(queue.arrived, ==, 1);
	g_assert_cmpint(take_status(late), ==, 503);
	close(before);
	stop_free(stop);
	teardown_requests();
}

/* The process has read the second request with the first one's connection: it
 * must not close that connection without a response to it. */
static void request_read_behind_another_is_answered(void)
{
	struct stop *stop;
	int fd;

	setup_requests(false);
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(1000));
	fd = send_request();
	run_ms(100);
	send_another_request(fd);
	g_assert_true(run_ms(SHORT_EXIT_MS));
	g_assert_cmpuint(count_responses(fd), ==, 2);
	stop_free(stop);
	teardown_requests();
}

/* The second response waits for the first and closes the connection; what is
 * read behind it must be answered, or not be sent to a server. */
static void nothing_is_sent_behind_the_last_response(void)
{
	struct stop *stop;
	struct responder_request *second;
	int fd;

	setup_requests(false);
	run_ms(100);
	fd = send_request();
	run_ms(100);
	send_another_request(fd);
	run_ms(100);
	g_assert_cmpuint(queue.arrived, ==, 2);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	run_ms(100);
	second = queue.waiting;
	queue.waiting = NULL;
	responder_reply(second, 503, "Not-Executed: 1\r\n", NULL);
	run_ms(100);
	send_another_request(fd);
	g_assert_true(run_ms(SHORT_EXIT_MS + 500));
	g_assert_cmpuint(count_responses(fd), ==, queue.arrived);
	stop_free(stop);
	teardown_requests();
}

/* The responses that a late check sends must leave before the process ends. */
static void late_check_still_sends_responses(void)
{
	struct stop *stop;
	int fd;

	setup_requests(false);
	run_ms(100);
	fd = send_request();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(SHORT_EXIT_MS - 200));
	clock_manual_advance_ms(&manual, 550);
	g_assert_true(run_ms(1000));
	g_assert_cmpint(take_status(fd), ==, 504);
	stop_free(stop);
	teardown_requests();
}

/* A server told that a millisecond is left cannot end the run: the caller must
 * learn that the request has not run. */
static void refused_request_is_not_sent_again_at_exit(void)
{
	struct server_entry entry = {
		.id = (char *)"s2",
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 4,
	};
	struct responder_request *first;
	struct responder *other;
	struct stop *stop;
	int fd;

	setup_requests(false);
	proxy.config->routes[0].idempotent = false;
	proxy.config->routes[0].target_latency_ms = 20;
	proxy.bounds.retry_extra = 20;
	proxy.bounds.retry_window_ms = 10000;
	other = listen_anywhere(handle_queued_request, NULL, &entry.address);
	servers_put(proxy.servers, &entry);
	run_ms(100);
	fd = send_request();
	run_ms(100);
	g_assert_cmpuint(queue.arrived, ==, 1);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(SHORT_EXIT_MS - 75));
	first = queue.waiting;
	queue.waiting = NULL;
	responder_reply(first, 503, "Not-Executed: 1\r\n", NULL);
	g_assert_true(run_ms(1000));
	g_assert_cmpuint(queue.arrived, ==, 1);
	g_assert_cmpint(take_status(fd), ==, 503);
	stop_free(stop);
	responder_free(other);
	teardown_requests();
}

/* A response that is being streamed goes on while the requests behind it get
 * theirs. */
static void streamed_response_goes_on_at_exit(void)
{
	char *chunk = g_malloc0(65536);
	struct responder_request *first;
	struct evbuffer *body = evbuffer_new();
	char *zeros = g_malloc0(RESPONSE_BYTES);
	GString *received = g_string_new(NULL);
	struct stop *stop;
	bool ended = false;
	ssize_t bytes;
	int tries;
	int fd;

	setup_requests(false);
	run_ms(100);
	fd = send_request();
	run_ms(100);
	send_another_request(fd);
	first = queue.waiting;
	queue.waiting = NULL;
	run_ms(100);
	send_another_request(fd);
	run_ms(100);
	g_assert_cmpuint(queue.arrived, ==, 3);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(SHORT_EXIT_MS - 150));
	evbuffer_add(body, zeros, RESPONSE_BYTES);
	responder_reply(first, 200, "Request-Id: r1\r\nResponse-Stamp: a.b\r\n",
			body);
	g_assert_false(run_ms(250));
	for (tries = 0; tries < 200 && !ended; tries++) {
		while ((bytes = read(fd, chunk, 65536)) > 0)
			g_string_append_len(received, chunk, bytes);
		ended = run_ms(5);
	}
	while ((bytes = read(fd, chunk, 65536)) > 0)
		g_string_append_len(received, chunk, bytes);
	g_assert_true(ended);
	g_assert_cmpuint(received->len, >, RESPONSE_BYTES);
	g_assert_nonnull(g_strstr_len(received->str, (gssize)received->len,
				      "HTTP/1.1 200"));
	g_assert_nonnull(memmem(received->str, received->len, "HTTP/1.1 504", 12));
	close(fd);
	g_string_free(received, true);
	evbuffer_free(body);
	g_free(zeros);
	g_free(chunk);
	stop_free(stop);
	teardown_requests();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	ADD_TEST("stop", waits_until_responses_have_left);
	ADD_TEST("stop", ends_when_nothing_is_left);
	ADD_TEST("stop", queued_request_is_not_given_up_at_exit);
	ADD_TEST("stop", request_without_response_is_answered_at_exit);
	ADD_TEST("stop", last_responses_leave_after_a_suspension);
	ADD_TEST("stop", request_long_after_sigterm_is_refused);
	ADD_TEST("stop", request_read_behind_another_is_answered);
	ADD_TEST("stop", nothing_is_sent_behind_the_last_response);
	ADD_TEST("stop", late_check_still_sends_responses);
	ADD_TEST("stop", refused_request_is_not_sent_again_at_exit);
	ADD_TEST("stop", streamed_response_goes_on_at_exit);
	return g_test_run();
}
