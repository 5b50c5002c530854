#include <arpa/inet.h>

#include "unit/handoff/handoff_peer.h"

/* Requests that this VM passes on to another one, e2, which fails in all ways. */

/* The other VM authenticates the request itself and needs the caller's headers;
 * the deadline is what is left of the caller's. */
static void request_arrives_with_its_headers(void)
{
	static const char *const response = SUCCESS;
	uint32_t left_ms = 0;
	char *text;

	setup_peer_responding(false, &response);
	text = request_for_ms(100);
	g_assert_cmpint(status_of(text), ==, 200);
	g_assert_nonnull(strstr(text, "From: e2"));
	g_assert_cmpuint(backend.requests, ==, 0);
	g_assert_true(g_str_has_prefix(peer.last, "POST /note HTTP/1.1\r\n"));
	g_assert_nonnull(strstr(peer.last, "Authorization: Bearer k\r\n"));
	g_assert_nonnull(strstr(peer.last, "Expect-Instance: e2\r\n"));
	g_assert_null(strstr(peer.last, "X-Hop"));
	g_assert_cmpint(sscanf(strstr(peer.last, "Deadline-Ms: "),
			       "Deadline-Ms: %u", &left_ms),
			==, 1);
	g_assert_cmpuint(left_ms, >, 600);
	g_assert_cmpuint(left_ms, <=, 800);
	g_free(text);
	teardown_peer();
}

/* A second attempt by this VM, after the other one made its retries, would
 * exceed the limits on both. */
static void errors_of_the_other_vm_are_delivered(void)
{
	static const struct {
		const char *response;
		int status;
	} cases[] = {
		{ ERROR("404", ""), 404 },
		{ ERROR("401", ""), 401 },
		{ ERROR("502", ""), 502 },
		{ ERROR("504", ""), 504 },
		{ ERROR("503", "Not-Executed: 1\r\nRetry-After: 0.7\r\n"), 503 },
		{ ERROR("429", "Not-Executed: 1\r\nRetry-After: 0.7\r\n"), 429 },
	};
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_peer_responding(true, &cases[i].response);
		text = request_for_ms(100);
		g_assert_cmpint(status_of(text), ==, cases[i].status);
		g_assert_null(strstr(text, "Not-Executed"));
		if (cases[i].status == 503 || cases[i].status == 429)
			g_assert_nonnull(strstr(text, "Retry-After: 0.7\r\n"));
		g_assert_cmpuint(backend.requests, ==, 0);
		g_assert_cmpuint(peer.requests, ==, 1);
		g_free(text);
		teardown_peer();
	}
}

/* Without Not-Executed, the order may have run. */
static void refusal_without_proof_is_not_delivered(void)
{
	static const char *const responses[] = {
		ERROR("503", ""),
		ERROR("429", ""),
		ERROR("408", ""),
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(responses); i++) {
		setup_peer_responding(false, &responses[i]);
		g_assert_cmpint(request_status(), ==, 502);
		g_assert_cmpuint(backend.requests, ==, 0);
		teardown_peer();
	}
}

/* An order whose response does not prove that it has not run went on to another
 * region, and ran there a second time. */
static void refused_order_goes_on_only_with_proof(void)
{
	static const struct {
		const char *responses[2];
		int status;
		uint32_t requests;
	} cases[] = {
		{ { SUCCESS, ERROR("503", "Not-Executed: 1\r\n") }, 200, 1 },
		{ { SUCCESS, ERROR("503", "") }, 502, 0 },
		{ { SUCCESS, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
			     "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" },
		  502,
		  0 },
		{ { SUCCESS, "" }, 502, 0 },
	};
	struct responder *remote;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_peer(false, cases[i].responses, 2);
		remote = put_remote_server();
		g_assert_cmpint(request_status(), ==, 200);
		g_assert_cmpuint(peer.requests, ==, 1);
		allow_other_region();
		g_assert_cmpint(request_status(), ==, cases[i].status);
		g_assert_cmpuint(peer.requests, ==, 2);
		g_assert_cmpuint(backend.requests, ==, cases[i].requests);
		remove_remote_server(remote);
		teardown_peer();
	}
}

