#ifndef ENTRY_CLAIMS_H
#define ENTRY_CLAIMS_H

#include "decide/orders.h"
#include "entry/entry_defs.h"

/**
 * @file
 * Claims to order keys in the store: whoever creates a key's claim is the only
 * one that may run the order. One thread writes them, several to a call; it
 * also forgets orders whose memory has ended.
 */

enum claims_result {
	CLAIMS_HELD,	    /**< this process may run the order */
	CLAIMS_OTHERS,	    /**< another process claimed it before */
	CLAIMS_OWN_EARLIER, /**< this process claimed it before */
	CLAIMS_UNKNOWN,	    /**< sent; whether it was written is not known */
	CLAIMS_UNREACHABLE, /**< nothing was written */
};

/** What a claim in the store says. */
struct claims_record {
	char holder[65];
	uint64_t incarnation;
	uint64_t digest;
	uint64_t nonce;	      /**< tells this take from the holder's others */
	enum verdict outcome; /**< MAY_HAVE_RUN until an outcome is recorded */
};

/**
 * @param expire called now and then on the thread of the claims: what was
 * remembered for too long is to be forgotten.
 * @return started claims, or NULL. The entry's store must be set.
 */
struct claims *claims_start(struct entry *entry,
			    void (*expire)(struct entry *entry));

/** Writes what is queued and stops the thread. */
void claims_stop(struct claims *claims);

/**
 * Claims a key; blocks for one or two calls to the store. Any thread.
 *
 * @param record filled in for CLAIMS_OTHERS and CLAIMS_OWN_EARLIER.
 */
enum claims_result claims_take(struct claims *claims, const char *key,
			       uint64_t digest, uint32_t memory_ms,
			       struct claims_record *record);

/** Records an outcome later, without waiting; it may be lost. Any thread. */
void claims_record_outcome(struct claims *claims, const char *key,
			   uint64_t digest, enum verdict outcome);

#endif
