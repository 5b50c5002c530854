#include "decide/retry_share.h"

/* Fraction of the allowance that is used: a request and its retry may be
 * counted in different windows. */
#define SAFETY_FACTOR 0.8

static void advance_buckets(struct retry_share *share,
			    const struct retry_share_rule *rule, int64_t now_ms)
{
	int64_t bucket = now_ms / (rule->window_ms / RETRY_SHARE_BUCKETS + 1);

	if (bucket - share->bucket > RETRY_SHARE_BUCKETS)
		share->bucket = bucket - RETRY_SHARE_BUCKETS;
	while (share->bucket < bucket) {
		share->bucket++;
		share->requests[share->bucket % RETRY_SHARE_BUCKETS] = 0;
		share->retries[share->bucket % RETRY_SHARE_BUCKETS] = 0;
	}
}

void retry_share_count_request(struct retry_share *share,
			       const struct retry_share_rule *rule,
			       int64_t now_ms)
{
	advance_buckets(share, rule, now_ms);
	share->requests[share->bucket % RETRY_SHARE_BUCKETS]++;
}

bool retry_share_acquire(struct retry_share *share,
			 const struct retry_share_rule *rule, int64_t now_ms)
{
	uint32_t requests = 0;
	uint32_t retries = 0;
	double allowed;
	uint32_t i;

	advance_buckets(share, rule, now_ms);
	for (i = 0; i < RETRY_SHARE_BUCKETS; i++) {
		requests += share->requests[i];
		retries += share->retries[i];
	}
	allowed = SAFETY_FACTOR * (rule->ratio * requests +
				   (double)rule->extra / rule->vm_count);
	if (retries + 1 > allowed)
		return false;
	share->retries[share->bucket % RETRY_SHARE_BUCKETS]++;
	return true;
}