/* What a VM that stops sends when it closes a connection, whether or not a
 * request is on its way. */
#define CLOSED_UNREAD                                                   \
	"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nHandoff-Declined: 1\r\n" \
	"Content-Length: 0\r\nConnection: close\r\n\r\n"

/* A VM that stops would otherwise have callers wait for its successor. */
static void declined_order_is_placed_directly(void)
{
	static const char *const responses[] = { DECLINED, ERROR("421", ""),
						 CLOSED_UNREAD };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(responses); i++) {
		setup_peer_responding(false, &responses[i]);
		g_assert_cmpint(request_status(), ==, 200);
		g_assert_cmpuint(peer.requests, ==, 1);
		g_assert_cmpuint(backend.requests, ==, 1);
		teardown_peer();
	}
}

/* The response to no request must not be taken for one to the next. */
static void connection_closed_unread_is_not_used_again(void)
{
	static const char *const response = SUCCESS;

	setup_peer_responding(false, &response);
	g_assert_cmpint(request_status(), ==, 200);
	bufferevent_write(peer.connections[0], CLOSED_UNREAD,
			  strlen(CLOSED_UNREAD));
	run_ms(50);
	g_assert_cmpuint(peer.closed, ==, 1);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 2);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
}

/* Each request would pay for a connection that fails. */
static void vm_that_refuses_connections_is_avoided(void)
{
	static const char *const response = SUCCESS;

	setup_peer_responding(false, &response);
	close_peer_listener();
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(backend.requests, ==, 1);
	peer.listener =
		listener_open(proxy.base, peer.address, on_peer_accept, NULL);
	g_assert_nonnull(peer.listener);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.connection_count, ==, 0);
	run_ms(2000);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 1);
	g_assert_cmpuint(backend.requests, ==, 2);
	teardown_peer();
}

/* Connections to a machine that is gone are neither accepted nor refused. */
static void vm_that_accepts_nothing_costs_250_ms(void)
{
	static const char *const response = SUCCESS;
	struct sockaddr_in address;
	socklen_t length = sizeof(address);
	char text[32];
	int held[8];
	int listener;
	size_t i;
	int fd;

	setup_peer_responding(false, &response);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(listener, (struct sockaddr *)&address, length), ==,
			0);
	g_assert_cmpint(listen(listener, 0), ==, 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	/* fills the queue of connections to be accepted */
	for (i = 0; i < G_N_ELEMENTS(held); i++) {
		held[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(held[i], (struct sockaddr *)&address, length);
	}
	g_snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
	put_vm("e2", text);
	fd = send_text(REQUEST, caller_accept);
	run_ms(100);
	g_assert_cmpuint(backend.requests, ==, 0);
	run_ms(300);
	g_assert_cmpint(take_status(fd), ==, 200);
	g_assert_cmpuint(backend.requests, ==, 1);
	for (i = 0; i < G_N_ELEMENTS(held); i++)
		close(held[i]);
	close(listener);
	teardown_peer();
}

/* The other VM dies with the request: it may have sent it to a server. */
static void order_that_may_have_been_sent_gets_502(void)
{
	static const char *const response = "";

	setup_peer_responding(false, &response);
	g_assert_cmpint(request_status(), ==, 502);
	g_assert_cmpuint(backend.requests, ==, 0);
	g_assert_cmpuint(peer.requests, ==, 1);
	/* the next one does not try that VM */
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 1);
	teardown_peer();
}

static void idempotent_request_is_placed_after_a_break(void)
{
	static const char *const response = "";

	setup_peer_responding(true, &response);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(backend.requests, ==, 1);
	g_assert_cmpuint(peer.requests, ==, 1);
	teardown_peer();
}

/* The break counts as a send: no more sends than the route allows. */
static void break_counts_as_a_send(void)
{
	static const char *const response = "";

	setup_peer_responding(true, &response);
	proxy.config->routes[0].attempts_max = 1;
	g_assert_cmpint(request_status(), ==, 502);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
}

