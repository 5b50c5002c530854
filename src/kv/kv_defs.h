#ifndef KV_KV_DEFS_H
#define KV_KV_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/**
 * @file
 * Data types and status codes of the platform's key-value store.
 */

/** One key-value pair as read, or one change of it. */
struct kv_item {
	char *key;
	char *value; /**< has a NUL appended; NULL when removed */
	size_t value_bytes;
	uint64_t revision; /**< store revision of the last change */
	bool removed;
};

/** One page of a range response, or the events of a watch response. */
struct kv_page {
	struct kv_item *items;
	size_t item_count;
	bool truncated;		   /**< more keys follow the last item */
	uint64_t current_revision; /**< of the store, at the time of the response */
};

/** HTTP status codes of the store that callers handle separately. */
enum kv_status {
	KV_STATUS_NONE = 0, /**< no response: the call may have been executed */
	KV_STATUS_OK = 200,
	KV_STATUS_NOT_FOUND = 404,
	KV_STATUS_HISTORY_GONE = 410,
	KV_STATUS_CONFLICT = 412,
	KV_STATUS_RATE_LIMITED = 429,
	KV_STATUS_UNAVAILABLE = 503,
};

/** @return the part of the key after the prefix; NULL if it has another one. */
static inline const char *kv_strip_prefix(const char *key, const char *prefix)
{
	const size_t bytes = strlen(prefix);

	return strncmp(key, prefix, bytes) ? NULL : key + bytes;
}

#endif
