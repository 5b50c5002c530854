#include "entry/leave.h"

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "base/counter.h"
#include "base/log.h"

#define STEP_MS 20
/* The in-flight gauge must stay at zero for this long. */
#define QUIET_MS 200

static void sleep_step(void)
{
	const struct timespec step = { 0, STEP_MS * NS_PER_MS };

	clock_nanosleep(CLOCK_MONOTONIC, 0, &step, NULL);
}

static uint32_t lookup_ttl_ms(struct entry *entry)
{
	struct current_document *held = current_get(entry->current);
	uint32_t ttl_ms = held ? held->doc->lookup_ttl_ms : 0;

	current_release(held);
	return ttl_ms;
}

/** @return when nothing had been in flight for QUIET_MS, or the limit. */
static int64_t wait_quiet(struct entry *entry, int64_t limit_ms)
{
	int64_t now_ms = clock_now_ms(&entry->clock);
	int64_t quiet_since_ms = now_ms;

	while (now_ms < limit_ms && now_ms - quiet_since_ms < QUIET_MS) {
		sleep_step();
		now_ms = clock_now_ms(&entry->clock);
		if (gauge_get(GAUGE_IN_FLIGHT))
			quiet_since_ms = now_ms;
	}
	return now_ms;
}

bool leave_run(struct entry *entry)
{
	int64_t began_ms = clock_now_ms(&entry->clock);
	int64_t limit_ms = began_ms + entry->settings.leave_max_ms;
	int64_t expired_ms = began_ms + entry->settings.leave_spread_ms +
			     lookup_ttl_ms(entry);
	uint64_t before = counter_get(COUNTER_REQUESTS);
	int64_t in_flight;
	int64_t ended_ms;

	entry->leaving = true;
	gauge_set(GAUGE_LEAVING, 1);
	peer_set_flag(entry->peer, MEMBER_LEAVING, true);
	log_info("leave", "left the look-up answers in_flight=%" PRId64,
		 gauge_get(GAUGE_IN_FLIGHT));
	while (clock_now_ms(&entry->clock) < expired_ms &&
	       clock_now_ms(&entry->clock) < limit_ms)
		sleep_step();
	in_flight = gauge_get(GAUGE_IN_FLIGHT);
	ended_ms = wait_quiet(entry, limit_ms);
	fprintf(stderr,
		"leave: done took_ms=%" PRId64 " cached_answers_ms=%" PRId64
		" in_flight_ms=%" PRId64 " served_meanwhile=%" PRIu64
		" waited_for=%" PRId64 " left_over=%" PRId64 "\n",
		ended_ms - began_ms, expired_ms - began_ms,
		ended_ms - expired_ms, counter_get(COUNTER_REQUESTS) - before,
		in_flight, gauge_get(GAUGE_IN_FLIGHT));
	return !gauge_get(GAUGE_IN_FLIGHT);
}
