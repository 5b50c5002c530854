#ifndef KV_KV_CLIENT_H
#define KV_KV_CLIENT_H

#include <event2/event.h>
#include <netinet/in.h>

#include "kv/kv_defs.h"
#include "platform/kv_codec.h"

/**
 * @file
 * The client of the platform's key-value store: one connection a line of work,
 * one call at a time on it. Runs on the loop's thread.
 */

struct kv_line;

/** Who answers the calls of a line. */
enum kv_server {
	KV_SERVER_STORE,
	KV_SERVER_RELAY, /**< another VM, which answers reads */
};

/**
 * What came of a call.
 *
 * @param status KV_STATUS_NONE when no answer came: the call may have been
 * executed, or may be executed later.
 */
typedef void (*kv_done)(void *context, uint16_t status, const char *body,
			size_t bytes);

/** @return a line to the server that the caller frees, or NULL. */
struct kv_line *kv_line_new(struct event_base *base,
			    const struct sockaddr_in *address,
			    enum kv_server server);

/** Frees the line; a call in progress is dropped without `done`. */
void kv_line_free(struct kv_line *line);

/**
 * Sends one call; a line holds one call at a time. Takes over `call`.
 *
 * @param timeout_ms longest wait for the whole answer.
 */
void kv_line_send(struct kv_line *line, struct kv_call *call,
		  uint32_t timeout_ms, kv_done done, void *context);

/** Drops the call in progress, without `done`, and its connection. */
void kv_line_drop(struct kv_line *line);

/** @return whether a call is in progress. */
bool kv_line_busy(const struct kv_line *line);

#endif
