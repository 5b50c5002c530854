#include "unit/proxy/stopping_vm.h"

/* Several requests on a connection while the VM shuts down. */

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
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("caller", request_read_behind_another_is_answered);
	ADD_TEST("caller", nothing_is_sent_behind_the_last_response);
	ADD_TEST("caller", streamed_response_goes_on_at_exit);
	return g_test_run();
}
