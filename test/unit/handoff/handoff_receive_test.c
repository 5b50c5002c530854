#include <errno.h>

#include "base/counter.h"
#include "unit/handoff/handoff_peer.h"

/* Requests that another VM passes on to this one. */

#define HEAD(method, receiver)                                       \
	method " /note HTTP/1.1\r\nHost: a.example\r\n"              \
	       "Request-Id: r1\r\nExpect-Instance: " receiver "\r\n" \
	       "Deadline-Ms: 800\r\n"
#define HANDOFF HEAD("GET", "e1") "\r\n"
#define LARGE_BYTES 100000
#define IDLE_TIMEOUT_MS 400

/* This VM is assigned to its server. */
static void setup_receiver(bool idempotent)
{
	const GPtrArray *own;

	setup_handoff(idempotent);
	put_vm("e1", settings.handoff_address);
	own = assignment_own_servers(proxy.assignment, "reg");
	g_assert_nonnull(own);
	g_assert_cmpuint(own->len, ==, 1);
}

static int send_handoff(const char *text)
{
	return send_text(text, caller_accept_handoff);
}

/* @return the response within a time, which the caller frees. */
static char *handoff_response(const char *text)
{
	int fd = send_handoff(text);
	char *response;

	run_ms(100);
	response = read_text(fd);
	close(fd);
	return response;
}

/* @return the status, after it checked what the response tells the other VM. */
static int handoff_status(bool not_executed, bool declined)
{
	char *response = handoff_response(HANDOFF);
	int status = status_of(response);

	g_assert_cmpint(strstr(response, "Not-Executed: 1\r\n") != NULL, ==,
			not_executed);
	g_assert_cmpint(strstr(response, "Handoff-Declined: 1\r\n") != NULL, ==,
			declined);
	if (status == 503)
		g_assert_nonnull(strstr(response, "Retry-After: "));
	g_free(response);
	return status;
}

/* A second VM that is assigned by its own list would pass requests back. */
static void request_is_placed_and_not_passed_on(void)
{
	uint64_t sent = counter_get(COUNTER_HANDOFFS_SENT);

	setup_receiver(false);
	put_vm("e2", "127.0.0.1:1");
	put_vm("e3", "127.0.0.1:2");
	put_vm("e4", "127.0.0.1:3");
	g_assert_cmpint(handoff_status(false, false), ==, 200);
	g_assert_cmpuint(backend.requests, ==, 1);
	g_assert_cmpuint(counter_get(COUNTER_HANDOFFS_SENT), ==, sent);
	teardown_handoff();
}

/* The other VM must know that the order has not run; a caller is told by the
 * status only. */
static void refusal_says_that_the_request_has_not_run(void)
{
	char *response;
	int fd;

	setup_receiver(false);
	backend.refuses = true;
	g_assert_cmpint(handoff_status(true, false), ==, 503);
	fd = send_text(HANDOFF, caller_accept);
	run_ms(100);
	response = read_text(fd);
	g_assert_cmpint(status_of(response), ==, 503);
	g_assert_null(strstr(response, "Not-Executed"));
	g_free(response);
	close(fd);
	teardown_handoff();
}

/* A response that may have run must not say otherwise. */
static void failure_does_not_say_not_executed(void)
{
	struct sockaddr_in address;
	struct responder *silent;
	char *response;
	int fd;

	setup_receiver(false);
	silent = listen_anywhere(handle_queued_request, NULL, &address);
	servers_remove(proxy.servers, "s2");
	put_server(&address);
	fd = send_handoff(HANDOFF);
	run_ms(1000);
	response = read_text(fd);
	g_assert_cmpint(status_of(response), ==, 504);
	g_assert_null(strstr(response, "Not-Executed"));
	g_free(response);
	close(fd);
	responder_free(silent);
	teardown_handoff();
}

/* The first VM would wait for a response that this one can no longer give. */
static void stopping_vm_declines(void)
{
	setup_receiver(false);
	proxy.stopping = true;
	proxy.exit_deadline_ms = proxy_now_ms(&proxy) + 5000;
	proxy.refuse_from_ms = proxy_now_ms(&proxy);
	proxy.late_from_ms = proxy_now_ms(&proxy);
	g_assert_cmpint(handoff_status(true, true), ==, 503);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_handoff();
}

/* An order that was written to a kept connection when this VM closed it got
 * 502. */
