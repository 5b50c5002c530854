#include "entry/shutdown.h"

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "base/counter.h"
#include "base/deadline.h"
#include "base/log.h"

#define POLL_MS 20
/* The in-flight gauge must stay at zero for this long before the VM counts as
 * idle. */
#define IDLE_MS 200
/* Requests end this long before the server is stopped, at the latest: what it
 * has not sent by then is lost. */
#define RESPONSE_RESERVE_MS 250
/* The reserve is at most the longest time of a shutdown divided by this. */
#define RESPONSE_RESERVE_DIVISOR 4

static void sleep_poll_interval(void)
{
	const struct timespec step = { 0, POLL_MS * NS_PER_MS };

	clock_nanosleep(CLOCK_MONOTONIC, 0, &step, NULL);
}

static uint32_t lookup_ttl_ms(struct entry *entry)
{
	struct current_document *current_doc = current_get(entry->current);
	uint32_t ttl_ms = current_doc ? current_doc->doc->lookup_ttl_ms : 0;

	current_unref(current_doc);
	return ttl_ms;
}

static uint32_t response_reserve_ms(uint32_t leave_max_ms)
{
	uint32_t ms = leave_max_ms / RESPONSE_RESERVE_DIVISOR;

	return ms < RESPONSE_RESERVE_MS ? ms : RESPONSE_RESERVE_MS;
}

/**
 * Waits until nothing was in flight for IDLE_MS, or until `limit_ms`.
 *
 * @return the time at the end of the wait, in ms.
 */
static int64_t wait_until_idle(struct entry *entry, int64_t limit_ms)
{
	int64_t now_ms = clock_now_ms(&entry->clock);
	int64_t idle_since_ms = now_ms;

	while (now_ms < limit_ms && now_ms - idle_since_ms < IDLE_MS) {
		sleep_poll_interval();
		now_ms = clock_now_ms(&entry->clock);
		if (gauge_get(GAUGE_IN_FLIGHT))
			idle_since_ms = now_ms;
	}
	return now_ms;
}

bool shutdown_run(struct entry *entry)
{
	int64_t began_ms = clock_now_ms(&entry->clock);
	int64_t limit_ms = began_ms + entry->settings.leave_max_ms;
	int64_t lookups_expired_ms = began_ms + entry->settings.leave_spread_ms +
				     lookup_ttl_ms(entry);
	uint64_t requests_before = counter_get(COUNTER_REQUESTS);
	int64_t in_flight_before;
	int64_t ended_ms;

	deadline_set_end(
		(limit_ms - response_reserve_ms(entry->settings.leave_max_ms)) *
		NS_PER_MS);
	entry->leaving = true;
	gauge_set(GAUGE_LEAVING, 1);
	peer_set_flag(entry->peer, MEMBER_LEAVING, true);
	log_info("leave", "withdrawn from look-up responses in_flight=%" PRId64,
		 gauge_get(GAUGE_IN_FLIGHT));
	while (clock_now_ms(&entry->clock) < lookups_expired_ms &&
	       clock_now_ms(&entry->clock) < limit_ms)
		sleep_poll_interval();
	in_flight_before = gauge_get(GAUGE_IN_FLIGHT);
	ended_ms = wait_until_idle(entry, limit_ms);
	fprintf(stderr,
		"leave: done took_ms=%" PRId64 " cached_answers_ms=%" PRId64
		" in_flight_ms=%" PRId64 " served_meanwhile=%" PRIu64
		" waited_for=%" PRId64 " left_over=%" PRId64 "\n",
		ended_ms - began_ms, lookups_expired_ms - began_ms,
		ended_ms - lookups_expired_ms,
		counter_get(COUNTER_REQUESTS) - requests_before,
		in_flight_before, gauge_get(GAUGE_IN_FLIGHT));
	return !gauge_get(GAUGE_IN_FLIGHT);
}
