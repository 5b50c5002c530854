#include "kv/mirror.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "kv/mirror_internal.h"
#include "net/timer.h"

/* Timeout of a range. The store responds in milliseconds, and within 400 ms if
 * it is a hundred times slower than usual. */
#define RANGE_TIMEOUT_MS 1500
/* Wait of a watch that is to show at once whether the store responds: while the
 * feed is stale and other VMs wait for it, or while the relay cannot reach the
 * store. */
#define WATCH_WAIT_MIN_MS 1
/* Longest wait of one watch at a relay. A relay that crashed or is unreachable
 * is detected within this and the slack, well within the time after which a
 * draining server must get no more requests. */
#define RELAY_WATCH_WAIT_MS 1000
#define RELAY_WATCH_SLACK_MS 500
/* Interval between calls to a relay that is still starting. */
#define RELAY_STARTUP_RETRY_MS 200
/* Wait of a watch at the store while the relay fails. Between two watches the
 * relay is tried again. */
#define WATCH_WAIT_WITH_RELAY_MS 3000
/* Pause between an event from a relay and the next watch; short because the
 * relay has batched the changes already. */
#define RELAY_BATCH_MS 20
/* Delay before the next call after a failure, doubled up to the maximum. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 800
/* Maximum while other calls to the store fail too. */
#define RETRY_UNREACHABLE_MAX_MS 1500
/* Delay before the next call to a relay that cannot reach the store while this
 * VM cannot reach it either. */
#define RELAY_UNAVAILABLE_RETRY_MS 500
/* After its own call to the store failed, this VM trusts a relay's report that
 * the store is unreachable for this long: if all VMs called the store
 * nevertheless, they would exhaust its rate limits. */
#define STORE_SUSPECT_MS 1000
/* Keys that disappeared during an outage of the store are written again within
 * about two seconds after it ends, if their writer is still running. */
#define REREGISTRATION_MS 2000
/* A failure this long after the last response counts as an outage, as does a
 * second failure in a row. */
#define OUTAGE_AFTER_MS 800

static void record_response(struct mirror *m)
{
	int64_t now = mirror_now_ms(m);

	if (m->in_outage) {
		m->in_outage = false;
		m->outage_end_ms = now;
		log_info("store", "store answers again prefix=%s", m->prefix);
	}
	m->last_response_ms = now;
	m->retry_ms = 0;
	m->last_failure_ms = -1;
}

static void handle_failure(struct mirror *m, const char *call, uint16_t status)
{
	int64_t now = mirror_now_ms(m);
	uint32_t max_ms =
		m->store_unreachable ? RETRY_UNREACHABLE_MAX_MS : RETRY_MAX_MS;

	if (!m->in_outage &&
	    (m->last_response_ms < 0 ||
	     now - m->last_response_ms > OUTAGE_AFTER_MS || m->retry_ms)) {
		m->in_outage = true;
		log_warn("store",
			 "store does not answer prefix=%s call=%s "
			 "status=%u last_answer_ms=%" PRId64,
			 m->prefix, call, status,
			 m->last_response_ms < 0 ? -1
						 : now - m->last_response_ms);
	}
	/* the store also cuts watches, or loses their responses, while it is
	 * healthy: followers of this VM's feed wait for the next call instead
	 * of calling the store */
	if (m->store_unreachable || m->retry_ms)
		feed_interrupt(m->feed);
	else
		feed_begin_refresh(m->feed);
	m->retry_ms = m->retry_ms ? m->retry_ms * 2 : RETRY_MIN_MS;
	if (m->retry_ms > max_ms)
		m->retry_ms = max_ms;
	m->last_failure_ms = now;
	source_retry_relay(m->source);
	timer_start(m->retry_timer, g_random_int_range((gint32)m->retry_ms / 2,
						       (gint32)m->retry_ms + 1));
}

