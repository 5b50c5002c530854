#include "net/loop_watch.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/histogram.h"
#include "base/log.h"
#include "net/timer.h"

#define INTERVAL_MS 250
/* Requests notice a longer one. */
#define LOGGED_LAG_MS 250

struct loop_watch {
	const struct clock *clock;
	struct event *timer;
	int64_t due_ms;
};

static void start(struct loop_watch *watch)
{
	watch->due_ms = clock_now_ms(watch->clock) + INTERVAL_MS;
	timer_start(watch->timer, INTERVAL_MS);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct loop_watch *watch = context;
	const int64_t lag_ms = clock_now_ms(watch->clock) - watch->due_ms;

	(void)fd;
	(void)what;
	histogram_add(HISTOGRAM_LOOP_LAG, lag_ms);
	if (lag_ms >= LOGGED_LAG_MS)
		log_info("loop", "event loop was held up lag_ms=%" PRId64,
			 lag_ms);
	start(watch);
}

struct loop_watch *loop_watch_new(struct event_base *base,
				  const struct clock *clock)
{
	struct loop_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->clock = clock;
	watch->timer = evtimer_new(base, on_timer, watch);
	start(watch);
	return watch;
}

void loop_watch_free(struct loop_watch *watch)
{
	if (!watch)
		return;
	event_free(watch->timer);
	free(watch);
}
