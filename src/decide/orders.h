#ifndef DECIDE_ORDERS_H
#define DECIDE_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict_defs.h"

/**
 * @file
 * Table of the orders (non-idempotent requests) whose home is this entry VM.
 *
 * The first request with a key runs; duplicates join that run or get its
 * recorded outcome. No I/O; the caller does the locking.
 */

/** Maximum size of a key in bytes, including the terminating null byte. */
#define ORDER_KEY_BYTES_MAX 256

/** What to do with a request that carries a key. */
enum order_action {
	ORDER_START,	  /**< first with its key, or not run yet: run it */
	ORDER_JOIN,	  /**< a run is in progress: wait for its outcome */
	ORDER_REPLAY,	  /**< the outcome is recorded: replay it */
	ORDER_KEY_REUSED, /**< the key belongs to another request: reject */
	ORDER_TABLE_FULL, /**< too many orders, or out of memory: reject */
};

/** A response recorded for duplicates. */
struct order_response {
	enum verdict verdict;
	uint32_t status;    /**< HTTP status; 0: no response */
	char *content_type; /**< may be NULL */
	char *body;	    /**< NULL: none, or too large to store */
	uint32_t body_bytes;
};

/** State of this process's claim to a key in the store, as far as known. */
enum order_claim {
	ORDER_CLAIM_NONE,
	ORDER_CLAIM_UNKNOWN, /**< written, but the store did not respond */
	ORDER_CLAIM_HELD,
};

struct order {
	char key[ORDER_KEY_BYTES_MAX];
	uint64_t digest; /**< of method, path and body */
	enum order_claim claim;
	bool not_run; /**< proven not run: a duplicate may start it */
	bool finished;
	struct order_response response;
	int64_t expires_ms;
};

struct orders;

/**
 * @param count_max maximum number of orders in the table.
 * @param response_bytes_max maximum total size of recorded bodies, in bytes.
 * @return a table that the caller frees with orders_free(), or NULL if out of
 * memory.
 */
struct orders *orders_new(uint32_t count_max, uint64_t response_bytes_max);
void orders_free(struct orders *orders);

/**
 * Adds a key to the table or looks up the state of its order. An expired entry
 * is replaced.
 *
 * @param digest digest of the request, see order_digest().
 * @param order receives the entry, owned by the table, for ORDER_START,
 * ORDER_JOIN and ORDER_REPLAY.
 * @return what to do with the request.
 */
enum order_action orders_begin(struct orders *orders, const char *key,
			       uint64_t digest, int64_t now_ms,
			       struct order **order);

/**
 * Records the outcome of an order. After VERDICT_NOT_RUN, which is proven, a
 * duplicate may start the order; the key stays in the table together with the
 * state of its claim.
 *
 * @param response its body is copied if it fits within the size limits, and its
 * content type is always copied.
 * @param retention_ms how long the key is kept after its outcome.
 */
void orders_finish(struct orders *orders, const char *key,
		   const struct order_response *response, int64_t retention_ms,
		   int64_t now_ms);

/** Sets the state of the claim to a key; does nothing for an unknown key. */
void orders_set_claim(struct orders *orders, const char *key,
		      enum order_claim claim);

/** Removes a key and its recorded outcome, if any. */
void orders_forget(struct orders *orders, const char *key);

/** @return the entry of a key, or NULL. */
const struct order *orders_find(const struct orders *orders, const char *key);

/**
 * Removes expired orders. An order in progress never expires.
 *
 * @return the number of removed orders.
 */
uint32_t orders_expire(struct orders *orders, int64_t now_ms);

uint32_t orders_count(const struct orders *orders);

/** Parts of a key that a look-up issued. */
struct order_key {
	char home[65];	      /**< name of the entry VM */
	uint64_t incarnation; /**< of that VM's process */
	bool claimed;	      /**< a claim in the store precedes each run */
	int64_t issued_unix_s;
};

/** Writes "home~incarnation~mode~time~"; callers append a unique suffix. */
void order_key_prefix(const struct order_key *parts, char *text,
		      size_t text_bytes);

/** @return whether the key has all parts and they are well-formed. */
bool order_key_parse(const char *key, struct order_key *parts);

/** @return a digest that reveals reuse of a key for another request. */
uint64_t order_digest(const char *method, const char *path, const char *body,
		      size_t body_bytes);

#endif