static bool had_recent_outage(const struct mirror *m)
{
	return m->in_outage ||
	       (m->outage_end_ms >= 0 &&
		mirror_now_ms(m) - m->outage_end_ms < REREGISTRATION_MS);
}

/* @return how long a key that was removed may come back, see
 * known_keys_remove(). */
static uint32_t removal_hold_ms(const struct mirror *m)
{
	if (m->era_began_ms >= 0 &&
	    mirror_now_ms(m) - m->era_began_ms < m->rewrite_hold_ms)
		return m->rewrite_hold_ms;
	return had_recent_outage(m) ? REREGISTRATION_MS : 0;
}

enum era_check { ERA_SAME, ERA_NEWER, ERA_OLDER };

/* Compares the era of the last response with the known one. In a newer one,
 * revisions begin anew, and all keys must be read again. */
static enum era_check check_era(struct mirror *m)
{
	uint64_t era = source_era(m->source);
	uint64_t known = m->era;

	if (!era || era == known)
		return ERA_SAME;
	if (era < known) {
		log_info("store",
			 "response of an earlier era is ignored prefix=%s "
			 "era=%" PRIu64 " known_era=%" PRIu64,
			 m->prefix, era, known);
		return ERA_OLDER;
	}
	m->era = era;
	feed_begin_era(m->feed, era);
	if (!known)
		return ERA_SAME;
	log_warn("store",
		 "store has come back from a copy, reading all keys again "
		 "prefix=%s era=%" PRIu64 " known_era=%" PRIu64
		 " revision=%" PRIu64,
		 m->prefix, era, known, m->revision);
	m->era_began_ms = mirror_now_ms(m);
	m->revision = 0;
	m->synced = false;
	known_keys_begin_era(m->keys);
	if (m->events->new_era)
		m->events->new_era(m->context, era);
	return ERA_NEWER;
}

static bool is_store_suspect(const struct mirror *m)
{
	return m->store_unreachable ||
	       (m->last_failure_ms >= 0 &&
		mirror_now_ms(m) - m->last_failure_ms < STORE_SUSPECT_MS);
}

/* Handles a failed call to the relay: retries it later, or switches to the
 * store. @return false: the failed call went to the store. */
static bool handle_relay_failure(struct mirror *m, uint16_t status)
{
	if (!source_uses_relay(m->source))
		return false;
	free(m->last_key);
	m->last_key = NULL;
	if (mirror_now_ms(m) < m->relay_wait_until_ms) {
		timer_start(m->retry_timer, RELAY_STARTUP_RETRY_MS);
		return true;
	}
	/* the relay cannot reach the store: treats it as an outage, in which
	 * keys may disappear and be written again */
	if (status == KV_STATUS_UNAVAILABLE)
		m->outage_end_ms = mirror_now_ms(m);
	if (status == KV_STATUS_UNAVAILABLE && is_store_suspect(m)) {
		timer_start(m->retry_timer, RELAY_UNAVAILABLE_RETRY_MS);
		return true;
	}
	m->relay_unavailable = status == KV_STATUS_UNAVAILABLE;
	source_suspend_relay(m->source, status);
	mirror_send_next_call(m);
	return true;
}

/* Called after a response. If it came from the store, which the relay cannot
 * reach, another relay is needed. */
static void report_unfit_relay(struct mirror *m)
{
	if (source_uses_relay(m->source) || !m->relay_unavailable)
		return;
	m->relay_unavailable = false;
	if (m->events->relay_unfit)
		m->events->relay_unfit(m->context);
}

/* @return whether another range of the start is still to be read, because no
 * relay is known yet. */
static bool schedule_stale_range(struct mirror *m)
{
	if (!m->range_is_stale || !m->stale_ranges || source_has_relay(m->source))
		return false;
	m->synced = false;
	timer_start(m->retry_timer, m->stale_pause_ms);
	return true;
}

