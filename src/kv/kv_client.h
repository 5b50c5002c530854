#ifndef KV_KV_CLIENT_H
#define KV_KV_CLIENT_H

#include <event2/event.h>
#include <netinet/in.h>

#include "kv/kv_defs.h"
#include "platform/kv_codec.h"

/**
 * @file
 * The client of the platform's key-value store. Each channel has one connection
 * and one call at a time. Runs on the loop's thread.
 */

struct kv_channel;

/** The kind of server at the other end of a channel. */
enum kv_server {
	KV_SERVER_STORE,
	KV_SERVER_RELAY, /**< another VM, which serves reads */
	KV_SERVER_QUOTA, /**< another VM, which coordinates quotas */
};

/**
 * Receives the result of a call.
 *
 * @param status KV_STATUS_NONE if there was no complete response: the call may
 * have been executed, or may be executed later.
 * @param body valid during the callback.
 */
typedef void (*kv_done_cb)(void *context, uint16_t status, const char *body,
			   size_t bytes);

/** @return a channel to the server that the caller frees, or NULL. */
struct kv_channel *kv_channel_new(struct event_base *base,
				  const struct sockaddr_in *address,
				  enum kv_server server);

/** Frees the channel; a call in progress is cancelled without `done`. */
void kv_channel_free(struct kv_channel *channel);

/**
 * Sends a call; none may be in progress. Takes ownership of `call`.
 *
 * @param timeout_ms longest wait for the response to begin; then it may take
 * some seconds, as long as bytes arrive.
 */
void kv_channel_send(struct kv_channel *channel, struct kv_call *call,
		     uint32_t timeout_ms, kv_done_cb done, void *context);

/** Cancels the call in progress, without `done`, and disconnects. */
void kv_channel_cancel(struct kv_channel *channel);

/**
 * @return the store's era according to the last response; 0: not given. It
 * rises each time the store comes back from a copy: revisions of different eras
 * cannot be compared.
 */
uint64_t kv_channel_era(const struct kv_channel *channel);

/** @return whether a call is in progress. */
bool kv_channel_is_busy(const struct kv_channel *channel);

#endif
