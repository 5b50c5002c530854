#ifndef NET_TIMER_H
#define NET_TIMER_H

#include <event2/event.h>
#include <stdint.h>

#include "base/clock.h"

/** @file Timers of the event loop, in the unit of the rest of the program. */

/** @return a span of time as the event loop takes it. */
static inline struct timeval timer_span(int64_t ms)
{
	struct timeval span = { ms / MS_PER_S, ms % MS_PER_S * 1000 };

	return span;
}

/** Lets a timer fire after `ms`, whenever it was to fire before. */
static inline void timer_start(struct event *timer, int64_t ms)
{
	const struct timeval span = timer_span(ms);

	evtimer_add(timer, &span);
}

#endif
