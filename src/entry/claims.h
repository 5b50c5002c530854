#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include "decide/orders.h"
#include "entry/entry_defs.h"

/**
 * @file
 * Claims to order keys in the store: only the process that creates a key's
 * claim may run the order. One thread writes the claims, several in a
 * transaction; it also expires remembered orders.
 */

enum claims_result {
	CLAIMS_ACQUIRED,      /**< this process may run the order */
	CLAIMS_HELD_BY_OTHER, /**< another process has the claim */
	CLAIMS_ALREADY_OWNED, /**< an earlier call of this process claimed it */
	CLAIMS_UNKNOWN,	      /**< sent; it may or may not be written */
	CLAIMS_STORE_UNREACHABLE, /**< not sent: nothing was written */
};

/** A claim as read from the store. */
struct claims_record {
	char holder[65];
	uint64_t incarnation;
	uint64_t digest;      /**< of the request; tells reuse of the key */
	uint64_t nonce;	      /**< distinguishes the claims of one process */
	enum verdict outcome; /**< MAY_HAVE_RUN until an outcome is recorded */
};

/**
 * Starts the thread that writes claims. The entry's store must be set.
 *
 * @param expire called about once a second on that thread, to remove expired
 * orders.
 * @return the claims, to be stopped with claims_stop(), or NULL.
 */
struct claims *claims_start(struct entry *entry,
			    void (*expire)(struct entry *entry));

/** Writes the queued claims, stops the thread and frees. NULL is allowed. */
void claims_stop(struct claims *claims);

/**
 * Claims a key; blocks until it is written, and read back if it may exist
 * already. Any thread.
 *
 * @param memory_ms how long the order is remembered after its outcome.
 * @param record receives the existing claim for CLAIMS_HELD_BY_OTHER and
 * CLAIMS_ALREADY_OWNED; its holder is empty if the claim could not be read.
 */
enum claims_result claims_acquire(struct claims *claims, const char *key,
				  uint64_t digest, uint32_t memory_ms,
				  struct claims_record *record);

/**
 * Queues the outcome to be written to the claim, without waiting. The write may
 * be lost. Any thread.
 */
void claims_record_outcome(struct claims *claims, const char *key,
			   uint64_t digest, enum verdict outcome);

#endif
