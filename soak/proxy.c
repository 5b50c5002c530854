#include "proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/listener.h"
#include "net/timer.h"

#define DELAY_MS 300

enum harm {
	HARM_NONE,
	HARM_DELAY,
	HARM_SILENT,
	HARM_ONEWAY,
	HARM_RESET,
	HARMS
};

static const char *const harm_names[HARMS] = { "pass", "delay", "silent",
					       "oneway", "reset" };

struct proxy_link {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_in target;
	enum harm harm;
	GQueue pairs;
};

struct pair {
	struct proxy_link *link;
	struct bufferevent *near; /* of who connected */
	struct bufferevent *far;
	struct event *later;
};

static void pair_free(struct pair *pair, bool reset)
{
	const struct linger hard = { 1, 0 };

	if (reset)
		setsockopt(bufferevent_getfd(pair->near), SOL_SOCKET, SO_LINGER,
			   &hard, sizeof(hard));
	g_queue_remove(&pair->link->pairs, pair);
	bufferevent_free(pair->near);
	bufferevent_free(pair->far);
	event_free(pair->later);
	g_free(pair);
}

static void move(struct bufferevent *from, struct bufferevent *to)
{
	bufferevent_write_buffer(to, bufferevent_get_input(from));
}

static void pass(struct pair *pair)
{
	const enum harm harm = pair->link->harm;

	if (harm == HARM_SILENT)
		return;
	move(pair->far, pair->near);
	if (harm != HARM_ONEWAY)
		move(pair->near, pair->far);
}

static void on_later(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	pass(context);
}

static void on_bytes(struct bufferevent *from, void *context)
{
	struct pair *pair = context;

	(void)from;
	if (pair->link->harm != HARM_DELAY)
		pass(pair);
	else if (!evtimer_pending(pair->later, NULL))
		timer_start(pair->later, DELAY_MS);
}

static void on_drained(struct bufferevent *side, void *context)
{
	(void)side;
	pair_free(context, false);
}

static void on_end(struct bufferevent *side, short what, void *context)
{
	struct pair *pair = context;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* what came before the end still goes on */
	if (side == pair->far && !(what & BEV_EVENT_ERROR) &&
	    pair->link->harm == HARM_NONE) {
		move(pair->far, pair->near);
		if (evbuffer_get_length(bufferevent_get_output(pair->near))) {
			bufferevent_disable(pair->near, EV_READ);
			bufferevent_setcb(pair->near, NULL, on_drained, on_end,
					  pair);
			return;
		}
	}
	pair_free(pair, (what & BEV_EVENT_ERROR) != 0);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	struct proxy_link *link = context;
	struct pair *pair;

	(void)listener;
	(void)address;
	(void)length;
	tcp_prepare(fd, 0);
	pair = g_new0(struct pair, 1);
	pair->link = link;
	pair->later = evtimer_new(link->base, on_later, pair);
	pair->near =
		bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->far = bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_queue_push_tail(&link->pairs, pair);
	if (link->harm == HARM_RESET ||
	    bufferevent_socket_connect(pair->far, (struct sockaddr *)&link->target,
				       sizeof(link->target))) {
		pair_free(pair, true);
		return;
	}
	bufferevent_setcb(pair->near, on_bytes, NULL, on_end, pair);
	bufferevent_setcb(pair->far, on_bytes, NULL, on_end, pair);
	bufferevent_enable(pair->near, EV_READ | EV_WRITE);
	bufferevent_enable(pair->far, EV_READ | EV_WRITE);
}

struct proxy_link *proxy_link_new(struct event_base *base, const char *listen,
				  const char *target)
{
	struct proxy_link *link = g_new0(struct proxy_link, 1);

	link->base = base;
	if (tcp_parse(target, &link->target))
		link->listener = listener_open(base, listen, on_accept, link);
	if (link->listener)
		return link;
	g_free(link);
	return NULL;
}

void proxy_link_free(struct proxy_link *link)
{
	while (!g_queue_is_empty(&link->pairs))
		pair_free(g_queue_peek_head(&link->pairs), true);
	evconnlistener_free(link->listener);
	g_free(link);
}

bool proxy_link_set(struct proxy_link *link, const char *how)
{
	GList *at = link->pairs.head;
	int harm;

	for (harm = 0; harm < HARMS; harm++)
		if (!strcmp(harm_names[harm], how))
			break;
	if (harm == HARMS)
		return false;
	link->harm = (enum harm)harm;
	while (at) {
		struct pair *pair = at->data;

		at = at->next;
		if (link->harm == HARM_RESET)
			pair_free(pair, true);
		else
			pass(pair);
	}
	return true;
}
