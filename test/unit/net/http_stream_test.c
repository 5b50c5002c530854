#include "net/http_stream.h"

#include <errno.h>
#include <event2/buffer.h>
#include <sys/socket.h>
#include <unistd.h>

#include "unit/test.h"

#define HEAD_BYTES_MAX 512

/* One stream on one end of a pair of sockets; the test holds the other end. */
struct peer {
	struct event_base *base;
	struct http_stream *stream;
	int fd;
	GString *body;
	char *method;
	char *target;
	uint16_t status;
	uint32_t heads;
	uint32_t completes;
	bool until_close;
	bool ended;
	enum http_end end;
};

static void on_head(void *context, const struct http_head *head)
{
	struct peer *peer = context;

	peer->heads++;
	peer->status = head->status;
	peer->until_close = head->until_close;
	g_free(peer->method);
	g_free(peer->target);
	peer->method = g_strdup(head->method);
	peer->target = g_strdup(head->target);
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	g_string_append_len(((struct peer *)context)->body, (const char *)data,
			    (gssize)bytes);
}

static void on_complete(void *context)
{
	((struct peer *)context)->completes++;
}

static void on_ended(void *context, enum http_end end)
{
	struct peer *peer = context;

	peer->ended = true;
	peer->end = end;
}

static const struct http_stream_events events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static void open_pair(struct peer *peer, int fds[2])
{
	memset(peer, 0, sizeof(*peer));
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	peer->base = event_base_new();
	peer->body = g_string_new(NULL);
	peer->fd = fds[1];
}

static struct peer accepting(void)
{
	struct peer peer;
	int fds[2];

	open_pair(&peer, fds);
	return peer;
}

static void begin(struct peer *peer)
{
	int fds[2];

	open_pair(peer, fds);
	peer->stream = http_stream_accept(peer->base, fds[0], HEAD_BYTES_MAX,
					  &events, peer);
	g_assert_nonnull(peer->stream);
}

static void finish(struct peer *peer)
{
	http_stream_free(peer->stream);
	if (peer->fd >= 0)
		close(peer->fd);
	event_base_free(peer->base);
	g_string_free(peer->body, true);
	g_free(peer->method);
	g_free(peer->target);
}

static void pump(struct peer *peer)
{
	int i;

	for (i = 0; i < 10; i++)
		event_base_loop(peer->base, EVLOOP_NONBLOCK);
}

static void send_text(struct peer *peer, const char *text)
{
	g_assert_cmpint(write(peer->fd, text, strlen(text)), ==,
			(ssize_t)strlen(text));
	pump(peer);
}

static void request_in_pieces(void)
{
	static const char text[] = "POST /a?b=1 HTTP/1.1\r\nHost: x\r\n"
				   "Content-Length: 5\r\n\r\nhello";
	struct peer peer;
	char one[2] = "";
	size_t i;

	begin(&peer);
	for (i = 0; i < strlen(text); i++) {
		one[0] = text[i];
		send_text(&peer, one);
	}
	g_assert_cmpuint(peer.completes, ==, 1);
	g_assert_cmpstr(peer.method, ==, "POST");
	g_assert_cmpstr(peer.target, ==, "/a?b=1");
	g_assert_cmpstr(peer.body->str, ==, "hello");
	finish(&peer);
}

static void pipelined_request_waits(void)
{
	struct peer peer;

	begin(&peer);
	send_text(&peer, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
			 "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
	g_assert_cmpuint(peer.completes, ==, 1);
	g_assert_cmpstr(peer.target, ==, "/1");
	g_assert_cmpuint(http_stream_pending(peer.stream), >, 0);
	http_stream_next(peer.stream);
	pump(&peer);
	g_assert_cmpuint(peer.completes, ==, 2);
	g_assert_cmpstr(peer.target, ==, "/2");
	finish(&peer);
}

/* The caller leaves while its request is handled, with bytes still unread. */
static void close_is_seen_behind_unread_bytes(void)
{
	struct peer peer;

	begin(&peer);
	send_text(&peer, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\n");
	g_assert_false(peer.ended);
	close(peer.fd);
	peer.fd = -1;
	pump(&peer);
	g_assert_true(peer.ended);
	g_assert_cmpint(peer.end, ==, HTTP_END_CLOSED);
	finish(&peer);
}

static void large_heads_are_refused(void)
{
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nX: %0600d\r\n\r\n", 1);
	struct peer peer;
	size_t i;

	begin(&peer);
	send_text(&peer, text);
	g_assert_true(peer.ended);
	g_assert_cmpint(peer.end, ==, HTTP_END_HEAD_TOO_LARGE);
	finish(&peer);
	begin(&peer);
	for (i = 0; i < strlen(text) && !peer.ended; i += 50) {
		char *part = g_strndup(text + i, 50);

		send_text(&peer, part);
		g_free(part);
	}
	g_assert_cmpint(peer.end, ==, HTTP_END_HEAD_TOO_LARGE);
	g_assert_cmpuint(peer.heads, ==, 0);
	finish(&peer);
	g_free(text);
}

/* What two readers could frame in two ways is no request. */
static void ambiguous_framing_is_refused(void)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
		"\r\nabcd",
		"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"\x16\x03\x01",
	};
	struct peer peer;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(texts); i++) {
		begin(&peer);
		send_text(&peer, texts[i]);
		if (!peer.ended || peer.end != HTTP_END_INVALID || peer.completes)
			g_error("taken: %s", texts[i]);
		finish(&peer);
	}
}

