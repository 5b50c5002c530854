#ifndef BENCH_CALLER_H
#define BENCH_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/verdict_defs.h"

/**
 * @file
 * A client as users of auburnreach implement it: looks up entry VMs, caches the
 * response for its TTL, and retries an order with the same idempotency key.
 */

#define CALLER_ATTEMPTS_MAX 8
#define CALLER_KEY_BYTES 240

/** One connection pool per address, shared by all callers. Thread-safe. */
struct caller_pools;

/** @return pools that the caller frees with caller_pools_free(). */
struct caller_pools *caller_pools_new(void);
void caller_pools_free(struct caller_pools *pools);

struct caller_options {
	char **lookup_addresses; /**< entry VMs to send look-ups to */
	uint32_t lookup_address_count;
	const char *service;
	const char *path_prefix;
	uint32_t timeout_ms; /**< of one attempt */
	uint32_t attempts_max;
	uint32_t retry_delay_ms; /**< between attempts */
};

/** One caller; used by one thread at a time. */
struct caller {
	const struct caller_options *options;
	struct caller_pools *pools;
	char tag[40]; /**< sent with each request; responses echo it */
	char client_address[40]; /**< client address sent in look-ups */
	char from_region[65];	 /**< region of the caller */
	uint32_t next_lookup;
	uint64_t key_counter; /**< makes idempotency keys unique */
	/* the cached look-up response */
	char entry_addresses[3][65];
	uint32_t entry_address_count;
	char key_prefix[160];
	char entry_region[65];
	int64_t entries_valid_until_ms;
};

struct caller_attempt {
	char address[65];
	char request_id[96];
	enum verdict verdict;
	uint32_t status; /**< HTTP status; 0: no response */
};

/** Result of one operation, with all its attempts. */
struct caller_outcome {
	char key[CALLER_KEY_BYTES]; /**< of an order, else empty */
	struct caller_attempt attempts[CALLER_ATTEMPTS_MAX];
	uint32_t attempt_count;
	bool succeeded;
	bool response_mismatched; /**< status 200 without this tag and key */
	bool entries_unavailable; /**< a look-up found no entry VM */
};

/**
 * Looks up entry VMs, trying each look-up address once.
 *
 * @return false if none of them returned an entry VM.
 */
bool caller_fetch_entries(struct caller *caller);

/** Sends an idempotent request; retries until it has run, within the limit. */
void caller_run_get(struct caller *caller, struct caller_outcome *outcome);

/**
 * Places an order and retries it with the same key until a response states that
 * it ran, within options->attempts_max.
 *
 * @param fault fault that the stand-in server is to inject, or NULL.
 */
void caller_place_order(struct caller *caller, const char *fault,
			struct caller_outcome *outcome);

#endif
