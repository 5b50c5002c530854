#include "request/pool.h"

#include <stdlib.h>

#include "base/log.h"
#include "net/timer.h"

/* Idle connections are closed after this share of the server's idle timeout: if
 * the server closes a connection while a request is being sent, the request may
 * have run. */
#define IDLE_TIMEOUT_PERCENT 60
/* Idle timeout assumed if the server does not announce one. */
#define IDLE_TIMEOUT_DEFAULT_MS 4000

struct server_connection {
	struct proxy *proxy;
	struct server *server;
	struct http_stream *stream;
	struct event *idle_timer;
	const struct pool_events *events; /* NULL while idle */
	void *context;
	struct server_connection *next; /* in the server's idle list */
	bool is_idle;
	struct response_history history;
};

static void unlink_idle(struct server_connection *c)
{
	struct server_connection **link = &c->server->idle;

	if (!c->is_idle)
		return;
	while (*link && *link != c)
		link = &(*link)->next;
	if (*link)
		*link = c->next;
	c->next = NULL;
	c->is_idle = false;
}

static void discard(struct server_connection *c, bool abort)
{
	if (!c)
		return;
	unlink_idle(c);
	if (abort)
		http_stream_abort(c->stream);
	else
		http_stream_free(c->stream);
	if (c->idle_timer)
		event_free(c->idle_timer);
	c->server->connection_count--;
	server_unref(c->server);
	free(c);
}

void pool_discard(struct server_connection *c)
{
	discard(c, false);
}

void pool_abort(struct server_connection *c)
{
	discard(c, true);
}

static void on_connected(void *context)
{
	struct server_connection *c = context;

	if (c->events)
		c->events->connected(c->context);
}

static void on_head(void *context, const struct http_head *head)
{
	struct server_connection *c = context;

	if (c->events)
		c->events->head(c->context, head);
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct server_connection *c = context;

	if (c->events)
		c->events->body(c->context, data, bytes);
}

static void on_complete(void *context)
{
	struct server_connection *c = context;

	if (c->events)
		c->events->complete(c->context);
}

static void on_ended(void *context, enum http_end_reason end)
{
	struct server_connection *c = context;

	if (c->events) {
		c->events->ended(c->context, end);
		return;
	}
	if (end == HTTP_END_UNEXPECTED_DATA)
		log_info("pool",
			 "unexpected bytes on idle connection; closing it "
			 "server=%s",
			 c->server->id);
	pool_discard(c);
}

static const struct http_stream_events stream_events = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static void on_idle_timeout(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	pool_discard(context);
}

static struct server_connection *find_idle(const struct server *server,
					   const struct pool_request *request)
{
	struct server_connection *c = request->needs_new ? NULL : server->idle;

	while (c && !response_history_allows(&c->history, request->id))
		c = c->next;
	return c;
}

struct server_connection *pool_acquire(struct proxy *proxy, struct server *server,
				       const struct pool_request *request,
				       const struct pool_events *events,
				       void *context, bool *reused)
{
	struct server_connection *c = find_idle(server, request);

	*reused = c != NULL;
	if (c) {
		unlink_idle(c);
		evtimer_del(c->idle_timer);
		c->events = events;
		c->context = context;
		http_stream_read_next(c->stream);
		return c;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	c->proxy = proxy;
	c->server = server_ref(server);
	server->connection_count++;
	c->events = events;
	c->context = context;
	c->idle_timer = evtimer_new(proxy->base, on_idle_timeout, c);
	c->stream = http_stream_connect(proxy->base, &server->address,
					POOL_ACK_TIMEOUT_MS, &stream_events, c);
	if (!c->stream || !c->idle_timer) {
		pool_discard(c);
		return NULL;
	}
	http_stream_read_next(c->stream);
	return c;
}

void pool_discard_idle(struct server *server)
{
	struct server_connection *c = server->idle;
	struct server_connection *next;

	while (c) {
		next = c->next;
		pool_discard(c);
		c = next;
	}
}

struct http_stream *pool_stream(struct server_connection *c)
{
	return c->stream;
}

struct response_history *pool_history(struct server_connection *c)
{
	return &c->history;
}

void pool_release(struct server_connection *c, uint32_t idle_timeout_ms)
{
	uint32_t ms =
		(idle_timeout_ms ? idle_timeout_ms : IDLE_TIMEOUT_DEFAULT_MS) *
		IDLE_TIMEOUT_PERCENT / 100;

	c->events = NULL;
	c->context = NULL;
	if (!server_is_usable(c->server)) {
		pool_discard(c);
		return;
	}
	/* its response may have ended while reading was paused */
	http_stream_pause_reading(c->stream, false);
	c->is_idle = true;
	c->next = c->server->idle;
	c->server->idle = c;
	timer_start(c->idle_timer, ms);
}
