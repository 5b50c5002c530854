#ifndef DECIDE_LIMIT_SHARE_H
#define DECIDE_LIMIT_SHARE_H

#include <stdint.h>

#include "decide/sender_rank.h"

/**
 * @file
 * One entry VM's share of the requests that a backend server takes from all
 * entry VMs together.
 *
 * Load pattern: a server in need allows a few requests per second, often fewer
 * than there are entry VMs, and its objects are requested at all of them. An
 * equal share of every VM would be a burst of one request each, and mostly
 * unused where it is too small for anything. So only the VMs that are ranked
 * first at the server send there: as many as may send one request each at the
 * same moment. VMs of other regions get a small part, because their callers may
 * have no other server. Each sender has a token bucket, and their first
 * requests are spread over time.
 *
 * Load pattern: as above, with few requests for the server, spread over many
 * VMs. They pass through the VM that is assigned to it, which sends alone. While
 * the list of VMs changes, another VM may take itself for the assigned one, so
 * each uses a part of the limit such that two keep the bound. No I/O, no locking.
 */

/** This VM's part of a server's limit. */
struct limit_share {
	double rate_per_s; /**< 0: this VM does not send there */
	double burst;	   /**< requests that may be sent at once, at least 1 */
	double offset;	   /**< requests saved at the start, differs by VM */
	double retry_after_ms; /**< until some VM may send again, on average */
};

/** Requests that a VM may send now. All zeros: none yet. */
struct limit_bucket {
	struct limit_share share;
	double tokens;
	int64_t updated_ms;
};

/**
 * @param limit_per_s that the server takes. A server that takes none, or nearly
 * none, is still sent a request at times: only its responses tell when the
 * limit has ended.
 */
struct limit_share limit_share_compute(const struct sender_rank *rank,
				       double limit_per_s);

/** Adds what has accrued, then changes the share. */
void limit_bucket_update(struct limit_bucket *bucket,
			 const struct limit_share *share, int64_t now_ms);

/**
 * @return 0 if a request may be sent; otherwise the time until this VM may send
 * one, or, if it never may, until another VM may. After limit_bucket_update().
 */
uint32_t limit_bucket_wait_ms(const struct limit_bucket *bucket);

/** Counts a request that is sent. */
void limit_bucket_take(struct limit_bucket *bucket);

#endif
