#ifndef KV_KNOWN_KEYS_H
#define KV_KNOWN_KEYS_H

#include <event2/event.h>

#include "base/clock.h"
#include "kv/feed.h"
#include "kv/mirror.h"

/**
 * @file
 * The keys that a mirror believes the store to hold, and since which revision.
 * Reports what changes. Runs on the loop's thread.
 */

struct known_keys;

/** @param feed told of every change; it must outlive the keys. */
struct known_keys *known_keys_new(struct event_base *base,
				  const struct clock *clock, struct feed *feed,
				  const struct mirror_events *events,
				  void *context);
void known_keys_free(struct known_keys *keys);

/** Takes up a key as the store has it; older revisions are left out. */
void known_keys_put(struct known_keys *keys, const struct kv_item *item);

/**
 * Takes up a removal.
 *
 * @param may_return whether the key may have lapsed while the store was away:
 * then it is missing for a while before it is removed.
 */
void known_keys_remove(struct known_keys *keys, const char *key,
		       uint64_t revision, bool may_return);

/** A range begins: what it does not hold is removed at its end. */
void known_keys_begin_range(struct known_keys *keys);
void known_keys_end_range(struct known_keys *keys, uint64_t revision,
			  bool may_return);

#endif
