#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include <stdbool.h>
#include <stdint.h>

#include "net/responder.h"

/**
 * @file
 * The platform's key-value store in memory: items, leases, watches, history.
 */

struct platform_kv;

/** How the store fails. */
enum platform_kv_fault {
	PLATFORM_KV_SOUND,
	PLATFORM_KV_BUSY,   /**< answers 503, nothing is done */
	PLATFORM_KV_SILENT, /**< never answers, nothing is done */
	PLATFORM_KV_RESET,  /**< ends connections, nothing is done */
};

struct platform_kv *platform_kv_new(struct event_base *base);

/** Frees the store; its responder must be gone. */
void platform_kv_free(struct platform_kv *kv);

/** A responder_handler; `context` is the store. */
void platform_kv_handle(void *context, struct responder_request *request);

/** Writes or removes a key as the operator or a backend server does. */
void platform_kv_put(struct platform_kv *kv, const char *key, const char *value);
void platform_kv_remove(struct platform_kv *kv, const char *key);

/** @return whether `name` is a fault: sound, busy, silent or reset. */
bool platform_kv_set_fault(struct platform_kv *kv, const char *name);

/** Forgets the history: watches from before get 410. */
void platform_kv_compact(struct platform_kv *kv);

/** @return calls that came since the start. */
uint64_t platform_kv_calls(const struct platform_kv *kv);

#endif
