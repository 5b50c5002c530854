#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/**
 * @file
 * Clocks that are passed to the code that uses them, so that tests can stop and
 * advance time.
 */

#define NS_PER_MS INT64_C(1000000)
#define MS_PER_S INT64_C(1000)

/** A monotonic clock, and the wall clock that goes with it. */
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

/** The machine's monotonic and wall clocks. */
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
 * @return wall-clock time in milliseconds since 1970. For log lines and for
 * times exchanged with other machines; never for measuring a duration. Any
 * thread.
 */
int64_t clock_unix_ms(const struct clock *clock);

/**
 * @return the time in ms that the machine was suspended since boot. The
 * monotonic clock does not include it.
 */
int64_t clock_suspended_ms(void);

#endif
