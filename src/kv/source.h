#ifndef KV_SOURCE_H
#define KV_SOURCE_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/clock.h"
#include "kv/kv_client.h"

/**
 * @file
 * Where a mirror reads from: the relay of this failure domain while it
 * answers, the store otherwise. Runs on the loop's thread.
 */

struct source;

struct source *source_new(struct event_base *base, const struct clock *clock,
			  const struct sockaddr_in *store, const char *prefix);
void source_free(struct source *source);

/**
 * @param relay copied; NULL: read from the store.
 * @return whether that is another relay than before.
 */
bool source_set_relay(struct source *source, const struct sockaddr_in *relay);

/** @return whether a relay is named, whether or not it answers. */
bool source_has_relay(const struct source *source);

/** Chooses where the next call goes. @return whether it is the relay. */
bool source_choose(struct source *source);

/** @return whether the last choice was the relay. */
bool source_is_relay(const struct source *source);

/** Sends a call to where source_choose() chose, see kv_line_send(). */
void source_send(struct source *source, struct kv_call *call,
		 uint32_t timeout_ms, kv_done done, void *context);

/** The relay did not answer as it should: the store is asked for a while. */
void source_relay_failed(struct source *source, uint16_t status);

/** Lets the relay be chosen again at once. */
void source_retry_relay(struct source *source);

/** Drops the call in progress, without `done`. */
void source_drop(struct source *source);

#endif