/* Answers are read on a connection to a listener of the test. */
static void begin_answers(struct peer *peer, int *listener)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(address);
	int waits = 200;

	*peer = accepting();
	close(peer->fd);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	*listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(*listener, (struct sockaddr *)&address,
			     sizeof(address)),
			==, 0);
	listen(*listener, 1);
	getsockname(*listener, (struct sockaddr *)&address, &bytes);
	peer->stream =
		http_stream_connect(peer->base, &address, 1000, &events, peer);
	peer->fd = accept(*listener, NULL, NULL);
	http_stream_next(peer->stream);
	while (waits-- && !peer->fd)
		pump(peer);
	pump(peer);
}

static void end_answers(struct peer *peer, int listener)
{
	finish(peer);
	close(listener);
}

static void pump_until(struct peer *peer, const bool *flag)
{
	int waits;

	for (waits = 0; waits < 200 && !*flag; waits++) {
		pump(peer);
		g_usleep(1000);
	}
}

static void read_answer(const char *text, struct peer *peer, bool reset)
{
	const struct linger none = { 1, 0 };
	int listener;
	int waits;

	begin_answers(peer, &listener);
	send_text(peer, text);
	for (waits = 0; waits < 200 && !peer->heads; waits++) {
		pump(peer);
		g_usleep(1000);
	}
	if (reset)
		setsockopt(peer->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(peer->fd);
	peer->fd = -1;
	pump_until(peer, &peer->ended);
	close(listener);
}

static void answer_without_length_ends_with_its_connection(void)
{
	struct peer peer;

	read_answer("HTTP/1.1 200 OK\r\n\r\nall of it", &peer, false);
	g_assert_true(peer.until_close);
	g_assert_cmpuint(peer.completes, ==, 1);
	g_assert_cmpstr(peer.body->str, ==, "all of it");
	finish(&peer);
	read_answer("HTTP/1.1 200 OK\r\n\r\npart of", &peer, true);
	g_assert_cmpuint(peer.completes, ==, 0);
	g_assert_cmpint(peer.end, ==, HTTP_END_RESET);
	finish(&peer);
}

static void cut_answers_are_not_complete(void)
{
	static const char *const texts[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nfour\r\n",
		"HTTP/1.1 200 OK\r\nContent-",
	};
	struct peer peer;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(texts); i++) {
		read_answer(texts[i], &peer, false);
		g_assert_true(peer.ended);
		g_assert_cmpuint(peer.completes, ==, 0);
		finish(&peer);
	}
}

/* Bytes behind an answer belong to no request. */
static void bytes_nobody_asked_for_end_the_stream(void)
{
	struct peer peer;
	int listener;

	begin_answers(&peer, &listener);
	send_text(&peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	pump_until(&peer, &peer.ended);
	g_assert_cmpuint(peer.completes, ==, 1);
	g_assert_false(peer.ended);
	send_text(&peer, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	pump_until(&peer, &peer.ended);
	g_assert_true(peer.ended);
	g_assert_cmpint(peer.end, ==, HTTP_END_EXTRA);
	g_assert_cmpuint(peer.completes, ==, 1);
	end_answers(&peer, listener);
}

static void interim_answers_are_passed_over(void)
{
	struct peer peer;

	read_answer("HTTP/1.1 100 Continue\r\n\r\n"
		    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		    &peer, false);
	g_assert_cmpuint(peer.heads, ==, 1);
	g_assert_cmpuint(peer.status, ==, 200);
	g_assert_cmpuint(peer.completes, ==, 1);
	finish(&peer);
}

static void headers_are_found_without_case(void)
{
	struct http_header headers[] = { { "connection", "Keep-Alive, X-Hop" } };
	struct http_head head = { .headers = headers, .header_count = 1 };

	g_assert_cmpstr(http_head_get(&head, "Connection"), ==,
			"Keep-Alive, X-Hop");
	g_assert_true(http_head_has_token(&head, "Connection", "x-hop"));
	g_assert_false(http_head_has_token(&head, "Connection", "x"));
	g_assert_null(http_head_get(&head, "Host"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("http_stream", request_in_pieces);
	ADD_TEST("http_stream", pipelined_request_waits);
	ADD_TEST("http_stream", close_is_seen_behind_unread_bytes);
	ADD_TEST("http_stream", large_heads_are_refused);
	ADD_TEST("http_stream", ambiguous_framing_is_refused);
	ADD_TEST("http_stream", answer_without_length_ends_with_its_connection);
	ADD_TEST("http_stream", cut_answers_are_not_complete);
	ADD_TEST("http_stream", bytes_nobody_asked_for_end_the_stream);
	ADD_TEST("http_stream", interim_answers_are_passed_over);
	ADD_TEST("http_stream", headers_are_found_without_case);
	return g_test_run();
}
