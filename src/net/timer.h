#ifndef NET_TIMER_H
#define NET_TIMER_H

#include <event2/event.h>
#include <stdint.h>

#include "base/clock.h"

/** @file Event loop timers with intervals in milliseconds. */

/** @return an interval in ms as a struct timeval. */
static inline struct timeval timer_timeval(int64_t ms)
{
	struct timeval interval = { ms / MS_PER_S, ms % MS_PER_S * 1000 };

	return interval;
}

/** Starts or restarts a timer; it fires once after `ms` milliseconds. */
static inline void timer_start(struct event *timer, int64_t ms)
{
	const struct timeval interval = timer_timeval(ms);

	evtimer_add(timer, &interval);
}

#endif
