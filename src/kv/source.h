#ifndef KV_SOURCE_H
#define KV_SOURCE_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/clock.h"
#include "kv/kv_client.h"

/**
 * @file
 * The server that a mirror reads from: the relay of this failure domain while
 * it responds, otherwise the store. Runs on the loop's thread.
 */

struct source;

/** @param prefix for log lines; not copied. */
struct source *source_new(struct event_base *base, const struct clock *clock,
			  const struct sockaddr_in *store, const char *prefix);
void source_free(struct source *source);

/**
 * Sets the relay; a call to the previous one is cancelled without `done`.
 *
 * @param relay copied; NULL: always read from the store.
 * @return whether the relay changed.
 */
bool source_set_relay(struct source *source, const struct sockaddr_in *relay);

/** @return whether a relay is set, even if it does not respond. */
bool source_has_relay(const struct source *source);

/** Selects the server of the next call. @return whether it is the relay. */
bool source_select(struct source *source);

/** @return whether the relay is selected. */
bool source_uses_relay(const struct source *source);

/** Sends a call to the selected server, see kv_channel_send(). */
void source_send(struct source *source, struct kv_call *call,
		 uint32_t timeout_ms, kv_done_cb done, void *context);

/** Selects the store for some seconds, after a failed call to the relay. */
void source_suspend_relay(struct source *source, uint16_t status);

/** Allows the relay to be selected again at once. */
void source_retry_relay(struct source *source);

/** @return the store's era according to the last response of the selected
 * server, see kv_channel_era(). */
uint64_t source_era(const struct source *source);

/** @return whether a call is in progress. */
bool source_is_busy(const struct source *source);

/** Cancels the call in progress, without `done`. */
void source_cancel(struct source *source);

#endif
