#include "net/linger.h"
#include "net/timer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

/* Inactivity limit while the peer reads the last response and closes. */
#define LINGER_TIMEOUT_MS 2000

/* A connection that is being closed. */
struct lingering {
	struct bufferevent *bev;
	bool unsent; /* the kernel has not taken all of its output */
};

static GQueue connections = G_QUEUE_INIT; /* struct lingering */

static void lingering_free(struct lingering *lingering)
{
	g_queue_remove(&connections, lingering);
	bufferevent_free(lingering->bev);
	g_free(lingering);
}

static void on_read(struct bufferevent *bev, void *context)
{
	struct evbuffer *input = bufferevent_get_input(bev);

	(void)context;
	evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_output_sent(struct bufferevent *bev, void *context)
{
	struct lingering *lingering = context;

	if (lingering->unsent)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	lingering->unsent = false;
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	(void)bev;
	(void)what;
	lingering_free(context);
}

void linger_close(struct bufferevent *bev)
{
	const struct timeval timeout = timer_timeval(LINGER_TIMEOUT_MS);
	struct lingering *lingering = g_new0(struct lingering, 1);

	lingering->bev = bev;
	lingering->unsent = true;
	g_queue_push_tail(&connections, lingering);
	bufferevent_setcb(bev, on_read, on_output_sent, on_event, lingering);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_trigger(bev, EV_READ,
			    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
	if (!evbuffer_get_length(bufferevent_get_output(bev)))
		on_output_sent(bev, lingering);
}

uint32_t linger_unsent_count(void)
{
	const GList *link;
	uint32_t count = 0;

	for (link = connections.head; link; link = link->next)
		count += ((struct lingering *)link->data)->unsent;
	return count;
}

void linger_free_all(void)
{
	while (!g_queue_is_empty(&connections))
		lingering_free(g_queue_peek_head(&connections));
}
