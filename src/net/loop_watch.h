#ifndef NET_LOOP_WATCH_H
#define NET_LOOP_WATCH_H

#include <event2/event.h>

#include "base/clock.h"

/**
 * @file
 * Measures how late the event loop runs its timers: the time for which one turn
 * held it up. Fills HISTOGRAM_LOOP_LAG and logs long ones.
 */

struct loop_watch;

struct loop_watch *loop_watch_new(struct event_base *base,
				  const struct clock *clock);
void loop_watch_free(struct loop_watch *watch);

#endif
