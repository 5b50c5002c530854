#include "proxy/caller.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "net/http_stream.h"
#include "net/responder.h"
#include "net/timer.h"
#include "proxy/exchange.h"

/* Limits used until a configuration is read. */
static const struct caller_limits default_limits = {
	.head_bytes_max = 16384,
	.body_bytes_max = 1048576,
	.head_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

struct caller {
	struct proxy *proxy;
	GList *link; /* element in the proxy's list of callers */
	struct http_stream *stream;
	struct event *timer;
	struct exchange *exchange; /* NULL: no request in progress */
	enum response_framing framing;
	int64_t idle_since_ms;
	bool request_complete;	   /* the request was read completely */
	bool head_started;	   /* at the last timer event */
	bool close_after_response; /* then close the connection */
	bool head_written;	   /* the response's head was written */
};

static const struct caller_limits *get_limits(const struct proxy *proxy)
{
	return proxy->config ? &proxy->config->limits : &default_limits;
}

static void caller_free(struct caller *caller)
{
	exchange_cancel(caller->exchange);
	g_queue_delete_link(&caller->proxy->callers, caller->link);
	event_free(caller->timer);
	free(caller);
}

static void start_timeout(struct caller *caller)
{
	const struct caller_limits *limits = get_limits(caller->proxy);
	uint32_t ms = MIN(limits->head_timeout_ms, limits->idle_timeout_ms);

	timer_start(caller->timer, ms);
}

static void wait_for_request(struct caller *caller)
{
	caller->idle_since_ms = proxy_now_ms(caller->proxy);
	caller->head_started = false;
	caller->request_complete = false;
	caller->head_written = false;
	start_timeout(caller);
}

static void close_with_status(struct caller *caller, uint16_t status)
{
	caller_write_head(caller, status, NULL, FRAMING_CONTENT_LENGTH, 0, true);
	http_stream_free_lingering(caller->stream);
	caller_free(caller);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct caller *caller = context;
	int64_t idle_ms = proxy_now_ms(caller->proxy) - caller->idle_since_ms;

	(void)fd;
	(void)what;
	if (caller->exchange)
		return;
	if (http_stream_has_message_begun(caller->stream)) {
		if (caller->head_started) {
			log_info("caller", "request head timed out");
			close_with_status(caller, 408);
			return;
		}
		caller->head_started = true;
	} else if (idle_ms >= get_limits(caller->proxy)->idle_timeout_ms) {
		http_stream_free(caller->stream);
		caller_free(caller);
		return;
	}
	start_timeout(caller);
}

static void on_head(void *context, const struct http_head *head)
{
	struct caller *caller = context;

	evtimer_del(caller->timer);
	caller->close_after_response = !head->keep_alive;
	caller->exchange = exchange_begin(caller->proxy, caller, head);
	if (!caller->exchange) {
		caller_abort(caller);
		return;
	}
	if (exchange_refuses_body(caller->exchange))
		exchange_process_request(caller->exchange);
	else if (http_head_has_token(head, "Expect", "100-continue"))
		evbuffer_add_printf(http_stream_output(caller->stream),
				    "HTTP/1.1 100 Continue\r\n\r\n");
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct caller *caller = context;

	if (caller->exchange)
		exchange_add_body(caller->exchange, data, bytes);
}

static void on_complete(void *context)
{
	struct caller *caller = context;

	caller->request_complete = true;
	if (caller->exchange)
		exchange_process_request(caller->exchange);
}

static void on_drained(void *context)
{
	struct caller *caller = context;

	if (caller->exchange)
		exchange_on_output_drained(caller->exchange);
}

static void on_ended(void *context, enum http_end_reason end)
{
	struct caller *caller = context;

	if (!caller->exchange && end == HTTP_END_HEAD_TOO_LARGE) {
		log_info("caller", "request head too large status=431");
		close_with_status(caller, 431);
		return;
	}
	if (!caller->exchange && end == HTTP_END_INVALID) {
		log_info("caller", "malformed request status=400");
		close_with_status(caller, 400);
		return;
	}
	http_stream_free(caller->stream);
	caller_free(caller);
}

static const struct http_stream_events stream_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.ended = on_ended,
};

void caller_accept(struct proxy *proxy, int fd)
{
	struct caller *caller = calloc(1, sizeof(*caller));

	if (!caller) {
		evutil_closesocket(fd);
		return;
	}
	caller->proxy = proxy;
	caller->timer = evtimer_new(proxy->base, on_timer, caller);
	caller->stream = http_stream_accept(proxy->base, fd,
					    get_limits(proxy)->head_bytes_max,
					    &stream_events, caller);
	if (!caller->stream || !caller->timer) {
		if (caller->timer)
			event_free(caller->timer);
		http_stream_free(caller->stream);
		free(caller);
		return;
	}
	g_queue_push_tail(&proxy->callers, caller);
	caller->link = g_queue_peek_tail_link(&proxy->callers);
	wait_for_request(caller);
}

static void close_callers(struct proxy *proxy, bool only_idle)
{
	GList *link = g_queue_peek_head_link(&proxy->callers);

	while (link) {
		struct caller *caller = link->data;

		link = link->next;
		if (only_idle && (caller->exchange ||
				  http_stream_has_message_begun(caller->stream) ||
				  caller_unsent_bytes(caller)))
			continue;
		http_stream_free(caller->stream);
		caller_free(caller);
	}
}

void callers_close_idle(struct proxy *proxy)
{
	close_callers(proxy, true);
}

void callers_close_all(struct proxy *proxy)
{
	close_callers(proxy, false);
}

void caller_write_head(struct caller *caller, uint16_t status,
		       struct evbuffer *headers, enum response_framing framing,
		       uint64_t bytes, bool close)
{
	struct evbuffer *out = http_stream_output(caller->stream);

	caller->head_written = true;
	caller->framing = framing;
	caller->close_after_response |= close || caller->proxy->stopping;
	evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n", status,
			    responder_reason_phrase(status));
	if (headers)
		evbuffer_add_buffer(out, headers);
	if (framing == FRAMING_CONTENT_LENGTH)
		evbuffer_add_printf(out, "Content-Length: %" PRIu64 "\r\n",
				    bytes);
	else if (framing == FRAMING_CHUNKED)
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
	if (caller->close_after_response)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
}

void caller_write_body(struct caller *caller, struct evbuffer *body)
{
	struct evbuffer *out = http_stream_output(caller->stream);
	size_t bytes = evbuffer_get_length(body);

	if (!bytes)
		return;
	if (caller->framing == FRAMING_CHUNKED)
		evbuffer_add_printf(out, "%zx\r\n", bytes);
	evbuffer_add_buffer(out, body);
	if (caller->framing == FRAMING_CHUNKED)
		evbuffer_add(out, "\r\n", 2);
}

void caller_end_response(struct caller *caller)
{
	if (caller->framing == FRAMING_CHUNKED && caller->exchange)
		evbuffer_add(http_stream_output(caller->stream), "0\r\n\r\n", 5);
	caller->exchange = NULL;
	/* the unread rest of a body must not be parsed as the next request */
	if (caller->close_after_response || !caller->request_complete) {
		http_stream_free_lingering(caller->stream);
		caller_free(caller);
		return;
	}
	wait_for_request(caller);
	http_stream_read_next(caller->stream);
}

void caller_abort(struct caller *caller)
{
	caller->exchange = NULL;
	http_stream_abort(caller->stream);
	caller_free(caller);
}

size_t caller_unsent_bytes(const struct caller *caller)
{
	return evbuffer_get_length(http_stream_output(caller->stream));
}