static void closed_idle_connection_refuses_what_it_has_not_read(void)
{
	char *response;
	int fd;

	setup_receiver(false);
	fd = send_handoff(HANDOFF);
	run_ms(100);
	g_free(read_text(fd));
	clock_manual_advance_ms(&manual, 1500);
	callers_close_idle(&proxy);
	g_assert_cmpint(send(fd, HANDOFF, strlen(HANDOFF), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(HANDOFF));
	run_ms(50);
	response = read_text(fd);
	g_assert_cmpint(status_of(response), ==, 503);
	g_assert_nonnull(strstr(response, "Not-Executed: 1\r\n"));
	g_assert_nonnull(strstr(response, "Handoff-Declined: 1\r\n"));
	g_assert_cmpuint(backend.requests, ==, 1);
	g_free(response);
	close(fd);
	teardown_handoff();
}

/* The lists of the two VMs differ for a moment. */
static void vm_that_is_not_assigned_declines(void)
{
	setup_handoff(false);
	proxy.config->has_large_bodies = false;
	g_assert_cmpint(handoff_status(true, true), ==, 503);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_handoff();
}

/* The first VM has a newer configuration: its caller must not get 404. */
static void request_unknown_to_this_configuration_is_declined(void)
{
	char *response;

	setup_receiver(false);
	response = handoff_response("GET /note HTTP/1.1\r\nHost: b.example\r\n"
				    "Request-Id: r1\r\n\r\n");
	g_assert_cmpint(status_of(response), ==, 503);
	g_assert_nonnull(strstr(response, "Handoff-Declined: 1\r\n"));
	g_free(response);
	teardown_handoff();
}

/* The platform gives the address of a VM that is gone to another one. */
static void request_for_another_vm_gets_421(void)
{
	char *response;

	setup_receiver(false);
	response = handoff_response(HEAD("GET", "e9") "\r\n");
	g_assert_cmpint(status_of(response), ==, 421);
	g_assert_cmpuint(backend.requests, ==, 0);
	g_free(response);
	teardown_handoff();
}

/* VMs that exchange a request in ten seconds would connect for each. */
static void idle_connections_of_vms_are_kept(void)
{
	char *response;
	int caller;
	int fd;

	setup_receiver(true);
	proxy.config->limits.idle_timeout_ms = IDLE_TIMEOUT_MS;
	proxy.config->limits.head_timeout_ms = IDLE_TIMEOUT_MS;
	fd = send_handoff(HANDOFF);
	caller = send_text(HANDOFF, caller_accept);
	run_ms(IDLE_TIMEOUT_MS * 4);
	g_assert_true(is_closed(caller));
	response = read_text(fd);
	g_assert_cmpint(status_of(response), ==, 200);
	g_assert_nonnull(strstr(response, "Keep-Alive: timeout=60\r\n"));
	g_free(response);
	g_assert_cmpint(write(fd, HANDOFF, strlen(HANDOFF)), ==,
			(ssize_t)strlen(HANDOFF));
	run_ms(100);
	response = read_text(fd);
	g_assert_cmpint(status_of(response), ==, 200);
	g_free(response);
	close(caller);
	close(fd);
	teardown_handoff();
}

/* A head of the largest size that a caller may send grows on its way. */
static void head_at_the_limit_is_accepted(void)
{
	char *filler;
	char *text;
	char *response;

	setup_receiver(true);
	proxy.config->limits.head_bytes_max = 2000;
	filler = g_strnfill(1900, 'x');
	text = g_strconcat(HEAD("GET", "e1"), "X: ", filler, "\r\n\r\n", NULL);
	response = handoff_response(text);
	g_assert_cmpint(status_of(response), ==, 200);
	g_free(response);
	g_free(text);
	g_free(filler);
	teardown_handoff();
}

/* The first VM buffers the response already and can repeat the request. Of an
 * order, this VM must not pass on what may turn out incomplete. */
static void large_response_is_forwarded_while_it_arrives(void)
{
	char *part = g_strnfill(LARGE_BYTES, 'x');
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n" SERVER_HEADERS
				     "Content-Length: %d\r\n\r\n%s",
				     LARGE_BYTES * 2, part);
	const char *const response = text;
	struct sockaddr_in address;
	char *received;
	int idempotent;
	int fd;

	for (idempotent = 0; idempotent < 2; idempotent++) {
		/* the fake VM is the server here */
		setup_peer_responding(idempotent, &response);
		/* the server is assigned to this VM */
		vms_remove(proxy.vms, "e2");
		put_vm("e1", settings.handoff_address);
		g_assert_true(tcp_parse_address(peer.address, &address));
		servers_remove(proxy.servers, "s2");
		put_server(&address);
		proxy.config->routes[0].attempts_max = 1;
		fd = send_handoff(HANDOFF);
		run_ms(100);
		received = read_text(fd);
		g_assert_cmpint(status_of(received), ==, idempotent ? 200 : 0);
		g_free(received);
		/* the server breaks off */
		shutdown(bufferevent_getfd(peer.connections[0]), SHUT_RDWR);
		run_ms(50);
		if (idempotent)
			g_assert_true(is_closed(fd));
		else
			g_assert_cmpint(take_status(fd), ==, 502);
		if (idempotent)
			close(fd);
		teardown_peer();
	}
	g_free(text);
	g_free(part);
}

/* The other VM closes its connection when its caller leaves. */
static void closed_connection_cancels_the_run(void)
{
	struct sockaddr_in address;
	struct responder *slow;
	int fd;

	setup_receiver(true);
	slow = listen_anywhere(handle_queued_request, NULL, &address);
	servers_remove(proxy.servers, "s2");
	put_server(&address);
	fd = send_handoff(HANDOFF);
	run_ms(50);
	g_assert_nonnull(queue.waiting);
	close(fd);
	run_ms(50);
	g_assert_null(queue.waiting);
	g_assert_cmpuint(proxy.exchanges_in_progress, ==, 0);
	responder_free(slow);
	teardown_handoff();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("handoff", request_is_placed_and_not_passed_on);
	ADD_TEST("handoff", refusal_says_that_the_request_has_not_run);
	ADD_TEST("handoff", failure_does_not_say_not_executed);
	ADD_TEST("handoff", stopping_vm_declines);
	ADD_TEST("handoff", closed_idle_connection_refuses_what_it_has_not_read);
	ADD_TEST("handoff", vm_that_is_not_assigned_declines);
	ADD_TEST("handoff", request_unknown_to_this_configuration_is_declined);
	ADD_TEST("handoff", request_for_another_vm_gets_421);
	ADD_TEST("handoff", idle_connections_of_vms_are_kept);
	ADD_TEST("handoff", head_at_the_limit_is_accepted);
	ADD_TEST("handoff", large_response_is_forwarded_while_it_arrives);
	ADD_TEST("handoff", closed_connection_cancels_the_run);
	return g_test_run();
}
