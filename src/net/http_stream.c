#include "net/http_stream.h"

#include <errno.h>
#include <event2/buffer.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/head_text.h"
#include "net/buffer_account.h"
#include "net/linger.h"
#include "net/status_line.h"
#include "net/tcp.h"

/* Limit on buffered input that is not parsed yet. */
#define READ_AHEAD_BYTES 65536
/* Limit on a response's head; http_stream_accept() gets the one of requests. */
#define RESPONSE_HEAD_BYTES_MAX 65536
struct http_stream {
	struct bufferevent *bev;
	http_parser parser;
	enum http_role role;
	const struct http_stream_events *events;
	void *context;
	uint32_t head_bytes_max;
	uint32_t head_bytes;
	struct status_line status_line; /* responses only */
	struct head_text text;
	bool in_head;
	bool message_begun;
	bool paused;
	bool completed; /* the complete event is still to be sent */
	bool no_body;
	bool too_large;
	bool freed;
	uint32_t depth; /* bufferevent callbacks on the stack */
	struct http_head head;
};

static int append_text(struct http_stream *s, const char *at, size_t length)
{
	return s->freed || !head_text_add(&s->text, at, length);
}

static int on_begin(http_parser *parser)
{
	struct http_stream *s = parser->data;

	head_text_clear(&s->text);
	s->in_head = true;
	s->message_begun = true;
	return s->freed;
}

static int on_target(http_parser *parser, const char *at, size_t length)
{
	return append_text(parser->data, at, length);
}

static int on_field_name(http_parser *parser, const char *at, size_t length)
{
	struct http_stream *s = parser->data;

	if (!head_text_begin_name(&s->text)) {
		s->too_large = true;
		return 1;
	}
	return append_text(s, at, length);
}

static int on_field_value(http_parser *parser, const char *at, size_t length)
{
	struct http_stream *s = parser->data;

	head_text_begin_value(&s->text);
	/* a NUL would end the value here, and not for others */
	return memchr(at, '\0', length) || append_text(s, at, length);
}

/* RFC 9112 section 6.3: whatever the headers say of a body. */
static bool status_has_no_body(uint16_t status)
{
	return status == 204 || status == 304;
}

static void build_head(struct http_stream *s)
{
	struct http_head *head = &s->head;
	/* white space behind a name is removed from responses and rejected in
	 * requests (RFC 9112 section 5.1) */
	const char *target =
		head_text_finish(&s->text, s->role == HTTP_ROLE_CLIENT);

	memset(head, 0, sizeof(*head));
	head->headers = s->text.headers;
	head->header_count = s->text.header_count;
	head->keep_alive = http_should_keep_alive(&s->parser);
	head->chunked = (s->parser.flags & F_CHUNKED) != 0;
	head->content_length = (s->parser.flags & F_CONTENTLENGTH)
				       ? (int64_t)s->parser.content_length
				       : -1;
	if (s->role == HTTP_ROLE_SERVER) {
		head->method =
			http_method_str((enum http_method)s->parser.method);
		head->target = target;
	} else {
		head->status = (uint16_t)s->parser.status_code;
		if (status_has_no_body(head->status)) {
			s->no_body = true;
			head->chunked = false;
			head->content_length = 0;
		}
		head->until_close = !s->no_body && !head->chunked &&
				    head->content_length < 0;
	}
}

static bool is_interim(const struct http_stream *s)
{
	return s->role == HTTP_ROLE_CLIENT && s->head.status < 200;
}

static int on_head(http_parser *parser)
{
	struct http_stream *s = parser->data;

	if (s->freed)
		return -1;
	/* the head may have arrived in one piece, and parse_input() counts
	 * bytes only after the parser returns */
	if (head_text_bytes(&s->text) > s->head_bytes_max) {
		s->too_large = true;
		return -1;
	}
	if (s->role == HTTP_ROLE_CLIENT && !status_line_is_valid(&s->status_line))
		return -1;
	build_head(s);
	s->in_head = false;
	if (!http_head_is_valid(&s->head))
		return -1;
	parser->upgrade = 0;
	/* interim (1xx) responses are skipped and have no body, whatever their
	 * headers; the final one follows */
	if (is_interim(s))
		return 1;
	s->events->head(s->context, &s->head);
	if (s->freed)
		return -1;
	return s->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t length)
{
	struct http_stream *s = parser->data;

	if (!s->freed)
		s->events->body(s->context, (const uint8_t *)at, length);
	return s->freed;
}

