#include "proxy/stop.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "net/timer.h"
#include "proxy/caller.h"

/* How often the progress of a stop is looked at. */
#define LOOK_MS 100
/* Callers keep what the directory said for a second, some for three: until then
 * this VM still takes their connections. */
#define LINGER_MS 3200
/* Connections without a request are closed after this time, when callers have
 * asked the directory anew. */
#define CLOSE_IDLE_MS 2000
/* Kept back from the time until the process is killed. */
#define RESERVE_MS 500

struct stop {
	struct proxy *proxy;
	struct event *signals[2];
	struct event *look;
	int64_t began_ms;
};

static void on_look(evutil_socket_t fd, short what, void *context)
{
	struct stop *stop = context;
	struct proxy *proxy = stop->proxy;
	int64_t age_ms = proxy_now_ms(proxy) - stop->began_ms;

	(void)fd;
	(void)what;
	if (age_ms >= CLOSE_IDLE_MS)
		callers_close_idle(proxy);
	if ((age_ms >= LINGER_MS && !proxy->exchanges) ||
	    proxy_now_ms(proxy) >= proxy->stops_at_ms) {
		log_info("stop", "stop ends took_ms=%" PRId64 " unfinished=%u",
			 age_ms, proxy->exchanges);
		event_base_loopbreak(proxy->base);
		return;
	}
	timer_start(stop->look, LOOK_MS);
}

static void on_signal(evutil_socket_t fd, short what, void *context)
{
	struct stop *stop = context;

	(void)what;
	if (stop->proxy->stopping)
		return;
	log_info("stop", "stop begins signal=%d in_progress=%u", (int)fd,
		 stop->proxy->exchanges);
	stop->proxy->stopping = true;
	stop->began_ms = proxy_now_ms(stop->proxy);
	stop->proxy->stops_at_ms = stop->began_ms - RESERVE_MS +
				   (int64_t)stop->proxy->bounds.stop_grace_ms;
	presence_withdraw(stop->proxy->presence);
	on_look(-1, 0, stop);
}

struct stop *stop_new(struct proxy *proxy)
{
	struct stop *stop = calloc(1, sizeof(*stop));

	if (!stop)
		return NULL;
	stop->proxy = proxy;
	stop->look = evtimer_new(proxy->base, on_look, stop);
	stop->signals[0] = evsignal_new(proxy->base, SIGTERM, on_signal, stop);
	stop->signals[1] = evsignal_new(proxy->base, SIGINT, on_signal, stop);
	evsignal_add(stop->signals[0], NULL);
	evsignal_add(stop->signals[1], NULL);
	return stop;
}

void stop_free(struct stop *stop)
{
	if (!stop)
		return;
	event_free(stop->signals[0]);
	event_free(stop->signals[1]);
	event_free(stop->look);
	free(stop);
}
