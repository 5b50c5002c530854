#include "standin.h"

#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * @file
 * A caller on a slow line reads the answer to an order while the VM is stopped
 * by SIGTERM.
 */

#define SLOTS 9
#define ORDERS 8
#define WORK_MS 300
/* Answers of several sizes: what the kernel takes at once differs. */
#define ANSWER_BYTES_MIN (592 * 1024)
#define ANSWER_BYTES_STEP (64 * 1024)
#define ANSWER_BYTES_MAX (ANSWER_BYTES_MIN + ORDERS * ANSWER_BYTES_STEP)
/* The line of a caller: 1.3 Mbit/s, packets and window of a usual size. */
#define READ_BYTES 8300
#define READ_INTERVAL_MS 50
#define WINDOW_BYTES 16384
#define SEGMENT_BYTES 1400
#define STOP_AFTER_MS 100
/* GraceS and 1 s: what ends later does not count. */
#define PLANNED_MS 7000

static const char server_id[] = "i-00000001";
static struct entry_vm vm;
static char filling[ANSWER_BYTES_MAX];
static atomic_int broken;
static atomic_int complete;
static atomic_int ended;
static atomic_int running;
static int64_t stopped_ms;

static size_t answer_bytes(const char *request_id)
{
	return ANSWER_BYTES_MIN +
	       ANSWER_BYTES_STEP *
		       strtoul(request_id + strlen("order-"), NULL, 10);
}

static bool serve_order(struct link *link, const char *request_id)
{
	size_t bytes = answer_bytes(request_id);

	record("server runs %s", request_id);
	running++;
	sleep_ms(WORK_MS);
	if (!write_text(link->fd,
			"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			"Response-Stamp: stamp-%s\r\n"
			"Content-Length: %zu\r\n\r\n",
			request_id, request_id, bytes) ||
	    !write_all(link->fd, filling, bytes))
		return false;
	record("server has sent the whole answer of %s, %zu bytes", request_id,
	       bytes);
	return true;
}

static void serve(struct link *link, void *context)
{
	struct message *request = calloc(1, sizeof(*request));
	char expected[64];
	char request_id[64];

	(void)context;
	while (read_head(link, request) && read_body(link, request)) {
		free(request->body);
		get_header(request, "Request-Id", request_id, sizeof(request_id));
		if (get_header(request, "Expect-Instance", expected,
			       sizeof(expected)) &&
		    strcmp(expected, server_id) != 0)
			break;
		if (!serve_order(link, request_id))
			break;
	}
	free(request);
}

static void *run_caller(void *context)
{
	struct message *answer = calloc(1, sizeof(*answer));
	struct link *link = calloc(1, sizeof(*link));
	char buffer[READ_BYTES];
	char request_id[32];
	size_t expected;
	size_t bytes;
	ssize_t got;

	snprintf(request_id, sizeof(request_id), "order-%d", *(int *)context);
	expected = answer_bytes(request_id);
	link->fd = connect_to(vm.request_port, WINDOW_BYTES, SEGMENT_BYTES);
	if (link->fd < 0)
		give_up("the VM cannot be connected to");
	record("caller sends %s", request_id);
	write_text(link->fd,
		   "POST /order/2f HTTP/1.1\r\nHost: a.example\r\n"
		   "Request-Id: %s\r\nCookie: Affinity-Key=17\r\n"
		   "Deadline-Ms: 25000\r\nContent-Length: 5\r\n\r\nrolls",
		   request_id);
	if (!read_head(link, answer)) {
		record("%s: the connection ended without an answer", request_id);
		broken++;
		ended++;
		return NULL;
	}
	record("%s: status %d, the answer begins", request_id,
	       get_status(answer));
	bytes = link->used;
	for (;;) {
		sleep_ms(READ_INTERVAL_MS);
		got = recv(link->fd, buffer, sizeof(buffer), 0);
		if (got <= 0)
			break;
		bytes += (size_t)got;
		if (bytes == expected)
			break;
	}
	record("%s: %zu of %zu bytes%s, %.1f s after the VM was told to stop",
	       request_id, bytes, expected,
	       bytes == expected ? ""
	       : got		 ? ", then the connection was reset"
				 : ", then the connection was closed",
	       stopped_ms ? (double)(now_ms() - stopped_ms) / 1000 : 0.0);
	if (get_status(answer) == 200 && bytes == expected)
		complete++;
	else if (!stopped_ms || now_ms() - stopped_ms <= PLANNED_MS)
		broken++;
	ended++;
	return NULL;
}

int main(void)
{
	static int numbers[ORDERS];
	uint16_t port;
	int fd;
	int i;

	case_begin();
	store_start();
	fd = listen_anywhere(&port);
	serve_connections(fd, serve, NULL);
	store_put_server(server_id, "counter", "leic-a", port, SLOTS, "ready", 4);
	store_put("op/config",
		  "{\"Version\":\"00000007\",\"Routes\":{"
		  "\"r-order\":{\"Host\":\"a.example\",\"Prefix\":\"/order/\","
		  "\"Kind\":\"non_idempotent\",\"TimeoutMs\":20000,"
		  "\"TargetLatencyMs\":10000,\"Priority\":1,"
		  "\"Service\":\"counter\",\"MaxAttempts\":2,\"Sticky\":true,"
		  "\"HomeRegions\":[]}},"
		  "\"Services\":{\"counter\":{\"HealthPath\":\"/health\","
		  "\"MaxConns\":845,\"Protocol\":\"h1\",\"Tls\":false,"
		  "\"ColdStartS\":3.0,\"ColdPerS\":5.7}},"
		  "\"Limits\":{\"MaxHeaderBytes\":16384,"
		  "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
		  "\"IdleTimeoutMs\":15000}}");
	entry_start(&vm, "front-leic-a-1", "leic-a");
	entry_wait_ready(&vm);
	sleep_ms(5000); /* in touch */
	for (i = 0; i < ORDERS; i++) {
		numbers[i] = i + 1;
		start_thread(run_caller, &numbers[i]);
	}
	while (running < ORDERS)
		sleep_ms(5);
	sleep_ms(STOP_AFTER_MS);
	if (case_has_trouble()) {
		record("SIGTERM to the VM, while the server is at work");
		stopped_ms = now_ms();
		kill(vm.pid, SIGTERM);
	}
	while (ended < ORDERS) {
		sleep_ms(10);
		entry_has_ended(&vm);
	}
	record("answers complete: %d, broken off: %d", complete, broken);
	if (broken)
		case_end(RULE_BROKEN);
	case_end(complete == ORDERS ? RULE_HELD : NOT_RUN);
}
