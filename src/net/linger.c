#include "net/linger.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

#include "net/buffer_account.h"
#include "net/tcp.h"
#include "net/timer.h"

/* Interval at which the progress of the peer is checked. */
#define CHECK_INTERVAL_MS 250
/* A peer that has read nothing for this long is gone. The kernel buffers of a
 * peer that reads slowly free up in steps of seconds. */
#define STALL_TIMEOUT_MS 10000
/* Inactivity limit after the peer's kernel has received everything. */
#define CLOSE_TIMEOUT_MS 2000

/* A connection that is being closed. */
struct lingering {
	struct bufferevent *bev;
	struct event *timer;
	size_t undelivered; /* bytes at the last check */
	uint32_t idle_ms;   /* time without progress of the peer */
	bool writes;	    /* not all output has been passed to the kernel */
};

static GQueue connections = G_QUEUE_INIT; /* struct lingering */

static void lingering_free(struct lingering *lingering)
{
	g_queue_remove(&connections, lingering);
	event_free(lingering->timer);
	buffer_account_remove(bufferevent_get_output(lingering->bev));
	bufferevent_free(lingering->bev);
	g_free(lingering);
}

/* @return the bytes that the peer's kernel has not acknowledged. */
static size_t count_undelivered(const struct lingering *lingering)
{
	struct bufferevent *bev = lingering->bev;

	return evbuffer_get_length(bufferevent_get_output(bev)) +
	       tcp_unacknowledged_bytes(bufferevent_getfd(bev));
}

static void on_check(evutil_socket_t fd, short what, void *context)
{
	struct lingering *lingering = context;
	const size_t undelivered = count_undelivered(lingering);

	(void)fd;
	(void)what;
	if (undelivered < lingering->undelivered)
		lingering->idle_ms = 0;
	else
		lingering->idle_ms += CHECK_INTERVAL_MS;
	lingering->undelivered = undelivered;
	if (lingering->idle_ms >=
	    (undelivered ? STALL_TIMEOUT_MS : CLOSE_TIMEOUT_MS)) {
		lingering_free(lingering);
		return;
	}
	timer_start(lingering->timer, CHECK_INTERVAL_MS);
}

static void on_read(struct bufferevent *bev, void *context)
{
	struct evbuffer *input = bufferevent_get_input(bev);
	struct lingering *lingering = context;

	lingering->idle_ms = 0;
	evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_output_sent(struct bufferevent *bev, void *context)
{
	struct lingering *lingering = context;

	if (lingering->writes)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	lingering->writes = false;
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	(void)bev;
	(void)what;
	lingering_free(context);
}

void linger_close(struct bufferevent *bev)
{
	struct lingering *lingering = g_new0(struct lingering, 1);

	lingering->bev = bev;
	lingering->timer =
		evtimer_new(bufferevent_get_base(bev), on_check, lingering);
	lingering->undelivered = SIZE_MAX;
	lingering->writes = true;
	g_queue_push_tail(&connections, lingering);
	bufferevent_setcb(bev, on_read, on_output_sent, on_event, lingering);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_trigger(bev, EV_READ,
			    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
	if (!evbuffer_get_length(bufferevent_get_output(bev)))
		on_output_sent(bev, lingering);
	timer_start(lingering->timer, CHECK_INTERVAL_MS);
}

uint32_t linger_undelivered_count(void)
{
	const GList *link;
	uint32_t count = 0;

	for (link = connections.head; link; link = link->next)
		count += count_undelivered(link->data) != 0;
	return count;
}

void linger_free_all(void)
{
	while (!g_queue_is_empty(&connections))
		lingering_free(g_queue_peek_head(&connections));
}
