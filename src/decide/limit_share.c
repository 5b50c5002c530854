#include "decide/limit_share.h"

#include <math.h>
#include <stdbool.h>

#include "base/clock.h"
#include "base/number.h"

/* Fraction of the limit that is used. The rest is a margin for periods in which
 * entry VMs have different lists of live VMs. */
#define SAFETY_FACTOR 0.95
/* Requests sent at the same moment that a server bears, whatever its limit, and
 * for each request per second of the limit. */
#define BURST_MIN 3.5
#define BURST_PER_LIMIT 1.8
/* Part of the limit for VMs outside the server's region. */
#define OTHER_PART 0.1
/* A rate that falls to less than this fraction is like a new one: what a sender
 * has saved would be many of the requests of the new rate. */
#define FAR_LOWER 0.5
/* Rate at which a server is tried that takes none. */
#define TRIAL_PER_S 0.1

/* Part of the limit that an assigned VM uses, and the requests that it may send
 * at the same moment. Two of them send at most twice the burst and twice the
 * rate: in 4 s, and 0.3 s on the way, 4 + 5.93 L at a limit of L, where 5 + 6 L
 * are allowed; at the trial rate 4.9. */
#define ASSIGNED_PART 0.62
#define ASSIGNED_BURST_MIN 2
#define ASSIGNED_BURST_PER_LIMIT 0.3

/* The part of the limit for the VMs of this one's kind, local or not. */
static double group_part(const struct sender_rank *rank)
{
	if (!rank->local_count || !rank->other_count)
		return 1;
	return rank->local ? 1 - OTHER_PART : OTHER_PART;
}

/* A VM that has just been assigned begins with no requests saved. One that is
 * not gets no rate, but the time after which the assigned VM may send again. */
static struct limit_share assigned_share(const struct sender_rank *rank,
					 double limit_per_s)
{
	const double rate = fmax(ASSIGNED_PART * limit_per_s, TRIAL_PER_S);
	struct limit_share share = {
		.burst = ASSIGNED_BURST_MIN +
			 ASSIGNED_BURST_PER_LIMIT * limit_per_s,
		.retry_after_ms = MS_PER_S / rate,
	};

	if (rank->kind == SENDER_ASSIGNED)
		share.rate_per_s = rate;
	return share;
}

struct limit_share limit_share_compute(const struct sender_rank *rank,
				       double limit_per_s)
{
	const double part = group_part(rank);
	const double limit = fmax(limit_per_s, TRIAL_PER_S);
	const double rate = part * SAFETY_FACTOR * limit;
	const double burst =
		fmax(1, part * (BURST_MIN + BURST_PER_LIMIT * limit_per_s));
	const uint32_t vms = rank->local ? rank->local_count : rank->other_count;
	const double senders = fmin(vms, floor(burst));
	struct limit_share share = {
		.burst = burst / senders,
		.retry_after_ms = MS_PER_S / rate,
	};

	if (rank->kind != SENDER_RANKED)
		return assigned_share(rank, limit_per_s);
	if (rank->position >= senders)
		return share;
	share.rate_per_s = rate / senders;
	share.offset = rank->position / senders;
	return share;
}

void limit_bucket_update(struct limit_bucket *bucket,
			 const struct limit_share *share, int64_t now_ms)
{
	const bool is_far_lower =
		share->rate_per_s < bucket->share.rate_per_s * FAR_LOWER;
	double tokens = share->offset;

	if (bucket->updated_ms)
		tokens = bucket->tokens +
			 bucket->share.rate_per_s *
				 (double)(now_ms - bucket->updated_ms) /
				 (double)MS_PER_S;
	if (is_far_lower)
		tokens = fmin(tokens, share->offset);
	bucket->share = *share;
	bucket->tokens = share->rate_per_s > 0 ? fmin(tokens, share->burst) : 0;
	bucket->updated_ms = now_ms;
}

uint32_t limit_bucket_wait_ms(const struct limit_bucket *bucket)
{
	const struct limit_share *share = &bucket->share;

	if (share->rate_per_s <= 0)
		return u32_from_double(ceil(share->retry_after_ms));
	if (bucket->tokens >= 1)
		return 0;
	return u32_from_double(
		ceil((1 - bucket->tokens) * MS_PER_S / share->rate_per_s));
}

void limit_bucket_take(struct limit_bucket *bucket)
{
	bucket->tokens -= 1;
}
