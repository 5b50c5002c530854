#ifndef STORE_STORE_DEFS_H
#define STORE_STORE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Interface of the platform's key-value store, as callbacks, so that adapters
 * are interchangeable.
 */

/** Result of a call to the store. */
enum store_result {
	STORE_OK,
	STORE_CONFLICT,	   /**< a comparison failed; nothing was written */
	STORE_UNREACHABLE, /**< nothing was sent or written */
	STORE_UNKNOWN,	   /**< sent, no response; may have been written */
};

/** A value and its revisions. */
struct store_value {
	char *bytes; /**< NUL-terminated; NULL: the key is absent */
	uint32_t byte_count;
	uint64_t mod_revision; /**< of the key's last write; 0: the key is absent */
	uint64_t store_revision;
};

/** One write of a transaction. */
struct store_put {
	const char *key;
	const char *value; /**< NULL: delete the key */
	uint64_t lease;	   /**< id; 0: none */
	/** the key's mod_revision must equal this; 0: it must be absent */
	uint64_t expected_revision;
	bool compare; /**< whether to check `expected_revision` */
};

/** Called on each change of the watched key. @return false to end the watch. */
typedef bool (*store_watch_fn)(void *context);

struct store {
	/**
	 * Reads a key. The caller frees `value->bytes`.
	 */
	enum store_result (*get)(void *context, const char *key,
				 struct store_value *value);
	/**
	 * Writes all puts, or none when a comparison fails.
	 */
	enum store_result (*commit)(void *context, const struct store_put *puts,
				    uint32_t put_count);
	/**
	 * Creates a lease of `ttl_s` seconds.
	 */
	enum store_result (*lease)(void *context, uint32_t ttl_s,
				   uint64_t *lease);
	/**
	 * Blocks and reports changes of a key. Returns when the watch ends or
	 * after `wait_ms` without a change.
	 */
	enum store_result (*watch)(void *context, const char *key,
				   uint32_t wait_ms, store_watch_fn changed,
				   void *watch_context);
	/**
	 * Calls `each` with every key that starts with a prefix and its value,
	 * both as plain strings, in key order.
	 */
	enum store_result (*list)(void *context, const char *prefix,
				  void (*each)(void *each_context, const char *key,
					       const char *value),
				  void *each_context);
	void *context;
};

/** Keys and key prefixes in the store. */
#define STORE_KEY_DOCUMENT "auburnreach/document"
#define STORE_KEY_HEAD "auburnreach/head"
#define STORE_PREFIX_HISTORY "auburnreach/history/"
#define STORE_PREFIX_CLAIMS "auburnreach/claims/"
#define STORE_PREFIX_VMS "auburnreach/vms/"

#endif
