#ifndef KV_KNOWN_KEYS_H
#define KV_KNOWN_KEYS_H

#include <event2/event.h>

#include "base/clock.h"
#include "kv/feed.h"
#include "kv/mirror.h"

/**
 * @file
 * The keys that a mirror has read from the store, with the revision of their
 * last change. Reports changes through the mirror's events. Runs on the loop's
 * thread.
 */

struct known_keys;

/** @param feed receives every change; must outlive the keys. */
struct known_keys *known_keys_new(struct event_base *base,
				  const struct clock *clock, struct feed *feed,
				  const struct mirror_events *events,
				  void *context);
void known_keys_free(struct known_keys *keys);

/** Applies a key that was read; older revisions are ignored. */
void known_keys_put(struct known_keys *keys, const struct kv_item *item);

/**
 * Applies a removal; one older than the key is ignored, and one of a key that
 * is not known is only passed on.
 *
 * @param hold_ms if not 0, the key may have expired during an outage of the
 * store or be lost with its last changes. It is then reported as missing, and
 * removed after this time unless it is written again.
 */
void known_keys_remove(struct known_keys *keys, const char *key,
		       uint64_t revision, uint32_t hold_ms);

/** Begins a range; keys that are not put until its end are removed then. */
void known_keys_begin_range(struct known_keys *keys);
void known_keys_end_range(struct known_keys *keys, uint64_t revision,
			  uint32_t hold_ms);

/** Forgets the revisions of all keys, which belong to an earlier era of the
 * store, but not the keys. A range must follow. */
void known_keys_begin_era(struct known_keys *keys);

#endif
