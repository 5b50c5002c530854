#include "proxy/endpoint.h"

#include <event2/listener.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "net/http_stream.h"
#include "net/listener.h"
#include "proxy/headers.h"

/* Questions are short. */
#define HEAD_BYTES_MAX 8192
/* Connections kept at the same time; each costs a descriptor. */
#define CONNECTIONS_MAX 400
#define IDLE_S 10

struct endpoint {
	struct event_base *base;
	struct evconnlistener *listener;
	endpoint_answer answer;
	void *context;
	GQueue connections;
};

struct connection {
	struct endpoint *endpoint;
	GList *link;
	struct http_stream *stream;
	struct event *timer;
	char *method;
	char *target;
	bool keep_alive;
};

static void connection_free(struct connection *c)
{
	g_queue_delete_link(&c->endpoint->connections, c->link);
	event_free(c->timer);
	free(c->method);
	free(c->target);
	free(c);
}

static void watch(struct connection *c)
{
	const struct timeval limit = { IDLE_S, 0 };

	evtimer_add(c->timer, &limit);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct connection *c = context;

	(void)fd;
	(void)what;
	http_stream_free(c->stream);
	connection_free(c);
}

static void on_head(void *context, const struct http_head *head)
{
	struct connection *c = context;

	free(c->method);
	free(c->target);
	c->method = strdup(head->method);
	c->target = strdup(head->target);
	c->keep_alive = head->keep_alive;
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	(void)context;
	(void)data;
	(void)bytes;
}

static void on_complete(void *context)
{
	struct connection *c = context;
	struct evbuffer *out = http_stream_output(c->stream);
	struct evbuffer *body = evbuffer_new();
	const char *media_type = "application/json";
	uint16_t status = c->endpoint->answer(c->endpoint->context, c->method,
					      c->target, body, &media_type);

	evbuffer_add_printf(out,
			    "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n",
			    status, headers_reason(status),
			    evbuffer_get_length(body));
	if (evbuffer_get_length(body))
		evbuffer_add_printf(out, "Content-Type: %s\r\n", media_type);
	if (!c->keep_alive)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
	evbuffer_add_buffer(out, body);
	evbuffer_free(body);
	if (!c->keep_alive) {
		http_stream_free_lingering(c->stream);
		connection_free(c);
		return;
	}
	watch(c);
	http_stream_next(c->stream);
}

static void on_ended(void *context, enum http_end end)
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
	struct endpoint *endpoint = context;
	struct connection *c;

	(void)listener;
	(void)address;
	(void)length;
	c = g_queue_get_length(&endpoint->connections) < CONNECTIONS_MAX ?
		    calloc(1, sizeof(*c)) :
		    NULL;
	if (!c) {
		evutil_closesocket(fd);
		return;
	}
	tcp_prepare(fd, TCP_SILENCE_CALLER_MS);
	c->endpoint = endpoint;
	c->timer = evtimer_new(endpoint->base, on_timer, c);
	c->stream = http_stream_accept(endpoint->base, fd, HEAD_BYTES_MAX,
				       &stream_events, c);
	g_queue_push_tail(&endpoint->connections, c);
	c->link = g_queue_peek_tail_link(&endpoint->connections);
	if (!c->stream) {
		connection_free(c);
		return;
	}
	watch(c);
}

struct endpoint *endpoint_new(struct event_base *base, const char *address,
			      endpoint_answer answer, void *context)
{
	struct endpoint *endpoint = calloc(1, sizeof(*endpoint));

	if (!endpoint)
		return NULL;
	endpoint->base = base;
	endpoint->answer = answer;
	endpoint->context = context;
	endpoint->listener =
		listener_open(base, address, on_accept, endpoint);
	if (!endpoint->listener) {
		free(endpoint);
		return NULL;
	}
	return endpoint;
}

void endpoint_free(struct endpoint *endpoint)
{
	if (!endpoint)
		return;
	evconnlistener_free(endpoint->listener);
	while (!g_queue_is_empty(&endpoint->connections)) {
		struct connection *c =
			g_queue_peek_head(&endpoint->connections);

		http_stream_free(c->stream);
		connection_free(c);
	}
	free(endpoint);
}