static void on_range(void *context, uint16_t status, const char *body,
		     size_t bytes)
{
	struct mirror *m = context;
	enum era_check era;
	struct kv_page page;
	size_t i;

	if (status != KV_STATUS_OK || !kv_decode_page(body, bytes, &page)) {
		if (!handle_relay_failure(m, status))
			handle_failure(m, "range", status);
		return;
	}
	era = check_era(m);
	if (era == ERA_NEWER && m->last_key) {
		/* the first pages are of the earlier era */
		kv_page_clear(&page);
		free(m->last_key);
		m->last_key = NULL;
		mirror_send_next_call(m);
		return;
	}
	if (era == ERA_OLDER) {
		kv_page_clear(&page);
		if (!handle_relay_failure(m, status))
			handle_failure(m, "range", status);
		return;
	}
	/* an outdated relay would revert newer changes */
	if (source_uses_relay(m->source) && page.current_revision < m->revision) {
		kv_page_clear(&page);
		handle_relay_failure(m, status);
		return;
	}
	record_response(m);
	/* pages are not a snapshot: the watch starts at the first page's
	 * revision and so covers changes between pages */
	if (!m->last_key)
		m->revision = page.current_revision;
	for (i = 0; i < page.item_count; i++)
		known_keys_put(m->keys, &page.items[i]);
	free(m->last_key);
	m->last_key = NULL;
	if (page.truncated && page.item_count)
		m->last_key = strdup(page.items[page.item_count - 1].key);
	kv_page_clear(&page);
	if (!m->last_key) {
		known_keys_end_range(m->keys, m->revision, removal_hold_ms(m));
		m->synced = true;
		m->may_have_missed_events = false;
		feed_record_gap(m->feed, m->revision);
		feed_advance(m->feed, m->revision,
			     !source_uses_relay(m->source) && !m->range_is_stale);
		m->events->synced(m->context);
		report_unfit_relay(m);
		if (schedule_stale_range(m))
			return;
	}
	/* the callback may have changed the relay, which sends a call */
	if (!source_is_busy(m->source))
		mirror_send_next_call(m);
}

/* Applies the events of a watch. @return the pause before the next watch. */
static uint32_t apply_events(struct mirror *m, const struct kv_page *page)
{
	size_t i;

	m->revision = MAX(m->revision, page->current_revision);
	for (i = 0; i < page->item_count; i++) {
		const struct kv_item *item = &page->items[i];

		if (item->removed)
			known_keys_remove(m->keys, item->key, item->revision,
					  removal_hold_ms(m));
		else
			known_keys_put(m->keys, item);
	}
	/* no pause after a watch that timed out without an event */
	if (!page->item_count)
		return 0;
	return source_uses_relay(m->source) ? RELAY_BATCH_MS : m->batch_ms;
}

/* Reads all keys again if the response of a watch shows a later era or that the
 * history it needs is gone; treats one of an earlier era as a failure.
 *
 * @return whether the response was handled. */
static bool handle_lost_history(struct mirror *m, uint16_t status)
{
	enum era_check era;

	if (status != KV_STATUS_OK && status != KV_STATUS_HISTORY_GONE)
		return false;
	era = check_era(m);
	if (era == ERA_OLDER) {
		if (!handle_relay_failure(m, status))
			handle_failure(m, "watch", status);
		return true;
	}
	if (era == ERA_SAME && status == KV_STATUS_OK)
		return false;
	record_response(m);
	if (era == ERA_SAME)
		log_info("store",
			 "history compacted, reading all keys again prefix=%s "
			 "revision=%" PRIu64,
			 m->prefix, m->revision);
	m->synced = false;
	mirror_send_next_call(m);
	return true;
}

