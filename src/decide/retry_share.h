#ifndef DECIDE_RETRY_SHARE_H
#define DECIDE_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * One entry VM's share of the retries that the fleet may send to a service.
 *
 * Load pattern: many servers fail or shed load at the same time, and retries
 * multiply the load until no request succeeds. In any window, the fleet may
 * retry a fraction of its requests plus a fixed number; each entry VM uses that
 * fraction of its own requests and an equal share of the number. No I/O, no
 * locking.
 */

#define RETRY_SHARE_BUCKETS 10

struct retry_share_rule {
	double ratio;	/**< retries per request */
	uint32_t extra; /**< more retries of the whole fleet in a window */
	uint32_t window_ms;
	uint32_t vm_count; /**< live entry VMs, at least 1 */
};

struct retry_share {
	uint32_t requests[RETRY_SHARE_BUCKETS];
	uint32_t retries[RETRY_SHARE_BUCKETS];
	int64_t bucket; /**< number of the newest bucket */
};

/** Counts a first attempt, which earns a fraction of a retry. */
void retry_share_count_request(struct retry_share *share,
			       const struct retry_share_rule *rule,
			       int64_t now_ms);

/** @return whether a retry may be sent; if so, it is counted. */
bool retry_share_acquire(struct retry_share *share,
			 const struct retry_share_rule *rule, int64_t now_ms);

#endif
