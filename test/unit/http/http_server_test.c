#include "http/http_server.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/tcp.h"
#include "unit/test.h"

/* Time within which a server that is being stopped accepts no connection. */
#define CLOSED_AFTER_MS 300
/* Time that one handler takes. */
#define SLOW_MS 600
#define DRAIN_MS 2000

static char address[32];
static struct mg_context *server;

static int answer(struct mg_connection *connection, void *context)
{
	(void)context;
	http_reply(connection, 200, NULL, NULL, "", 0);
	return 200;
}

static int answer_slowly(struct mg_connection *connection, void *context)
{
	g_usleep(SLOW_MS * 1000);
	return answer(connection, context);
}

static void setup(void)
{
	struct http_server_options options = {
		.address = address,
		.threads = 4,
		.keep_alive_ms = 2000,
		.request_timeout_ms = 10000,
		.connections_max = 16,
	};
	int tries;

	for (tries = 0; tries < 20 && !server; tries++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		server = http_server_start(&options);
	}
	g_assert_nonnull(server);
	mg_set_request_handler(server, "/slow$", answer_slowly, NULL);
	mg_set_request_handler(server, "/", answer, NULL);
	/* the server waits for connections */
	g_usleep(100 * 1000);
}

/* @return a connection to the server, or -1. */
static int connect_to_server(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in to;

	g_assert_cmpint(fd, >=, 0);
	g_assert_true(tcp_parse_address(address, &to));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return fd;
	close(fd);
	return -1;
}

static bool is_connection_accepted(void)
{
	int fd = connect_to_server();

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

static void *stop_server(void *context)
{
	(void)context;
	http_server_stop(server, address, DRAIN_MS);
	server = NULL;
	return NULL;
}

/* What connects to a server that is being stopped gets no response: it must be
 * refused, so that the caller knows that its request was not sent. */
static void refuses_connections_while_stopping(void)
{
	pthread_t thread;

	setup();
	g_assert_true(is_connection_accepted());
	g_usleep(100 * 1000);
	g_assert_cmpint(pthread_create(&thread, NULL, stop_server, NULL), ==, 0);
	g_usleep(CLOSED_AFTER_MS * 1000);
	g_assert_false(is_connection_accepted());
	pthread_join(thread, NULL);
}

static void stops_soon(void)
{
	int64_t began_ms;

	setup();
	began_ms = clock_now_ms(&clock_system);
	stop_server(NULL);
	g_assert_cmpint(clock_now_ms(&clock_system) - began_ms, <, 1000);
}

static void answers_requests_in_progress(void)
{
	static const char request[] = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
	char response[256] = "";
	pthread_t thread;
	int fd;

	setup();
	fd = connect_to_server();
	g_assert_cmpint(write(fd, request, strlen(request)), ==, strlen(request));
	g_usleep(SLOW_MS / 3 * 1000);
	g_assert_cmpint(pthread_create(&thread, NULL, stop_server, NULL), ==, 0);
	g_assert_cmpint(read(fd, response, sizeof(response) - 1), >, 0);
	g_assert_nonnull(strstr(response, "HTTP/1.1 200 "));
	close(fd);
	pthread_join(thread, NULL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	mg_init_library(0);
	ADD_TEST("http_server", refuses_connections_while_stopping);
	ADD_TEST("http_server", stops_soon);
	ADD_TEST("http_server", answers_requests_in_progress);
	return g_test_run();
}
