#include "endless.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/listener.h"

/* Bytes written at a time. */
#define WRITE_BYTES 65536
#define ID_HEADER "Request-Id: "

struct endless {
	struct event_base *base;
	struct evconnlistener *listener;
	GQueue connections; /* struct bufferevent */
	char *start;
	char *piece;
};

static void write_pieces(const struct endless *endless, struct bufferevent *bev)
{
	const size_t bytes = strlen(endless->piece);
	size_t written;

	for (written = 0; written < WRITE_BYTES; written += bytes)
		bufferevent_write(bev, endless->piece, bytes);
}

static void on_written(struct bufferevent *bev, void *context)
{
	write_pieces(context, bev);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	struct endless *endless = context;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	g_queue_remove(&endless->connections, bev);
	bufferevent_free(bev);
}

/* @return the request's ID, which the caller frees. */
static char *copy_request_id(struct evbuffer *input)
{
	char *text = g_strndup((const char *)evbuffer_pullup(input, -1),
			       evbuffer_get_length(input));
	char *at = strstr(text, ID_HEADER);
	char *id;

	if (at)
		at += strlen(ID_HEADER);
	id = at ? g_strndup(at, strcspn(at, "\r")) : g_strdup("");
	g_free(text);
	return id;
}

static void on_read(struct bufferevent *bev, void *context)
{
	struct endless *endless = context;
	struct evbuffer *input = bufferevent_get_input(bev);
	char *id = copy_request_id(input);
	GString *start;

	evbuffer_drain(input, evbuffer_get_length(input));
	bufferevent_disable(bev, EV_READ);
	/* the callback is also called while nothing has been written yet */
	bufferevent_setcb(bev, NULL, on_written, on_event, endless);
	start = g_string_new(endless->start);
	g_string_replace(start, ENDLESS_ID, id, 0);
	bufferevent_write(bev, start->str, start->len);
	g_string_free(start, true);
	g_free(id);
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
			    const char *start, const char *piece)
{
	struct endless *endless = g_new0(struct endless, 1);

	endless->base = base;
	endless->start = g_strdup(start);
	endless->piece = g_strdup(piece);
	endless->listener = listener_open(base, address, on_accept, endless);
	if (endless->listener)
		return endless;
	endless_free(endless);
	return NULL;
}

void endless_free(struct endless *endless)
{
	const struct linger reset_on_close = { 1, 0 };
	struct bufferevent *bev;

	if (!endless)
		return;
	if (endless->listener)
		evconnlistener_free(endless->listener);
	/* a body without a length would be complete at an orderly close */
	while ((bev = g_queue_pop_head(&endless->connections))) {
		setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER,
			   &reset_on_close, sizeof(reset_on_close));
		bufferevent_free(bev);
	}
	g_free(endless->start);
	g_free(endless->piece);
	g_free(endless);
}
