#include "proxy/pool.h"

#include <stdlib.h>

#include "base/log.h"
#include "net/timer.h"

/* An idle connection is closed here before the server may close it: a request
 * that crosses the server's close may have run. */
#define IDLE_SHARE_PERCENT 60
/* Assumed when a server does not tell its timeout. */
#define IDLE_DEFAULT_MS 4000

/* A request that the server's kernel has not confirmed in this time goes
 * elsewhere while it can still be answered: seven round trips between regions,
 * so that a lost packet or two are sent again first. */
#define SILENCE_MAX_MS 500

struct server_connection {
	struct proxy *proxy;
	struct server *server;
	struct http_stream *stream;
	struct event *idle_timer;
	const struct pool_events *events; /* NULL while it rests */
	void *context;
	struct server_connection *next; /* in the server's list */
	bool resting;
};

static void unlink_resting(struct server_connection *c)
{
	struct server_connection **at = &c->server->idle;

	if (!c->resting)
		return;
	while (*at && *at != c)
		at = &(*at)->next;
	if (*at)
		*at = c->next;
	c->next = NULL;
	c->resting = false;
}

void pool_discard(struct server_connection *c)
{
	if (!c)
		return;
	unlink_resting(c);
	http_stream_free(c->stream);
	if (c->idle_timer)
		event_free(c->idle_timer);
	c->server->connection_count--;
	server_release(c->server);
	free(c);
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

static void on_ended(void *context, enum http_end end)
{
	struct server_connection *c = context;

	if (c->events) {
		c->events->ended(c->context, end);
		return;
	}
	if (end == HTTP_END_EXTRA)
		log_info("pool",
			 "bytes nobody asked for; connection is closed "
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

struct server_connection *pool_take(struct proxy *proxy, struct server *server,
				    const struct pool_events *events,
				    void *context, bool *reused)
{
	struct server_connection *c = server->idle;

	*reused = c != NULL;
	if (c) {
		unlink_resting(c);
		evtimer_del(c->idle_timer);
		c->events = events;
		c->context = context;
		http_stream_next(c->stream);
		return c;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		return NULL;
	c->proxy = proxy;
	c->server = server_hold(server);
	server->connection_count++;
	c->events = events;
	c->context = context;
	c->idle_timer = evtimer_new(proxy->base, on_idle_timeout, c);
	c->stream = http_stream_connect(proxy->base, &server->address,
					SILENCE_MAX_MS, &stream_events, c);
	if (!c->stream || !c->idle_timer) {
		pool_discard(c);
		return NULL;
	}
	http_stream_next(c->stream);
	return c;
}

struct http_stream *pool_stream(struct server_connection *c)
{
	return c->stream;
}

void pool_give_back(struct server_connection *c, uint32_t idle_timeout_ms)
{
	uint32_t ms = (idle_timeout_ms ? idle_timeout_ms : IDLE_DEFAULT_MS) *
		      IDLE_SHARE_PERCENT / 100;

	c->events = NULL;
	c->context = NULL;
	if (!server_usable(c->server)) {
		pool_discard(c);
		return;
	}
	c->resting = true;
	c->next = c->server->idle;
	c->server->idle = c;
	timer_start(c->idle_timer, ms);
}
