#ifndef KV_FEED_H
#define KV_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/attributes.h"
#include "kv/kv_defs.h"

/**
 * @file
 * What a mirror knows of one prefix, kept so that other VMs can ask for it as
 * they would ask the store: everything, or what changed since a revision. Runs
 * on the loop's thread.
 */

struct feed;

enum feed_result {
	FEED_STALE,   /**< not known to be current: ask the store */
	FEED_GONE,    /**< the history since that revision is not kept */
	FEED_NOTHING, /**< no change yet */
	FEED_CHANGES,
};

struct feed *feed_new(const char *prefix);
void feed_free(struct feed *feed);
const char *feed_prefix(const struct feed *feed);

/** Takes up a key as the store has it. */
void feed_put(struct feed *feed, const struct kv_item *item);
void feed_remove(struct feed *feed, const char *key, uint64_t revision);

/**
 * Everything up to `revision` was taken up.
 *
 * @param from_store whether it came from the store itself: only then may other
 * VMs rely on it, or two of them could confirm each other's old state.
 */
void feed_advance(struct feed *feed, uint64_t revision, bool from_store);

/** The store may have newer changes that do not arrive here. */
void feed_interrupt(struct feed *feed);

/** @return whether other VMs may rely on it now. */
bool feed_is_current(const struct feed *feed);

/** Sets what is called after feed_advance() and feed_interrupt(). */
void feed_listen(struct feed *feed, void (*changed)(void *context),
		 void *context);

/**
 * Collects what changed after `revision`.
 *
 * @param page its items belong to the feed, but not their array, which the
 * caller frees with free(); valid until the feed changes.
 */
MUST_USE enum feed_result feed_since(const struct feed *feed, uint64_t revision,
				     struct kv_page *page);

/** Collects all keys; like feed_since(), but never FEED_GONE. */
MUST_USE enum feed_result feed_all(const struct feed *feed, struct kv_page *page);

#endif
