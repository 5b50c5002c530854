#ifndef KV_FEED_H
#define KV_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"
#include "kv/kv_defs.h"

/**
 * @file
 * A mirror's current keys and recent changes of one prefix, from which other
 * VMs can read as from the store: all keys, or the changes since a revision.
 * Runs on the loop's thread.
 */

struct feed;

enum feed_result {
	FEED_STALE,	   /**< may be outdated: the store must be queried */
	FEED_HISTORY_GONE, /**< changes since that revision are no longer kept */
	FEED_NO_CHANGES,   /**< nothing has changed since that revision */
	FEED_CHANGES,	   /**< the page holds the result */
};

struct feed *feed_new(const char *prefix);
void feed_free(struct feed *feed);
const char *feed_prefix(const struct feed *feed);

/** Applies a key; does nothing if its revision is not newer. */
void feed_put(struct feed *feed, const struct kv_item *item);
/** Applies a removal; does nothing if the key is absent or newer. */
void feed_remove(struct feed *feed, const char *key, uint64_t revision);
/** Records the removal of a key that came and went between two reads: a VM that
 * has read it from elsewhere must learn of it. */
void feed_record_removal(struct feed *feed, const char *key, uint64_t revision);

/**
 * Records that all keys were read as of `revision`, and that what happened
 * since the last feed_advance() is not known: keys may have come and gone. A VM
 * that read from elsewhere meanwhile must read all keys again.
 */
void feed_record_gap(struct feed *feed, uint64_t revision);

/**
 * Records that all changes up to `revision` are applied.
 *
 * @param from_store whether they were read from the store itself. Only then is
 * the feed current; otherwise two VMs that read from each other could keep each
 * other's outdated state current.
 */
void feed_advance(struct feed *feed, uint64_t revision, bool from_store);

/**
 * Forgets all keys: the store has come back from a copy, and revisions of
 * different eras cannot be compared. The feed is being refreshed afterwards.
 */
void feed_begin_era(struct feed *feed, uint64_t era);

/** @return the store's era; 0: unknown. */
uint64_t feed_era(const struct feed *feed);

/** Marks the feed as stale: newer changes of the store may not arrive. */
void feed_interrupt(struct feed *feed);

/** Marks the feed as stale, while a read from the store is in progress that
 * will make it current again. */
void feed_begin_refresh(struct feed *feed);

/** @return whether the feed is stale and will soon be current or interrupted. */
bool feed_is_refreshing(const struct feed *feed);

/** @return whether other VMs may read from the feed now. */
bool feed_is_current(const struct feed *feed);

/** Sets the callback for feed_advance() and feed_interrupt(); NULL: none. */
void feed_set_listener(struct feed *feed, void (*changed)(void *context),
		       void *context);

/**
 * Collects the changes after `revision`.
 *
 * @param page receives the changes. The caller frees the array with free();
 * the strings belong to the feed and are valid until it changes.
 */
MUST_USE enum feed_result feed_since(const struct feed *feed, uint64_t revision,
				     struct kv_page *page);

/** Collects all keys, see feed_since(). @return FEED_CHANGES or FEED_STALE. */
MUST_USE enum feed_result feed_all(const struct feed *feed, struct kv_page *page);

#endif
