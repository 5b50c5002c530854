#include "http_call.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "net/http_stream.h"
#include "net/tcp.h"
#include "net/timer.h"

struct call {
	struct http_stream *stream;
	struct event *timer;
	struct evbuffer *body;
	uint16_t status;
	http_call_done done;
	void *context;
};

static void finish_call(struct call *call, uint16_t status)
{
	size_t bytes = evbuffer_get_length(call->body);

	evbuffer_add(call->body, "", 1);
	http_stream_free(call->stream);
	event_free(call->timer);
	call->done(call->context, status,
		   (const char *)evbuffer_pullup(call->body, -1), bytes);
	evbuffer_free(call->body);
	g_free(call);
}

static void on_head(void *context, const struct http_head *head)
{
	((struct call *)context)->status = head->status;
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	evbuffer_add(((struct call *)context)->body, data, bytes);
}

static void on_complete(void *context)
{
	finish_call(context, ((struct call *)context)->status);
}

static void on_ended(void *context, enum http_end_reason end)
{
	(void)end;
	finish_call(context, 0);
}

static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	finish_call(context, 0);
}

static const struct http_stream_events events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

void http_call_start(struct event_base *base, const char *address,
		     const char *target, const char *body, uint32_t timeout_ms,
		     http_call_done done, void *context)
{
	struct call *call = g_new0(struct call, 1);
	struct sockaddr_in to;

	call->done = done;
	call->context = context;
	call->body = evbuffer_new();
	call->timer = evtimer_new(base, on_timeout, call);
	timer_start(call->timer, timeout_ms);
	if (tcp_parse_address(address, &to))
		call->stream = http_stream_connect(base, &to, 0, &events, call);
	if (!call->stream)
		return; /* the timeout reports the failure */
	http_stream_read_next(call->stream);
	evbuffer_add_printf(http_stream_output(call->stream),
			    "%s %s HTTP/1.1\r\nHost: soak\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
			    body ? "POST" : "GET", target,
			    body ? strlen(body) : 0, body ? body : "");
}
