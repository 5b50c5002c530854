#include "net/responder.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "net/listener.h"
#include "net/timer.h"

/* Limit on the start line and headers of a request. */
#define HEAD_BYTES_MAX 16384
/* Limit on the body of a request: a value of the store in base64, with room for
 * the rest of the call. */
#define BODY_BYTES_MAX (2 * 1024 * 1024)
/* Limits the file descriptors in use; further connections are closed. */
#define CONNECTIONS_MAX 400
/* A connection without a complete request is closed after this time. */
#define IDLE_TIMEOUT_MS 10000

struct responder {
	struct event_base *base;
	struct evconnlistener *listener;
	responder_handler handler;
	void *context;
	GQueue connections;
};

struct connection {
	struct responder_request request; /* first: cast from its pointer */
	struct responder *responder;
	GList *link;
	struct http_stream *stream;
	struct event *timer;
	bool response_pending;
	bool keep_alive;
	bool head_only;
};

static void connection_free(struct connection *c)
{
	void (*on_disconnect)(void *) =
		c->response_pending ? c->request.on_disconnect : NULL;
	void *context = c->request.context;

	g_queue_delete_link(&c->responder->connections, c->link);
	event_free(c->timer);
	evbuffer_free(c->request.body);
	free(c);
	if (on_disconnect)
		on_disconnect(context);
}

static void start_idle_timer(struct connection *c)
{
	timer_start(c->timer, IDLE_TIMEOUT_MS);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct connection *c = context;

	(void)fd;
	(void)what;
	if (c->response_pending)
		return;
	http_stream_free(c->stream);
	connection_free(c);
}

static void on_head(void *context, const struct http_head *head)
{
	struct connection *c = context;

	c->request.head = head;
	c->request.on_disconnect = NULL;
	c->keep_alive = head->keep_alive;
	c->head_only = !strcmp(head->method, "HEAD");
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct connection *c = context;

	evbuffer_add(c->request.body, data, bytes);
	if (evbuffer_get_length(c->request.body) <= BODY_BYTES_MAX)
		return;
	http_stream_abort(c->stream);
	connection_free(c);
}

static void on_complete(void *context)
{
	struct connection *c = context;

	c->response_pending = true;
	c->responder->handler(c->responder->context, &c->request);
}

static void on_ended(void *context, enum http_end_reason end)
{
	struct connection *c = context;

	(void)end;
	http_stream_free(c->stream);
	connection_free(c);
}

static const struct http_stream_events stream_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	struct responder *responder = context;
	struct connection *c = NULL;

	(void)listener;
	(void)address;
	(void)length;
	if (g_queue_get_length(&responder->connections) < CONNECTIONS_MAX)
		c = calloc(1, sizeof(*c));
	if (!c) {
		evutil_closesocket(fd);
		return;
	}
	tcp_set_options(fd, TCP_CALLER_USER_TIMEOUT_MS);
	c->responder = responder;
	c->request.body = evbuffer_new();
	c->timer = evtimer_new(responder->base, on_timer, c);
	c->stream = http_stream_accept(responder->base, fd, HEAD_BYTES_MAX,
				       &stream_events, c);
	g_queue_push_tail(&responder->connections, c);
	c->link = g_queue_peek_tail_link(&responder->connections);
	if (!c->stream)
		connection_free(c);
	else
		start_idle_timer(c);
}

struct responder *responder_new(struct event_base *base, const char *address,
				responder_handler handler, void *context)
{
	struct responder *responder = calloc(1, sizeof(*responder));

	if (!responder)
		return NULL;
	responder->base = base;
	responder->handler = handler;
	responder->context = context;
	responder->listener = listener_open(base, address, on_accept, responder);
	if (!responder->listener) {
		free(responder);
		return NULL;
	}
	return responder;
}

void responder_free(struct responder *responder)
{
	if (!responder)
		return;
	evconnlistener_free(responder->listener);
	while (!g_queue_is_empty(&responder->connections)) {
		struct connection *c = g_queue_peek_head(&responder->connections);

		http_stream_free(c->stream);
		connection_free(c);
	}
	free(responder);
}

static struct evbuffer *write_head(struct connection *c, uint16_t status,
				   const char *headers, size_t bytes)
{
	struct evbuffer *out = http_stream_output(c->stream);

	c->response_pending = false;
	evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n%s",
			    status, responder_reason_phrase(status), bytes,
			    headers ? headers : "");
	if (!c->keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
	return out;
}

void responder_reply(struct responder_request *request, uint16_t status,
		     const char *headers, struct evbuffer *body)
{
	struct connection *c = (struct connection *)request;
	struct evbuffer *out = write_head(c, status, headers,
					  body ? evbuffer_get_length(body) : 0);

	if (body && !c->head_only)
		evbuffer_add_buffer(out, body);
	evbuffer_drain(request->body, evbuffer_get_length(request->body));
	if (!c->keep_alive) {
		http_stream_free_lingering(c->stream);
		connection_free(c);
		return;
	}
	start_idle_timer(c);
	http_stream_read_next(c->stream);
}

void responder_reset(struct responder_request *request)
{
	struct connection *c = (struct connection *)request;

	c->response_pending = false;
	http_stream_abort(c->stream);
	connection_free(c);
}

void responder_reply_truncated(struct responder_request *request,
			       uint16_t status, const char *headers,
			       struct evbuffer *body, size_t bytes)
{
	struct connection *c = (struct connection *)request;
	struct evbuffer *out =
		write_head(c, status, headers, evbuffer_get_length(body));

	evbuffer_remove_buffer(body, out, bytes);
	http_stream_free_lingering(c->stream);
	connection_free(c);
}

const char *responder_reason_phrase(uint16_t status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 410:
		return "Gone";
	case 412:
		return "Precondition Failed";
	case 413:
		return "Content Too Large";
	case 421:
		return "Misdirected Request";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}
