#include "base/clock.h"

#include <time.h>

static int64_t read_clock(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * MS_PER_S * NS_PER_MS + now.tv_nsec;
}

static int64_t system_now_ns(void *context)
{
	(void)context;
	return read_clock(CLOCK_MONOTONIC);
}

static int64_t system_unix_ms(void *context)
{
	(void)context;
	return read_clock(CLOCK_REALTIME) / NS_PER_MS;
}

static int64_t manual_now_ns(void *context)
{
	const struct clock_manual *manual = context;

	return manual->now_ns;
}

static int64_t manual_unix_ms(void *context)
{
	const struct clock_manual *manual = context;

	return manual->unix_ms;
}

const struct clock clock_system = { system_now_ns, system_unix_ms, NULL };

int64_t clock_now_ns(const struct clock *clock)
{
	return clock->now_ns(clock->context);
}

int64_t clock_now_ms(const struct clock *clock)
{
	return clock_now_ns(clock) / NS_PER_MS;
}

struct clock clock_from_manual(struct clock_manual *manual)
{
	struct clock clock = { manual_now_ns, manual_unix_ms, manual };

	return clock;
}

void clock_manual_advance_ms(struct clock_manual *manual, int64_t ms)
{
	manual->now_ns += ms * NS_PER_MS;
	manual->unix_ms += ms;
}

int64_t clock_unix_ms(const struct clock *clock)
{
	return clock->unix_ms(clock->context);
}

int64_t clock_suspended_ms(void)
{
	return (read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC)) /
	       NS_PER_MS;
}
