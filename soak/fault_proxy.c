#include "fault_proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/listener.h"
#include "net/timer.h"

#define DELAY_MS 300

enum proxy_mode {
	MODE_PASS,
	MODE_DELAY,
	MODE_SILENT,
	MODE_ONEWAY,
	MODE_RESET,
	MODE_REFUSE,
	MODE_REPEAT,
	MODE_COUNT
};

static const char *const mode_names[MODE_COUNT] = { "pass",   "delay", "silent",
						    "oneway", "reset", "refuse",
						    "repeat" };

struct fault_proxy {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_in target;
	enum proxy_mode mode;
	fault_proxy_rule rule;
	void *rule_context;
	GQueue pairs;
};

struct pair {
	struct fault_proxy *proxy;
	struct bufferevent *client; /* accepted connection */
	struct bufferevent *upstream;
	struct event *delay_timer;
	struct evbuffer *response; /* the last one, if it is to be repeated */
	enum proxy_mode mode;	   /* by the rule */
};

static enum proxy_mode find_mode(const char *name)
{
	int mode;

	for (mode = 0; mode < MODE_COUNT; mode++)
		if (!strcmp(mode_names[mode], name))
			break;
	return (enum proxy_mode)mode;
}

/* A mode of all connections takes precedence over that of a single one. */
static enum proxy_mode pair_mode(const struct pair *pair)
{
	return pair->proxy->mode == MODE_PASS ? pair->mode : pair->proxy->mode;
}

static void apply_rule(struct pair *pair)
{
	const struct fault_proxy *proxy = pair->proxy;

	if (proxy->rule)
		pair->mode =
			find_mode(proxy->rule(proxy->rule_context,
					      bufferevent_getfd(pair->client)));
}

static void pair_free(struct pair *pair, bool reset)
{
	const struct linger abort_linger = { 1, 0 };

	if (reset)
		setsockopt(bufferevent_getfd(pair->client), SOL_SOCKET,
			   SO_LINGER, &abort_linger, sizeof(abort_linger));
	g_queue_remove(&pair->proxy->pairs, pair);
	bufferevent_free(pair->client);
	bufferevent_free(pair->upstream);
	event_free(pair->delay_timer);
	evbuffer_free(pair->response);
	g_free(pair);
}

static void transfer(struct bufferevent *from, struct bufferevent *to)
{
	bufferevent_write_buffer(to, bufferevent_get_input(from));
}

/* Writes the last response once more when the next request comes. */
static void repeat_response(struct pair *pair)
{
	struct evbuffer *from_server = bufferevent_get_input(pair->upstream);

	if (evbuffer_get_length(bufferevent_get_input(pair->client)))
		bufferevent_write_buffer(pair->client, pair->response);
	evbuffer_add(pair->response, evbuffer_pullup(from_server, -1),
		     evbuffer_get_length(from_server));
}

static void forward(struct pair *pair)
{
	const enum proxy_mode mode = pair_mode(pair);

	if (mode == MODE_SILENT)
		return;
	if (mode == MODE_REPEAT)
		repeat_response(pair);
	transfer(pair->upstream, pair->client);
	if (mode != MODE_ONEWAY)
		transfer(pair->client, pair->upstream);
}

static void on_delay(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	forward(context);
}

static void on_readable(struct bufferevent *from, void *context)
{
	struct pair *pair = context;

	(void)from;
	if (pair_mode(pair) != MODE_DELAY)
		forward(pair);
	else if (!evtimer_pending(pair->delay_timer, NULL))
		timer_start(pair->delay_timer, DELAY_MS);
}

static void on_flushed(struct bufferevent *side, void *context)
{
	(void)side;
	pair_free(context, false);
}

static void on_event(struct bufferevent *side, short what, void *context)
{
	struct pair *pair = context;

	if (what & BEV_EVENT_CONNECTED)
		return;
	/* flush the data received before the close */
	if (side == pair->upstream && !(what & BEV_EVENT_ERROR) &&
	    (pair_mode(pair) == MODE_PASS || pair_mode(pair) == MODE_REFUSE)) {
		transfer(pair->upstream, pair->client);
		if (evbuffer_get_length(bufferevent_get_output(pair->client))) {
			bufferevent_disable(pair->client, EV_READ);
			bufferevent_setcb(pair->client, NULL, on_flushed,
					  on_event, pair);
			return;
		}
	}
	pair_free(pair, (what & BEV_EVENT_ERROR) != 0);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	struct fault_proxy *proxy = context;
	struct pair *pair;

	(void)listener;
	(void)address;
	(void)length;
	tcp_set_options(fd, 0);
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	pair->response = evbuffer_new();
	pair->delay_timer = evtimer_new(proxy->base, on_delay, pair);
	pair->client =
		bufferevent_socket_new(proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->upstream =
		bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
	g_queue_push_tail(&proxy->pairs, pair);
	apply_rule(pair);
	if (pair_mode(pair) == MODE_RESET || pair_mode(pair) == MODE_REFUSE ||
	    bufferevent_socket_connect(pair->upstream,
				       (struct sockaddr *)&proxy->target,
				       sizeof(proxy->target))) {
		pair_free(pair, true);
		return;
	}
	bufferevent_setcb(pair->client, on_readable, NULL, on_event, pair);
	bufferevent_setcb(pair->upstream, on_readable, NULL, on_event, pair);
	bufferevent_enable(pair->client, EV_READ | EV_WRITE);
	bufferevent_enable(pair->upstream, EV_READ | EV_WRITE);
}

struct fault_proxy *fault_proxy_new(struct event_base *base, const char *listen,
				    const char *target, fault_proxy_rule rule,
				    void *rule_context)
{
	struct fault_proxy *proxy = g_new0(struct fault_proxy, 1);

	proxy->base = base;
	proxy->rule = rule;
	proxy->rule_context = rule_context;
	if (tcp_parse_address(target, &proxy->target))
		proxy->listener = listener_open(base, listen, on_accept, proxy);
	if (proxy->listener)
		return proxy;
	g_free(proxy);
	return NULL;
}

void fault_proxy_free(struct fault_proxy *proxy)
{
	while (!g_queue_is_empty(&proxy->pairs))
		pair_free(g_queue_peek_head(&proxy->pairs), true);
	evconnlistener_free(proxy->listener);
	g_free(proxy);
}

void fault_proxy_apply_rule(struct fault_proxy *proxy)
{
	GList *at = proxy->pairs.head;

	while (at) {
		struct pair *pair = at->data;

		at = at->next;
		apply_rule(pair);
		if (pair_mode(pair) == MODE_RESET)
			pair_free(pair, true);
		else
			forward(pair);
	}
}

bool fault_proxy_set_mode(struct fault_proxy *proxy, const char *how)
{
	const enum proxy_mode mode = find_mode(how);

	if (mode == MODE_COUNT)
		return false;
	proxy->mode = mode;
	fault_proxy_apply_rule(proxy);
	return true;
}
