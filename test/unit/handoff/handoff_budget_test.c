#include "unit/handoff/handoff_peer.h"

/* Sends of a request to servers by two VMs, against the fleet's retry budget. */

/* By its ID, a request counts for the VM that hands it off, or for the other. */
#define HANDOFF(id, headers)                                        \
	"POST /note HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " id \
	"\r\nExpect-Instance: e1\r\nDeadline-Ms: 800\r\n" headers "\r\n"

/* @return the requests that count for this VM's retries. */
static uint32_t counted_requests(void)
{
	const struct service_state *state =
		g_hash_table_lookup(proxy.service_states, "reg");
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; state && i < RETRY_SHARE_BUCKETS; i++)
		count += state->retries.requests[i];
	return count;
}

/* A VM that closes kept connections got each request twice, in no budget. */
static void renewed_send_needs_budget_and_attempts(void)
{
	static const char *const responses[] = { SUCCESS, "", SUCCESS };
	int tight;

	for (tight = 0; tight < 3; tight++) {
		setup_peer(true, responses, 3);
		g_assert_cmpint(request_status(), ==, 200);
		if (tight == 1)
			proxy.bounds.retry_extra = 0;
		if (tight == 2)
			proxy.config->routes[0].attempts_max = 1;
		g_assert_cmpint(request_status(), ==, tight ? 502 : 200);
		g_assert_cmpuint(peer.requests, ==, tight ? 2 : 3);
		g_assert_cmpint(strstr(peer.last, "Handoff-Sends: 1\r\n") != NULL,
				==, !tight);
		g_assert_cmpuint(backend.requests, ==, 0);
		teardown_peer();
	}
}

/* The request reached a server through the other VM, which refused it: another
 * server was tried without a budget. */
static void refusal_after_a_send_needs_budget(void)
{
	static const char *const cases[][2] = {
		{ SUCCESS, ERROR("503", "Not-Executed: 1\r\n"
					"Handoff-Sends: 1\r\n") },
		{ SUCCESS, ERROR("503", "Not-Executed: 1\r\nHandoff-Sends: 1\r\n"
					"Handoff-Declined: 1\r\n") },
	};
	struct responder *remote;
	size_t i;

	for (i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
		const bool has_budget = i % 2;

		setup_peer(false, cases[i / 2], 2);
		remote = put_remote_server();
		g_assert_cmpint(request_status(), ==, 200);
		allow_other_region();
		if (!has_budget)
			proxy.bounds.retry_extra = 0;
		g_assert_cmpint(request_status(), ==, has_budget ? 200 : 503);
		g_assert_cmpuint(backend.requests, ==, has_budget);
		remove_remote_server(remote);
		teardown_peer();
	}
}

static char *handoff_response(const char *text)
{
	int fd = send_text(text, caller_accept_handoff);
	char *response;

	run_ms(100);
	response = read_text(fd);
	close(fd);
	return response;
}

/* Counted twice, or without a first send, a request pays for more retries than
 * the fleet's budget has. The other VM must know how often it was sent. */
static void request_counts_once_for_two_vms(void)
{
	static const char *const response = SUCCESS;
	static const struct {
		const char *text;
		uint32_t pause_ms;
		const char *told;
		uint32_t count;
	} cases[] = {
		{ HANDOFF("r0", ""), 0, "Handoff-Sends: 1\r\n", 1 },
		{ HANDOFF("r0", "Handoff-Sends: 1\r\n"), 0,
		  "Handoff-Sends: 2\r\n", 0 },
		{ HANDOFF("r0", ""), 30000, "Not-Executed: 1\r\n", 0 },
		{ HANDOFF("r1", ""), 0, "Handoff-Sends: 1\r\n", 0 },
	};
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_handoff(false);
		put_vm("e1", settings.handoff_address);
		backend.refuses = true;
		server_record_busy(servers_find(proxy.servers, "s2"),
				   cases[i].pause_ms, clock_now_ms(&now));
		text = handoff_response(cases[i].text);
		g_assert_nonnull(strstr(text, cases[i].told));
		g_assert_cmpuint(counted_requests(), ==, cases[i].count);
		g_free(text);
		teardown_handoff();
	}
	/* the VM that hands off request r1 */
	setup_peer_responding(false, &response);
	g_assert_cmpint(request_status(), ==, 200);
	g_assert_cmpuint(counted_requests(), ==, 1);
	teardown_peer();
}

/* Requests whose connections are still being opened reached a server that had
 * asked for a pause. */
static void pause_holds_back_a_request_that_connects(void)
{
	struct server *s2;
	int fd;
	int i;

	setup_handoff(false);
	put_vm("e1", settings.handoff_address);
	s2 = servers_find(proxy.servers, "s2");
	fd = send_text(HANDOFF("r1", ""), caller_accept_handoff);
	for (i = 0; i < 20 && !s2->load.own_requests; i++)
		event_base_loop(proxy.base, EVLOOP_NONBLOCK | EVLOOP_ONCE);
	g_assert_cmpuint(s2->load.own_requests, ==, 1);
	server_record_busy(s2, 30000, clock_now_ms(&now));
	run_ms(50);
	g_assert_cmpuint(backend.requests, ==, 0);
	g_assert_cmpuint(s2->consecutive_failures, ==, 0);
	g_assert_cmpint(take_status(fd), ==, 503);
	teardown_handoff();
}

/* It was streamed to the caller, though this VM could place the request. */
static void large_refusal_is_replaced(void)
{
	char *body = g_strnfill(300000, 'x');
	char *text = g_strconcat("HTTP/1.1 503 No\r\n" SERVER_HEADERS
				 "Not-Executed: 1\r\nHandoff-Declined: 1\r\n"
				 "Content-Length: 300000\r\n\r\n",
				 body, NULL);
	const char *const response = text;
	int idempotent;

	for (idempotent = 0; idempotent < 2; idempotent++) {
		setup_peer_responding(idempotent, &response);
		g_assert_cmpint(request_status(), ==, 200);
		g_assert_cmpuint(backend.requests, ==, 1);
		teardown_peer();
	}
	g_free(text);
	g_free(body);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("handoff", renewed_send_needs_budget_and_attempts);
	ADD_TEST("handoff", refusal_after_a_send_needs_budget);
	ADD_TEST("handoff", request_counts_once_for_two_vms);
	ADD_TEST("handoff", pause_holds_back_a_request_that_connects);
	ADD_TEST("handoff", large_refusal_is_replaced);
	return g_test_run();
}
