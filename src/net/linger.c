#include "net/linger.h"
#include "net/timer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

/* Inactivity limit while the peer reads the last response and closes. */
#define LINGER_TIMEOUT_MS 2000

static uint32_t unsent_count;
/* Context of the callbacks while a connection is counted; NULL afterwards. */
#define COUNTED (&unsent_count)

static void on_read(struct bufferevent *bev, void *context)
{
	struct evbuffer *input = bufferevent_get_input(bev);

	(void)context;
	evbuffer_drain(input, evbuffer_get_length(input));
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	(void)what;
	if (context)
		unsent_count--;
	bufferevent_free(bev);
}

static void on_output_sent(struct bufferevent *bev, void *context)
{
	(void)context;
	unsent_count--;
	bufferevent_setcb(bev, on_read, NULL, on_event, NULL);
	shutdown(bufferevent_getfd(bev), SHUT_WR);
}

void linger_close(struct bufferevent *bev)
{
	const struct timeval timeout = timer_timeval(LINGER_TIMEOUT_MS);

	unsent_count++;
	bufferevent_setcb(bev, on_read, on_output_sent, on_event, COUNTED);
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
	bufferevent_trigger(bev, EV_READ,
			    BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
	if (!evbuffer_get_length(bufferevent_get_output(bev)))
		on_output_sent(bev, COUNTED);
}

uint32_t linger_unsent_count(void)
{
	return unsent_count;
}
