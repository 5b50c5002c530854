#ifndef KV_MIRROR_INTERNAL_H
#define KV_MIRROR_INTERNAL_H

#include "kv/known_keys.h"
#include "kv/mirror.h"
#include "kv/source.h"

/** @file Declarations shared by the source files of a mirror. */

/* Longest wait of one watch. Shorter waits cost more calls; a longer one delays
 * the detection of a connection that is silently dead. */
#define WATCH_WAIT_MAX_MS 20000
/* Time allowed for the response of a watch beyond its wait. The store responds
 * within 400 ms if it is a hundred times slower than usual. */
#define WATCH_SLACK_MS 1000

struct mirror {
	struct event_base *base;
	const struct clock *clock;
	const struct mirror_events *events;
	void *context;
	char *prefix;
	uint32_t batch_ms;
	uint32_t watch_wait_ms;
	uint32_t stale_ranges; /* left to read, see mirror_allow_stale_start() */
	uint32_t stale_pause_ms;
	bool range_is_stale; /* the range in progress may return old data */
	struct source *source;
	struct feed *feed;
	struct event *retry_timer;
	struct known_keys *keys;
	uint64_t era;	      /* of the store; 0: unknown */
	int64_t era_began_ms; /* of a later era than the first; -1: none */
	uint32_t rewrite_hold_ms;
	uint64_t revision; /* watches continue from it */
	char *last_key;	   /* of the previous page; NULL: first page */
	bool started;
	bool synced;
	bool in_outage;		     /* the store does not respond */
	bool store_unreachable;	     /* other calls to the store fail */
	bool relay_unavailable;	     /* it cannot read from the store */
	bool may_have_missed_events; /* a range at the store must follow */
	bool watch_in_progress;
	uint32_t retry_ms;
	int64_t last_response_ms;    /* -1: never */
	int64_t outage_end_ms;	     /* of the last outage; -1: none */
	uint32_t relay_wait_ms;	     /* see mirror_start() */
	int64_t relay_wait_until_ms; /* -1: not begun */
	int64_t last_failure_ms; /* at the store; -1: none since a response */
};

/** Sends the next range or watch; none may be in progress. */
void mirror_send_next_call(struct mirror *mirror);

static inline int64_t mirror_now_ms(const struct mirror *mirror)
{
	return clock_now_ms(mirror->clock);
}

#endif