/* Otherwise a VM that dies would multiply the requests to servers. */
static void break_counts_as_a_retry(void)
{
	static const char *const response = "";

	setup_peer_responding(true, &response);
	proxy.bounds.retry_extra = 0;
	g_assert_cmpint(request_status(), ==, 502);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
}

/* An incomplete response may be the fault of a server; nothing of it reaches
 * the caller, and the VM goes on to get requests. */
static void response_that_breaks_off_is_replaced(void)
{
	static const char *const responses[] = { CUT, SUCCESS };
	char *text;

	setup_peer(true, responses, 2);
	text = request_for_ms(100);
	g_assert_cmpint(status_of(text), ==, 200);
	g_assert_nonnull(strstr(text, "From: server"));
	g_free(text);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 2);
	teardown_peer();
	setup_peer(false, responses, 2);
	g_assert_cmpint(request_status(), ==, 502);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
}

/* The VM closes a kept connection while a request is on its way. It was taken
 * for a failure of the VM. */
static void closed_idle_connection_is_no_failure(void)
{
	static const char *const responses[] = { SUCCESS, "", SUCCESS };

	setup_peer(true, responses, 3);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 3);
	g_assert_cmpuint(peer.connection_count, ==, 2);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.connection_count, ==, 2);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
	/* nothing proves that the order was not read */
	setup_peer(false, responses, 3);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpint(request_status(), ==, 502);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
}

/* The close is noticed after the kept connection was chosen and before the
 * order is written to it. The order was taken for one that may have run. */
static void order_that_was_not_written_is_sent_again(void)
{
	static const char *const response = SUCCESS;
	int fd;

	setup_peer_responding(false, &response);
	g_assert_cmpint(request_status(), ==, 200);
	/* the loop reports what became readable first before the close */
	fd = send_text(REQUEST, caller_accept);
	shutdown(bufferevent_getfd(peer.connections[0]), SHUT_RDWR);
	run_ms(100);
	g_assert_cmpint(take_status(fd), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 2);
	g_assert_cmpuint(backend.requests, ==, 0);
	teardown_peer();
}

/* The other VM would run a request that nobody waits for. */
static void caller_that_leaves_closes_the_connection(void)
{
	static const char *const response = NULL;
	int fd;

	setup_peer_responding(true, &response);
	fd = send_text(REQUEST, caller_accept);
	run_ms(50);
	g_assert_cmpuint(peer.requests, ==, 1);
	close(fd);
	run_ms(50);
	g_assert_cmpuint(peer.closed, ==, 1);
	g_assert_cmpuint(proxy.exchanges_in_progress, ==, 0);
	teardown_peer();
}

/* A VM whose process is suspended accepts and acknowledges everything. */
static void request_without_response_gets_504(void)
{
	static const char *const response = NULL;
	const struct server *s2;
	char *text;

	setup_peer_responding(true, &response);
	s2 = servers_find(proxy.servers, "s2");
	text = request_for_ms(1100);
	g_assert_cmpint(status_of(text), ==, 504);
	g_assert_cmpuint(s2->consecutive_failures, ==, 0);
	g_assert_cmpuint(backend.requests, ==, 0);
	g_free(text);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.requests, ==, 1);
	teardown_peer();
}

/* The VM that is assigned in this region has no server of the other one. */
static void request_for_another_region_is_placed_directly(void)
{
	static const char *const response = SUCCESS;
	struct route *route;

	setup_peer_responding(true, &response);
	route = &proxy.config->routes[0];
	route->home_regions = calloc(1, sizeof(char *));
	route->home_regions[0] = strdup("jyl");
	route->home_region_count = 1;
	g_assert_cmpint(request_status(), ==, 503);
	g_assert_cmpuint(peer.requests, ==, 0);
	teardown_peer();
}

/* Connections to VMs that are gone would stay open, and their names known. */
static void connections_to_a_vm_that_left_are_closed(void)
{
	static const char *const response = SUCCESS;

	setup_peer_responding(true, &response);
	g_assert_cmpint(request_status(), ==, 200);
	vms_remove(proxy.vms, "e2");
	put_vm("e3", peer.address);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(peer.connection_count, ==, 2);
	g_assert_cmpuint(peer.closed, ==, 1);
	teardown_peer();
}

