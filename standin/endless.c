#include "endless.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>

#include "net/listener.h"

#define CHUNK_BYTES 65536

struct endless {
	struct event_base *base;
	struct evconnlistener *listener;
	GQueue connections; /* struct bufferevent */
	char *start;
};

static void write_chunk(struct bufferevent *bev)
{
	char chunk[CHUNK_BYTES];

	memset(chunk, 'x', sizeof(chunk));
	bufferevent_write(bev, chunk, sizeof(chunk));
}

static void on_written(struct bufferevent *bev, void *context)
{
	(void)context;
	write_chunk(bev);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	struct endless *endless = context;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	g_queue_remove(&endless->connections, bev);
	bufferevent_free(bev);
}

static void on_read(struct bufferevent *bev, void *context)
{
	struct endless *endless = context;
	struct evbuffer *input = bufferevent_get_input(bev);

	evbuffer_drain(input, evbuffer_get_length(input));
	bufferevent_disable(bev, EV_READ);
	/* the callback is also called while nothing has been written yet */
	bufferevent_setcb(bev, NULL, on_written, on_event, endless);
	bufferevent_write(bev, endless->start, strlen(endless->start));
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	struct endless *endless = context;
	struct bufferevent *bev =
		bufferevent_socket_new(endless->base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)listener;
	(void)address;
	(void)length;
	if (!bev) {
		evutil_closesocket(fd);
		return;
	}
	bufferevent_setcb(bev, on_read, NULL, on_event, endless);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	g_queue_push_tail(&endless->connections, bev);
}

struct endless *endless_new(struct event_base *base, const char *address,
			    const char *start)
{
	struct endless *endless = g_new0(struct endless, 1);

	endless->base = base;
	endless->start = g_strdup(start);
	endless->listener = listener_open(base, address, on_accept, endless);
	if (endless->listener)
		return endless;
	endless_free(endless);
	return NULL;
}

void endless_free(struct endless *endless)
{
	struct bufferevent *bev;

	if (!endless)
		return;
	if (endless->listener)
		evconnlistener_free(endless->listener);
	while ((bev = g_queue_pop_head(&endless->connections)))
		bufferevent_free(bev);
	g_free(endless->start);
	g_free(endless);
}
