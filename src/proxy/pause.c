#include "proxy/pause.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/log.h"
#include "net/timer.h"
#include "proxy/belief.h"

#define LOOK_MS 500
/* A pause shorter than this changes no belief that the store's watches would
 * not have changed late themselves. */
#define PAUSE_MS 800

struct pause_watch {
	struct proxy *proxy;
	struct event *look;
	int64_t seen_ms;
	int64_t suspended_ms;
};

static void on_look(evutil_socket_t fd, short what, void *context)
{
	struct pause_watch *watch = context;
	int64_t now_ms = proxy_now_ms(watch->proxy);
	int64_t suspended_ms = clock_suspended_ms();
	int64_t late_ms = now_ms - watch->seen_ms - LOOK_MS;
	int64_t slept_ms = suspended_ms - watch->suspended_ms;

	(void)fd;
	(void)what;
	if (late_ms > PAUSE_MS || slept_ms > PAUSE_MS) {
		log_warn("pause",
			 "process stood still; beliefs are read anew "
			 "late_ms=%" PRId64 " suspended_ms=%" PRId64,
			 late_ms, slept_ms);
		belief_resync(watch->proxy->belief);
	}
	watch->seen_ms = now_ms;
	watch->suspended_ms = suspended_ms;
}

struct pause_watch *pause_watch_new(struct proxy *proxy)
{
	const struct timeval period = timer_span(LOOK_MS);
	struct pause_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->proxy = proxy;
	watch->seen_ms = proxy_now_ms(proxy);
	watch->suspended_ms = clock_suspended_ms();
	watch->look = event_new(proxy->base, -1, EV_PERSIST, on_look, watch);
	evtimer_add(watch->look, &period);
	return watch;
}

void pause_watch_free(struct pause_watch *watch)
{
	if (!watch)
		return;
	event_free(watch->look);
	free(watch);
}
