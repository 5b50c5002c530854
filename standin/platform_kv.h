#ifndef STANDIN_PLATFORM_KV_H
#define STANDIN_PLATFORM_KV_H

#include <stdbool.h>
#include <stdint.h>

#include "net/responder.h"

/**
 * @file
 * In-memory stand-in of the platform's key-value store with leases, watches and
 * a bounded history of changes. All functions run on the event loop's thread.
 */

struct platform_kv;

enum platform_kv_fault {
	PLATFORM_KV_NO_FAULT,
	PLATFORM_KV_BUSY, /**< responds 503 without handling the request */
	/** Never responds and does not handle requests. Watches go on waiting;
	 * a response that one would get meanwhile is lost. */
	PLATFORM_KV_SILENT,
	PLATFORM_KV_RESET, /**< resets connections without handling requests */
};

struct platform_kv *platform_kv_new(struct event_base *base);

/** Frees the store; its responder must have been freed before. */
void platform_kv_free(struct platform_kv *kv);

/** A responder_handler; `context` is the store. */
void platform_kv_handle(void *context, struct responder_request *request);

/** Writes or removes a key on behalf of the operator or a backend server. */
void platform_kv_put(struct platform_kv *kv, const char *key, const char *value);
void platform_kv_remove(struct platform_kv *kv, const char *key);

/**
 * @param name sound (no fault), busy, silent or reset.
 * @return false if the name is unknown.
 */
bool platform_kv_set_fault(struct platform_kv *kv, const char *name);

/** Resets the connections of all waiting watches. */
void platform_kv_cut_watches(struct platform_kv *kv);

/** Discards the history; watches from an earlier revision get status 410. */
void platform_kv_compact(struct platform_kv *kv);

/** Takes a copy of the keys, leases and revision, for platform_kv_go_back(). */
void platform_kv_take_copy(struct platform_kv *kv);
void platform_kv_discard_copy(struct platform_kv *kv);

/**
 * Goes back to the copy and begins a new era: what was written since is lost,
 * leases too, and revisions are given out again. Entries that the operator and
 * the backend servers wrote must be written again by the test.
 *
 * @return false if no copy was taken.
 */
bool platform_kv_go_back(struct platform_kv *kv);

/** @return requests received since the start. */
uint64_t platform_kv_call_count(const struct platform_kv *kv);

/** @return of these, ranges that may return old data and lease renewals, which
 * the platform prices at a tenth. */
uint64_t platform_kv_cheap_call_count(const struct platform_kv *kv);

#endif