static void on_watch(void *context, uint16_t status, const char *body,
		     size_t bytes)
{
	struct mirror *m = context;
	struct kv_page page;
	uint32_t batch_ms;

	m->watch_in_progress = false;
	if (handle_lost_history(m, status))
		return;
	if (status != KV_STATUS_OK || !kv_decode_events(body, bytes, &page)) {
		if (handle_relay_failure(m, status))
			return;
		/* a failed watch may have missed removals */
		m->may_have_missed_events = true;
		handle_failure(m, "watch", status);
		return;
	}
	record_response(m);
	batch_ms = apply_events(m, &page);
	kv_page_clear(&page);
	/* the relay has read the range again and passes on all changes */
	m->may_have_missed_events = false;
	feed_advance(m->feed, m->revision, !source_uses_relay(m->source));
	m->events->synced(m->context);
	report_unfit_relay(m);
	/* the callback may have changed the relay, which sends a call */
	if (!source_is_busy(m->source))
		timer_start(m->retry_timer, batch_ms);
}

static void send_watch(struct mirror *m)
{
	const bool use_relay = source_uses_relay(m->source);
	const uint32_t slack_ms =
		use_relay ? RELAY_WATCH_SLACK_MS : WATCH_SLACK_MS;
	struct kv_call call;
	uint32_t wait_ms = m->watch_wait_ms;

	if (source_has_relay(m->source))
		wait_ms = use_relay		 ? RELAY_WATCH_WAIT_MS
			  : m->relay_unavailable ? WATCH_WAIT_MIN_MS
						 : WATCH_WAIT_WITH_RELAY_MS;
	else if (!feed_is_current(m->feed))
		wait_ms = WATCH_WAIT_MIN_MS;
	wait_ms = MIN(wait_ms, m->watch_wait_ms);
	m->watch_in_progress = true;
	kv_call_watch(&call, m->prefix, m->revision, wait_ms);
	source_send(m->source, &call, wait_ms + slack_ms, on_watch, m);
}

void mirror_send_next_call(struct mirror *m)
{
	struct kv_call call;

	/* all pages of a range must come from the same server */
	if (!m->last_key && !source_select(m->source) && m->may_have_missed_events)
		m->synced = false;
	if (!source_uses_relay(m->source) && !feed_is_current(m->feed) &&
	    !m->in_outage)
		feed_begin_refresh(m->feed);
	if (m->synced) {
		send_watch(m);
		return;
	}
	if (!m->last_key) {
		known_keys_begin_range(m->keys);
		m->range_is_stale =
			!source_uses_relay(m->source) && m->stale_ranges > 0;
		m->stale_ranges -= m->range_is_stale;
	}
	kv_call_range(&call, m->prefix, m->last_key, m->range_is_stale);
	source_send(m->source, &call, RANGE_TIMEOUT_MS, on_range, m);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *context)
{
	struct mirror *m = context;

	(void)fd;
	(void)what;
	free(m->last_key);
	m->last_key = NULL;
	mirror_send_next_call(m);
}

struct mirror *mirror_new(struct event_base *base, const struct clock *clock,
			  const struct sockaddr_in *store, const char *prefix,
			  uint32_t batch_ms, const struct mirror_events *events,
			  void *context)
{
	struct mirror *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->base = base;
	m->clock = clock;
	m->events = events;
	m->context = context;
	m->prefix = strdup(prefix);
	m->batch_ms = batch_ms;
	m->watch_wait_ms = WATCH_WAIT_MAX_MS;
	m->relay_wait_until_ms = -1;
	m->era_began_ms = -1;
	m->rewrite_hold_ms = REREGISTRATION_MS;
	m->source = source_new(base, clock, store, m->prefix);
	m->feed = feed_new(prefix);
	m->keys = known_keys_new(base, clock, m->feed, events, context);
	m->retry_timer = evtimer_new(base, on_retry_timer, m);
	m->last_response_ms = -1;
	m->last_failure_ms = -1;
	m->outage_end_ms = -1;
	return m;
}

void mirror_free(struct mirror *m)
{
	if (!m)
		return;
	source_free(m->source);
	feed_free(m->feed);
	event_free(m->retry_timer);
	known_keys_free(m->keys);
	free(m->last_key);
	free(m->prefix);
	free(m);
}
