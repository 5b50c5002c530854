#include "proxy/pause.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/log.h"
#include "net/timer.h"
#include "sync/store_sync.h"

#define CHECK_INTERVAL_MS 500
/* After a shorter pause the view is no older than the store's watches would
 * have left it anyway. */
#define PAUSE_MIN_MS 800

struct pause_watch {
	struct proxy *proxy;
	struct event *timer;
	int64_t checked_ms;
	int64_t suspended_ms;
};

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct pause_watch *watch = context;
	int64_t now_ms = proxy_now_ms(watch->proxy);
	int64_t suspended_ms = clock_suspended_ms();
	int64_t late_ms = now_ms - watch->checked_ms - CHECK_INTERVAL_MS;
	int64_t slept_ms = suspended_ms - watch->suspended_ms;

	(void)fd;
	(void)what;
	if (late_ms > PAUSE_MIN_MS || slept_ms > PAUSE_MIN_MS) {
		log_warn("pause",
			 "process stood still; reading the store again "
			 "late_ms=%" PRId64 " suspended_ms=%" PRId64,
			 late_ms, slept_ms);
		store_sync_reload(watch->proxy->store_sync);
	}
	watch->checked_ms = now_ms;
	watch->suspended_ms = suspended_ms;
}

struct pause_watch *pause_watch_new(struct proxy *proxy)
{
	const struct timeval period = timer_timeval(CHECK_INTERVAL_MS);
	struct pause_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->proxy = proxy;
	watch->checked_ms = proxy_now_ms(proxy);
	watch->suspended_ms = clock_suspended_ms();
	watch->timer = event_new(proxy->base, -1, EV_PERSIST, on_timer, watch);
	evtimer_add(watch->timer, &period);
	return watch;
}

void pause_watch_free(struct pause_watch *watch)
{
	if (!watch)
		return;
	event_free(watch->timer);
	free(watch);
}
