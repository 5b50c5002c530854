#ifndef KV_MIRROR_H
#define KV_MIRROR_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/clock.h"
#include "kv/feed.h"
#include "kv/kv_defs.h"

/**
 * @file
 * A local copy of all keys under one prefix of the store: reads a range, then
 * watches from its revision. Recovers from compacted history, interrupted
 * watches, store outages and suspension of this process. Runs on the loop's
 * thread.
 */

struct mirror;

struct mirror_events {
	/** A key was added or changed. */
	void (*put)(void *context, const struct kv_item *item);
	void (*removed)(void *context, const char *key);
	/** A key disappeared around an outage of the store. Either `put`
	 * follows within two seconds, if its writer is still running, or
	 * `removed`. May be NULL. */
	void (*missing)(void *context, const char *key);
	/** The store has come back from a copy, without its last changes and
	 * leases. May be NULL. */
	void (*new_era)(void *context, uint64_t era);
	/** The relay responds that it cannot read from the store, which
	 * responds to this VM. May be NULL. */
	void (*relay_unfit)(void *context);
	/** All keys and events of a range or watch are applied. */
	void (*synced)(void *context);
};

/**
 * Creates a mirror; it reads nothing before mirror_start().
 *
 * @param prefix copied.
 * @param batch_ms pause between an event and the next watch: changes in the
 * meantime arrive in one response.
 * @param events not copied.
 * @return a mirror that the caller frees, or NULL.
 */
struct mirror *mirror_new(struct event_base *base, const struct clock *clock,
			  const struct sockaddr_in *store, const char *prefix,
			  uint32_t batch_ms, const struct mirror_events *events,
			  void *context);

void mirror_free(struct mirror *mirror);

/**
 * Starts reading; does nothing if already started.
 *
 * @param relay_wait_ms how long to wait for a relay that is still starting,
 * instead of reading everything from the store. The wait begins when the relay
 * is set.
 */
void mirror_start(struct mirror *mirror, uint32_t relay_wait_ms);

/**
 * Sets how long the store keeps its history; before mirror_start(). A watch
 * that waited longer without a change could not be continued.
 */
void mirror_set_history(struct mirror *mirror, uint32_t history_ms);

/**
 * Sets the time after which a watch whose response was lost is given up, at
 * least twice the time allowed for a response; before mirror_start(). Until
 * then, changes are unknown to this VM and to those that read from it.
 */
void mirror_set_lost_watch_timeout(struct mirror *mirror, uint32_t timeout_ms);

/**
 * Lets the first `count` ranges at the store return data that is some seconds
 * old, which the store serves at a tenth of the price; before mirror_start(). A
 * watch from their revision follows. For keys that only have to be roughly
 * known at the start, such as the VMs among which a relay is chosen.
 *
 * @param pause_ms before the second of two such ranges: time in which VMs that
 * start together register.
 */
void mirror_allow_stale_start(struct mirror *mirror, uint32_t count,
			      uint32_t pause_ms);

/**
 * Sets how long keys are kept that are missing after the store has come back
 * from a copy; their writers write them again. Two seconds if not set.
 */
void mirror_set_rewrite_hold(struct mirror *mirror, uint32_t hold_ms);

/** Cancels the call in progress and reads the complete range again. */
void mirror_resync(struct mirror *mirror);

/**
 * Reports that other calls to the store fail. A mirror that reads from the
 * store cancels its call and continues at the relay if one is set, otherwise it
 * reads the complete range again. While the relay is unavailable too, it calls
 * the store less often.
 */
void mirror_on_store_unreachable(struct mirror *mirror);
/** Reports that other calls to the store succeed again. */
void mirror_on_store_reachable(struct mirror *mirror);

/**
 * Sets the relay, a VM that reads from the store for this one; NULL: none.
 * While it does not respond, the mirror reads from the store itself.
 */
void mirror_set_relay(struct mirror *mirror, const struct sockaddr_in *relay);

/** @return the feed for other VMs; freed with the mirror. */
struct feed *mirror_feed(struct mirror *mirror);

/** @return time since the last response of store or relay, in ms; -1: none. */
int64_t mirror_age_ms(const struct mirror *mirror);

/** @return the store's era as last read; 0: unknown. */
uint64_t mirror_era(const struct mirror *mirror);

/** @return whether the complete range was read and need not be read again. */
bool mirror_is_synced(const struct mirror *mirror);

#endif
