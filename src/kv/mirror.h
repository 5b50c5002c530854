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
 * A local copy of all keys under one prefix of the store: a range, then
 * watches from its revision. Survives lost history, cut watches, outages and
 * pauses of this process. Runs on the loop's thread.
 */

struct mirror;

struct mirror_events {
	/** A key is new or changed. */
	void (*put)(void *context, const struct kv_item *item);
	void (*removed)(void *context, const char *key);
	/** A key vanished around an outage of the store: it comes back within
	 * two seconds if its writer lives, or else is removed. May be NULL. */
	void (*missing)(void *context, const char *key);
	/** Every key that the store held is applied. */
	void (*synced)(void *context);
};

/**
 * Makes a mirror that reads nothing before mirror_start().
 *
 * @param prefix copied.
 * @param gather_ms pause between an event and the next watch: what changes
 * meanwhile comes with one call.
 * @return a mirror that the caller frees, or NULL.
 */
struct mirror *mirror_new(struct event_base *base, const struct clock *clock,
			  const struct sockaddr_in *store, const char *prefix,
			  uint32_t gather_ms,
			  const struct mirror_events *events, void *context);

void mirror_free(struct mirror *mirror);

/**
 * Begins to read; does nothing when it has begun.
 *
 * @param patient whether it may wait a second for a relay that starts too,
 * instead of reading everything from the store.
 */
void mirror_start(struct mirror *mirror, bool patient);

/** Drops the call in progress and reads everything anew. */
void mirror_resync(struct mirror *mirror);

/** Other calls to the store fail: what is read from the store is read anew, and
 * while the relay has no answer either, the store is asked less often. */
void mirror_store_lost(struct mirror *mirror);
/** Other calls to the store work again. */
void mirror_store_found(struct mirror *mirror);

/**
 * Names the VM that reads from the store for this one; NULL: none. While it
 * does not answer, the mirror reads from the store itself.
 */
void mirror_set_relay(struct mirror *mirror, const struct sockaddr_in *relay);

/** @return what the mirror knows, for other VMs; it lives as long as the
 * mirror. */
struct feed *mirror_feed(struct mirror *mirror);

/** @return time since the store last answered, in ms; -1: never. */
int64_t mirror_age_ms(const struct mirror *mirror);

/** @return whether a whole range was read since mirror_resync(). */
bool mirror_synced(const struct mirror *mirror);

#endif
