#ifndef DECIDE_ORDERS_H
#define DECIDE_ORDERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict_defs.h"

/**
 * @file
 * What an entry VM remembers of the non-idempotent requests it is home to.
 *
 * A key is taken by its first request; repeats join that run or get its
 * recorded outcome. Pure: the caller locks.
 */

/** Bytes of a key, with the zero byte. */
#define ORDER_KEY_BYTES_MAX 256

/** What to do with a request that carries a key. */
enum order_step {
	ORDER_START,	  /**< first of its key, or not run so far: run it */
	ORDER_JOIN,	  /**< a run is in progress: wait for its outcome */
	ORDER_REPLAY,	  /**< the outcome is known: repeat it */
	ORDER_KEY_REUSED, /**< the key belongs to another request: refuse */
	ORDER_TABLE_FULL, /**< no room to remember it: refuse */
};

/** An answer kept for repeats. */
struct order_answer {
	enum verdict verdict;
	uint32_t status;    /**< HTTP status; 0: none came */
	char *content_type; /**< may be NULL */
	char *body;	    /**< NULL: too long to keep, or none */
	uint32_t body_bytes;
};

/** What this process knows of its claim to a key in the store. */
enum order_claim {
	ORDER_CLAIM_NONE,
	ORDER_CLAIM_UNKNOWN, /**< written, no answer came */
	ORDER_CLAIM_HELD,
};

struct order {
	char key[ORDER_KEY_BYTES_MAX];
	uint64_t digest; /**< of method, path and body */
	enum order_claim claim;
	bool idle; /**< proven not run: a repeat may start it */
	bool finished;
	struct order_answer answer;
	int64_t expires_ms;
};

struct orders;

/**
 * @param count_max orders remembered at the same time.
 * @param answer_bytes_max bytes of answers kept in all.
 * @return a table that the caller frees with orders_free(), or NULL.
 */
struct orders *orders_new(uint32_t count_max, uint64_t answer_bytes_max);
void orders_free(struct orders *orders);

/**
 * Takes a key or finds what became of it.
 *
 * @param memory_ms how long the key is remembered after its outcome.
 * @param order receives the entry, owned by the table, for ORDER_START,
 * ORDER_JOIN and ORDER_REPLAY.
 */
enum order_step orders_begin(struct orders *orders, const char *key,
			     uint64_t digest, int64_t now_ms,
			     struct order **order);

/**
 * Records an outcome. After a proven VERDICT_NOT_RUN a repeat may start; the
 * key is remembered all the same, with what is known of its claim.
 *
 * @param answer its body and type are copied while there is room for them.
 */
void orders_finish(struct orders *orders, const char *key,
		   const struct order_answer *answer, int64_t memory_ms,
		   int64_t now_ms);

/** Notes what is known of the claim to a key; nothing if it is forgotten. */
void orders_set_claim(struct orders *orders, const char *key,
		      enum order_claim claim);

/** Forgets a key, as if it had never been taken. */
void orders_forget(struct orders *orders, const char *key);

/** @return the entry of a key, or NULL. */
const struct order *orders_find(const struct orders *orders, const char *key);

/** Forgets finished orders whose memory has expired. @return how many. */
uint32_t orders_expire(struct orders *orders, int64_t now_ms);

uint32_t orders_count(const struct orders *orders);

/** Parts of a key that a look-up handed out. */
struct order_key {
	char home[65];	      /**< name of the entry VM */
	uint64_t incarnation; /**< of that VM's process */
	bool claimed;	      /**< a claim in the store precedes each run */
	int64_t issued_unix_s;
};

/** Writes "home~incarnation~mode~time~", to which a caller adds its part. */
void order_key_prefix(const struct order_key *parts, char *text,
		      size_t text_bytes);

/** @return whether the key has the parts and they are well formed. */
bool order_key_parse(const char *key, struct order_key *parts);

/** @return a digest of a request, to tell a key's reuse. */
uint64_t order_digest(const char *method, const char *path, const char *body,
		      size_t body_bytes);

#endif
