#include <stdlib.h>

#include "kv/mirror_internal.h"
#include "net/timer.h"

/**
 * @file
 * Settings of a mirror, and what its owner learns elsewhere: the relay to read
 * from, and whether the store responds.
 */

/* Wait of one watch in percent of the time for which the store keeps its
 * history. */
#define WATCH_WAIT_HISTORY_PERCENT 60

void mirror_start(struct mirror *m, uint32_t relay_wait_ms)
{
	if (m->started)
		return;
	m->started = true;
	m->relay_wait_ms = relay_wait_ms;
	if (relay_wait_ms && source_has_relay(m->source))
		m->relay_wait_until_ms = mirror_now_ms(m) + relay_wait_ms;
	mirror_send_next_call(m);
}

void mirror_set_history(struct mirror *m, uint32_t history_ms)
{
	m->watch_wait_ms = MIN(m->watch_wait_ms,
			       history_ms / 100 * WATCH_WAIT_HISTORY_PERCENT);
}

void mirror_set_lost_watch_timeout(struct mirror *m, uint32_t timeout_ms)
{
	m->watch_wait_ms =
		MIN(m->watch_wait_ms,
		    MAX(timeout_ms, 2 * WATCH_SLACK_MS) - WATCH_SLACK_MS);
}

void mirror_set_rewrite_hold(struct mirror *m, uint32_t hold_ms)
{
	m->rewrite_hold_ms = hold_ms;
}

void mirror_allow_stale_start(struct mirror *m, uint32_t count, uint32_t pause_ms)
{
	m->stale_ranges = count;
	m->stale_pause_ms = pause_ms;
}

static void cancel_call(struct mirror *m)
{
	source_cancel(m->source);
	evtimer_del(m->retry_timer);
	m->watch_in_progress = false;
	free(m->last_key);
	m->last_key = NULL;
}

void mirror_resync(struct mirror *m)
{
	if (!m->started)
		return;
	cancel_call(m);
	m->synced = false;
	feed_interrupt(m->feed);
	mirror_send_next_call(m);
}

void mirror_on_store_unreachable(struct mirror *m)
{
	m->store_unreachable = true;
	if (!m->started || source_uses_relay(m->source))
		return;
	feed_interrupt(m->feed);
	m->may_have_missed_events = true;
	source_retry_relay(m->source);
	cancel_call(m);
	mirror_send_next_call(m);
}

void mirror_on_store_reachable(struct mirror *m)
{
	m->store_unreachable = false;
	if (m->in_outage && evtimer_pending(m->retry_timer, NULL))
		timer_start(m->retry_timer, 0);
}

void mirror_set_relay(struct mirror *m, const struct sockaddr_in *relay)
{
	const bool watch_in_progress = m->watch_in_progress;
	const bool was_relay = source_uses_relay(m->source);

	if (!source_set_relay(m->source, relay))
		return;
	if (relay && m->relay_wait_ms && m->relay_wait_until_ms < 0)
		m->relay_wait_until_ms = mirror_now_ms(m) + m->relay_wait_ms;
	/* a range at the store may finish, a watch would wait for long */
	if (!watch_in_progress && !was_relay)
		return;
	cancel_call(m);
	mirror_send_next_call(m);
}

struct feed *mirror_feed(struct mirror *m)
{
	return m->feed;
}

int64_t mirror_age_ms(const struct mirror *m)
{
	return m->last_response_ms < 0 ? -1
				       : mirror_now_ms(m) - m->last_response_ms;
}

uint64_t mirror_era(const struct mirror *m)
{
	return m->era;
}

bool mirror_is_synced(const struct mirror *m)
{
	return m->synced;
}