static int on_complete(http_parser *parser)
{
	struct http_stream *s = parser->data;

	if (s->freed)
		return -1;
	s->message_begun = false;
	s->status_line.bytes = 0;
	/* after an interim response, parse_input() goes on with the next one */
	http_parser_pause(parser, 1);
	if (is_interim(s))
		return 0;
	s->paused = true;
	s->completed = true;
	s->no_body = false;
	return 0;
}

/* Called after the message's bytes were drained from the input buffer, so that
 * http_stream_pending_bytes() counts only what follows the message. */
static void report_complete(struct http_stream *s)
{
	if (!s->completed || s->freed)
		return;
	s->completed = false;
	s->events->complete(s->context);
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void stream_destroy(struct http_stream *s)
{
	if (s->bev && s->role == HTTP_ROLE_SERVER)
		buffer_account_remove(bufferevent_get_output(s->bev));
	if (s->bev)
		bufferevent_free(s->bev);
	head_text_release(&s->text);
	free(s);
}

static void callback_enter(struct http_stream *s)
{
	s->depth++;
}

static void callback_leave(struct http_stream *s)
{
	if (!--s->depth && s->freed)
		stream_destroy(s);
}

static void report_end(struct http_stream *s, enum http_end_reason reason)
{
	if (!s->freed)
		s->events->ended(s->context, reason);
}

static void parse_input(struct http_stream *s)
{
	struct evbuffer *input = bufferevent_get_input(s->bev);
	enum http_errno error;
	const char *data;
	size_t bytes;
	size_t parsed;

	while (!s->freed && !s->paused) {
		bytes = evbuffer_get_contiguous_space(input);
		if (!bytes)
			return;
		data = (const char *)evbuffer_pullup(input, (ssize_t)bytes);
		status_line_add(&s->status_line, data, bytes);
		parsed = http_parser_execute(&s->parser, &parser_settings, data,
					     bytes);
		if (s->freed)
			return;
		evbuffer_drain(input, parsed);
		s->head_bytes = s->in_head ? s->head_bytes + (uint32_t)parsed : 0;
		error = HTTP_PARSER_ERRNO(&s->parser);
		if (s->too_large || error == HPE_HEADER_OVERFLOW ||
		    s->head_bytes > s->head_bytes_max) {
			report_end(s, HTTP_END_HEAD_TOO_LARGE);
			return;
		}
		if (error != HPE_OK && error != HPE_PAUSED) {
			report_end(s, HTTP_END_INVALID);
			return;
		}
		if (error == HPE_PAUSED && !s->paused)
			http_parser_pause(&s->parser, 0);
		report_complete(s);
	}
}

static void on_read(struct bufferevent *bev, void *context)
{
	struct http_stream *s = context;

	(void)bev;
	callback_enter(s);
	if (!s->paused)
		parse_input(s);
	else if (s->role == HTTP_ROLE_CLIENT && http_stream_pending_bytes(s))
		report_end(s, HTTP_END_UNEXPECTED_DATA);
	callback_leave(s);
}

static void on_write(struct bufferevent *bev, void *context)
{
	struct http_stream *s = context;

	(void)bev;
	callback_enter(s);
	if (s->events->drained && !s->freed)
		s->events->drained(s->context);
	callback_leave(s);
}

static void on_peer_closed(struct http_stream *s)
{
	bool was_paused = s->paused;

	if (!was_paused) {
		parse_input(s);
		/* end of input completes a body delimited by the close */
		if (!s->freed && !s->paused)
			http_parser_execute(&s->parser, &parser_settings, NULL,
					    0);
		report_complete(s);
	}
	report_end(s, HTTP_END_CLOSED);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	struct http_stream *s = context;
	bool timed_out = EVUTIL_SOCKET_ERROR() == ETIMEDOUT;

	(void)bev;
	callback_enter(s);
	if (what & BEV_EVENT_CONNECTED) {
		if (s->events->connected)
			s->events->connected(s->context);
	} else if (what & BEV_EVENT_EOF) {
		on_peer_closed(s);
	} else if (what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
		if (!s->paused)
			parse_input(s);
		report_end(s, timed_out ? HTTP_END_TIMED_OUT : HTTP_END_RESET);
	}
	callback_leave(s);
}

static struct http_stream *stream_new(struct event_base *base, int fd,
				      enum http_role role,
				      const struct http_stream_events *events,
				      void *context)
{
	struct http_stream *s = calloc(1, sizeof(*s));

	if (!s)
		goto fail_fd;
	s->role = role;
	s->events = events;
	s->context = context;
	s->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (s->bev && role == HTTP_ROLE_SERVER)
		buffer_account_add(bufferevent_get_output(s->bev));
	if (!head_text_init(&s->text) || !s->bev)
		goto fail;
	http_parser_init(&s->parser, role == HTTP_ROLE_SERVER ? HTTP_REQUEST
							      : HTTP_RESPONSE);
	s->parser.data = s;
	bufferevent_setcb(s->bev, on_read, on_write, on_event, s);
	bufferevent_setwatermark(s->bev, EV_READ, 0, READ_AHEAD_BYTES);
	return s;
fail:
	if (s->bev)
		fd = -1;
	stream_destroy(s);
fail_fd:
	if (fd >= 0)
		close(fd);
	return NULL;
}

struct http_stream *http_stream_accept(struct event_base *base, int fd,
				       uint32_t head_bytes_max,
				       const struct http_stream_events *events,
				       void *context)
{
	struct http_stream *s =
		stream_new(base, fd, HTTP_ROLE_SERVER, events, context);

	if (!s)
		return NULL;
	s->head_bytes_max = head_bytes_max;
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
	return s;
}

struct http_stream *http_stream_connect(struct event_base *base,
					const struct sockaddr_in *address,
					uint32_t user_timeout_ms,
					const struct http_stream_events *events,
					void *context)
{
	int fd = tcp_open_socket(user_timeout_ms);
	struct http_stream *s;

	if (fd < 0)
		return NULL;
	s = stream_new(base, fd, HTTP_ROLE_CLIENT, events, context);
	if (!s)
		return NULL;
	s->head_bytes_max = RESPONSE_HEAD_BYTES_MAX;
	s->paused = true;
	if (bufferevent_socket_connect(s->bev, (const struct sockaddr *)address,
				       sizeof(*address))) {
		stream_destroy(s);
		return NULL;
	}
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
	return s;
}

void http_stream_free(struct http_stream *s)
{
	if (!s || s->freed)
		return;
	s->freed = true;
	bufferevent_setcb(s->bev, NULL, NULL, NULL, NULL);
	bufferevent_disable(s->bev, EV_READ | EV_WRITE);
	if (!s->depth)
		stream_destroy(s);
}

void http_stream_free_lingering(struct http_stream *s)
{
	if (!s || s->freed)
		return;
	linger_close(s->bev);
	s->bev = NULL;
	s->freed = true;
	if (!s->depth)
		stream_destroy(s);
}

void http_stream_abort(struct http_stream *s)
{
	const struct linger reset_on_close = { 1, 0 };

	if (!s || s->freed)
		return;
	setsockopt(bufferevent_getfd(s->bev), SOL_SOCKET, SO_LINGER,
		   &reset_on_close, sizeof(reset_on_close));
	http_stream_free(s);
}

void http_stream_read_next(struct http_stream *s)
{
	if (!s->paused)
		return;
	s->paused = false;
	http_parser_pause(&s->parser, 0);
	if (http_stream_pending_bytes(s))
		bufferevent_trigger(s->bev, EV_READ,
				    BEV_TRIG_IGNORE_WATERMARKS |
					    BEV_TRIG_DEFER_CALLBACKS);
}

bool http_stream_stop_reading(struct http_stream *s)
{
	if (http_stream_has_message_begun(s))
		return false;
	s->paused = true;
	http_parser_pause(&s->parser, 1);
	return true;
}

void http_stream_expect_no_body(struct http_stream *s)
{
	s->no_body = true;
}

void http_stream_pause_reading(struct http_stream *s, bool pause)
{
	if (pause)
		bufferevent_disable(s->bev, EV_READ);
	else
		bufferevent_enable(s->bev, EV_READ);
}

void http_stream_set_user_timeout(struct http_stream *s, uint32_t timeout_ms)
{
	tcp_set_user_timeout(bufferevent_getfd(s->bev), timeout_ms);
}

bool http_stream_peer_has_closed(const struct http_stream *s)
{
	char byte;
	ssize_t bytes = recv(bufferevent_getfd(s->bev), &byte, 1,
			     MSG_PEEK | MSG_DONTWAIT);

	return !bytes || (bytes < 0 && errno != EAGAIN && errno != EINTR);
}

size_t http_stream_pending_bytes(const struct http_stream *s)
{
	return evbuffer_get_length(bufferevent_get_input(s->bev));
}

bool http_stream_has_message_begun(const struct http_stream *s)
{
	return s->message_begun || http_stream_pending_bytes(s);
}

struct evbuffer *http_stream_output(struct http_stream *s)
{
	return bufferevent_get_output(s->bev);
}
