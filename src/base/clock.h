#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/**
 * @file
 * Time as the decisions see it: a callback, so that tests pause and advance it.
 */

#define NS_PER_MS INT64_C(1000000)
#define MS_PER_S INT64_C(1000)

/** A monotonic clock, and the time of day that goes with it. */
struct clock {
	int64_t (*now_ns)(void *context);
	int64_t (*unix_ms)(void *context);
	void *context;
};

/** A clock that moves only when its owner advances it. */
struct clock_manual {
	_Atomic int64_t now_ns;
	_Atomic int64_t unix_ms;
};

/** The machine's monotonic clock. */
extern const struct clock clock_system;

/** @return monotonic time in nanoseconds. Any thread. */
int64_t clock_now_ns(const struct clock *clock);

/** @return monotonic time in milliseconds. Any thread. */
int64_t clock_now_ms(const struct clock *clock);

/**
 * @return a clock over `manual`, which the caller owns and keeps alive.
 */
struct clock clock_from_manual(struct clock_manual *manual);

/** Moves a manual clock forward by `ms` milliseconds. */
void clock_manual_advance_ms(struct clock_manual *manual, int64_t ms);

/**
 * @return wall-clock time in milliseconds since 1970. Used only in what is
 * exchanged with other machines, never to measure a duration.
 */
int64_t clock_unix_ms(const struct clock *clock);

/**
 * @return time for which the machine was suspended since it started, in ms,
 * which the monotonic clock does not count.
 */
int64_t clock_suspended_ms(void);

#endif
