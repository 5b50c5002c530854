#include "endless.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/listener.h"

/* Stands for the request's ID in the start of a response. */
#define ENDLESS_ID "{id}"

struct endless_kind {
	const char *name;
	const char *start; /* sent first */
	const char *piece; /* follows again and again */
};

#define STAMPED \
	"HTTP/1.1 200 OK\r\nResponse-Stamp: s1\r\nRequest-Id: " ENDLESS_ID "\r\n"

static const struct endless_kind kinds[] = {
	{ "endless-head", "HTTP/1.1 200 OK\r\nX: ", "x" },
	{ "endless-body", "HTTP/1.1 200 OK\r\n\r\n", "x" },
	{ "endless-stamped", STAMPED "\r\n", "x" },
	{ "endless-chunks", STAMPED "Transfer-Encoding: chunked\r\n\r\n",
	  "1\r\nx\r\n" },
	{ "endless-interim", "", "HTTP/1.1 102 Processing\r\n\r\n" },
	{ "endless-trailer",
	  STAMPED "Transfer-Encoding: chunked\r\n"
		  "\r\n0\r\n",
	  "X: y\r\n" },
	{ "endless-responses", "",
	  "HTTP/1.1 200 OK\r\n"
	  "Request-Id: another\r\n"
	  "Content-Length: 1\r\n\r\nx" },
};

/* Bytes written at a time. */
#define WRITE_BYTES 65536
#define ID_HEADER "Request-Id: "

struct endless {
	struct event_base *base;
	struct evconnlistener *listener;
	GQueue connections; /* struct bufferevent */
	const struct endless_kind *kind;
};

static void write_pieces(const struct endless *endless, struct bufferevent *bev)
{
	const size_t bytes = strlen(endless->kind->piece);
	size_t written;

	for (written = 0; written < WRITE_BYTES; written += bytes)
		bufferevent_write(bev, endless->kind->piece, bytes);
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
	start = g_string_new(endless->kind->start);
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
			    const char *kind)
{
	struct endless *endless = g_new0(struct endless, 1);

	endless->base = base;
	endless->kind = kinds;
	while (strcmp(endless->kind->name, kind) != 0)
		endless->kind++;
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
	g_free(endless);
}
