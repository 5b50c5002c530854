#include "net/linger.h"
#include "net/timer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

/* Inactivity limit while the peer reads the last response and closes. */
#define LINGER_TIMEOUT_MS 2000

static void on_read(struct bufferevent *bev, void *context)
{
	struct evbuffer *input = bufferevent_get_input(bev);

	(void)context;
	evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_output_sent(struct bufferevent *bev, void *context)
{
	(void)context;
	shutdown(bufferevent_getfd(bev), SHUT_WR);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	(void)what;
	(void)context;
	bufferevent_free(bev);
}

void linger_close(struct bufferevent *bev)
{
	const struct timeval timeout = timer_timeval(LINGER_TIMEOUT_MS);

	bufferevent_setcb(bev, on_read, on_output_sent, on_event, NULL);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_trigger(bev, EV_READ,
			    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
	if (!evbuffer_get_length(bufferevent_get_output(bev)))
		on_output_sent(bev, NULL);
}
