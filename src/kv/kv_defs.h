#ifndef KV_KV_DEFS_H
#define KV_KV_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * What the platform's key-value store holds and answers.
 */

/** One key, as it was read or as it changed. */
struct kv_item {
	char *key;
	char *value; /**< NUL-terminated for convenience; NULL when removed */
	size_t value_bytes;
	uint64_t revision; /**< of the last change */
	bool removed;
};

/** A page of a range, or the events of a watch. */
struct kv_page {
	struct kv_item *items;
	size_t item_count;
	bool truncated;		   /**< more items follow the last key */
	uint64_t current_revision; /**< the store's, when it answered */
};

/** Status codes of the store that mean something besides success. */
enum kv_status {
	KV_STATUS_NONE = 0, /**< no answer: the call may have been executed */
	KV_STATUS_OK = 200,
	KV_STATUS_NOT_FOUND = 404,
	KV_STATUS_HISTORY_GONE = 410,
	KV_STATUS_CONFLICT = 412,
	KV_STATUS_RATE_LIMITED = 429,
	KV_STATUS_UNAVAILABLE = 503,
};

#endif