/* Large responses are streamed once they exceed the buffer. */
static void large_response_arrives_unchanged(void)
{
	static char large[700000];
	const char *const response = large;
	size_t head;
	size_t read_bytes = 0;
	char *text;
	int tries;
	int fd;

	memset(large, 'x', sizeof(large) - 1);
	head = (size_t)g_snprintf(large, sizeof(large),
				  "HTTP/1.1 200 OK\r\n" SERVER_HEADERS
				  "Content-Length: 600000\r\n\r\n");
	large[head] = 'x';
	large[head + 600000] = '\0';
	setup_peer_responding(true, &response);
	fd = send_text(REQUEST, caller_accept);
	for (tries = 0; tries < 40; tries++) {
		run_ms(10);
		text = read_text(fd);
		read_bytes += strlen(text);
		g_free(text);
	}
	g_assert_cmpuint(read_bytes, >=, 600000);
	g_assert_cmpuint(read_bytes, <=, 600000 + 400);
	close(fd);
	teardown_peer();
}

/* A VM that has no room for a body yet reads it late; this took it for gone. */
static void body_that_is_read_late_is_no_failure(void)
{
	static const char *const response = SUCCESS;
	const size_t bytes = 8 * 1024 * 1024;
	char *body = g_malloc0(bytes);
	size_t sent = 0;
	ssize_t written;
	int fd;

	setup_peer_responding(false, &response);
	proxy.config->limits.body_bytes_max = bytes;
	peer.reads_late = true;
	fd = send_text(REQUEST_HEAD "Deadline-Ms: 20000\r\n"
				    "Content-Length: 8388608\r\n\r\n",
		       caller_accept);
	while (sent < bytes) {
		written = write(fd, body + sent, bytes - sent);
		sent += written > 0 ? (size_t)written : 0;
		run_ms(5);
	}
	run_ms(1500);
	g_assert_cmpuint(peer.connection_count, ==, 1);
	g_assert_cmpuint(peer.closed, ==, 0);
	bufferevent_enable(peer.connections[0], EV_READ);
	run_ms(400);
	g_assert_cmpint(take_status(fd), ==, 200);
	g_assert_cmpuint(backend.requests, ==, 0);
	g_free(body);
	teardown_peer();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("handoff", request_arrives_with_its_headers);
	ADD_TEST("handoff", errors_of_the_other_vm_are_delivered);
	ADD_TEST("handoff", refusal_without_proof_is_not_delivered);
	ADD_TEST("handoff", refused_order_goes_on_only_with_proof);
	ADD_TEST("handoff", declined_order_is_placed_directly);
	ADD_TEST("handoff", connection_closed_unread_is_not_used_again);
	ADD_TEST("handoff", vm_that_refuses_connections_is_avoided);
	ADD_TEST("handoff", vm_that_accepts_nothing_costs_250_ms);
	ADD_TEST("handoff", order_that_may_have_been_sent_gets_502);
	ADD_TEST("handoff", idempotent_request_is_placed_after_a_break);
	ADD_TEST("handoff", break_counts_as_a_send);
	ADD_TEST("handoff", break_counts_as_a_retry);
	ADD_TEST("handoff", response_that_breaks_off_is_replaced);
	ADD_TEST("handoff", closed_idle_connection_is_no_failure);
	ADD_TEST("handoff", order_that_was_not_written_is_sent_again);
	ADD_TEST("handoff", caller_that_leaves_closes_the_connection);
	ADD_TEST("handoff", request_without_response_gets_504);
	ADD_TEST("handoff", request_for_another_region_is_placed_directly);
	ADD_TEST("handoff", connections_to_a_vm_that_left_are_closed);
	ADD_TEST("handoff", large_response_arrives_unchanged);
	ADD_TEST("handoff", body_that_is_read_late_is_no_failure);
	return g_test_run();
}
