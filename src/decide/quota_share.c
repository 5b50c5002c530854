#include "decide/quota_share.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "base/number.h"

/* A reply holds for this time, if there is something to report since: a report
 * may be lost once. */
#define FRESH_MS 1000
/* Reports in a row without a reply after which the last one holds no more. */
#define FAILED_CALLS_MAX 2
/* Tokens without a reply, as a number and as a time at the rate. */
#define LOCAL_BURST 1
#define LOCAL_BURST_S 0.1
/* The same before the first reply. */
#define START_BURST 2
#define START_BURST_S 1
/* A report is urgent when this many times the requests of the VM's share in an
 * interval came, and this many at least. */
#define URGENT_FACTOR 2
#define URGENT_MIN 3
#define REPORT_INTERVAL_S 0.5
/* What a VM without replies was offered before then says little of the demand. */
#define DEMAND_WINDOW_MS 1000
/* Requests that a window allows for each VM, below which VMs poll. */
#define POLL_PER_VM 4
/* Bounds of the time for which a refused caller is told to stay away. */
#define WAIT_MIN_MS 1000
#define WAIT_MAX_MS 10000

void quota_share_init(struct quota_share *share, const struct quota_rule *rule,
		      double phase)
{
	memset(share, 0, sizeof(*share));
	share->rule = *rule;
	share->phase = phase;
	share->credit = phase;
	share->fraction = 1;
	share->quota_tokens = quota_rule_capacity(rule);
}

void quota_share_set_rule(struct quota_share *share, const struct quota_rule *rule)
{
	share->rule = *rule;
}

static bool is_fresh(const struct quota_share *share, int64_t now_ms)
{
	if (!share->replied_ms || share->failed_calls >= FAILED_CALLS_MAX)
		return false;
	if (share->unacked_since_ms && now_ms - share->unacked_since_ms > FRESH_MS)
		return false;
	return share->fraction >= 1 || now_ms - share->replied_ms <= FRESH_MS;
}

static bool has_lease(const struct quota_share *share, int64_t now_ms)
{
	return share->leased_ms && now_ms - share->leased_ms <= QUOTA_LEASE_MS;
}

/* @return whether the VM has just begun to count and waits for its first reply. */
static bool is_starting(const struct quota_share *share, int64_t now_ms)
{
	return !share->replied_ms &&
	       (!share->unacked_since_ms ||
		now_ms - share->unacked_since_ms <= QUOTA_LEASE_MS);
}

/* @return the part of the limit that the VM may use without a reply. */
static double local_part(const struct quota_share *share,
			 const struct quota_view *view, int64_t now_ms)
{
	if (has_lease(share, now_ms))
		return share->share;
	if (is_starting(share, now_ms) || !view->has_coordinator)
		return 1.0 / view->vm_count;
	return 0.5 / view->vm_count;
}

static void refill(struct quota_share *share, double rate, bool starting,
		   int64_t now_ms)
{
	const double burst = starting ? START_BURST + START_BURST_S * rate
				      : LOCAL_BURST + LOCAL_BURST_S * rate;

	if (!share->refilled_ms)
		share->tokens = starting ? burst : share->phase;
	else
		share->tokens += rate * (double)(now_ms - share->refilled_ms) /
				 (double)MS_PER_S;
	share->tokens = fmin(share->tokens, burst);
	share->refilled_ms = now_ms;
}

/* Refills the bucket of the whole quota: however late replies are, this VM
 * alone does not exceed it. */
static void refill_quota(struct quota_share *share, int64_t now_ms)
{
	const int64_t elapsed_ms = now_ms - share->quota_refilled_ms;

	if (share->quota_refilled_ms)
		share->quota_tokens += share->rule.rate_per_s *
				       (double)elapsed_ms / (double)MS_PER_S;
	share->quota_tokens =
		fmin(share->quota_tokens, quota_rule_capacity(&share->rule));
	share->quota_refilled_ms = now_ms;
}

static uint32_t bounded_wait(double ms)
{
	return u32_from_double(fmin(fmax(ms, WAIT_MIN_MS), WAIT_MAX_MS));
}

/* Admits the fraction: each request adds to the credit, an admitted one takes 1
 * from it. */
static uint32_t admit_fraction(struct quota_share *share)
{
	if (share->fraction >= 1)
		return 0;
	share->credit += share->fraction;
	if (share->credit >= 1) {
		share->credit -= 1;
		return 0;
	}
	return bounded_wait(MS_PER_S / fmax(share->fraction, 0.001));
}

uint32_t quota_share_admit(struct quota_share *share,
			   const struct quota_view *view, int64_t now_ms)
{
	const bool fresh = is_fresh(share, now_ms);
	const double rate =
		local_part(share, view, now_ms) * share->rule.rate_per_s;
	uint32_t wait_ms = 0;

	refill(share, rate, is_starting(share, now_ms), now_ms);
	refill_quota(share, now_ms);
	if (share->quota_tokens < 1)
		wait_ms = bounded_wait((1 - share->quota_tokens) * MS_PER_S /
				       share->rule.rate_per_s);
	else if (fresh)
		wait_ms = admit_fraction(share);
	else if (share->tokens < 1)
		wait_ms = bounded_wait((1 - share->tokens) * MS_PER_S /
				       fmax(rate, 0.001));
	share->offered++;
	if (!share->unacked_since_ms)
		share->unacked_since_ms = now_ms;
	if (wait_ms)
		return wait_ms;
	share->tokens = fmax(share->tokens - 1, 0);
	share->quota_tokens -= 1;
	share->admitted++;
	share->admitted_total++;
	return 0;
}

bool quota_share_has_news(const struct quota_share *share)
{
	return share->offered || (share->replied_ms && share->fraction < 1);
}

bool quota_share_needs_poll(const struct quota_share *share,
			    const struct quota_view *view)
{
	return share->rule.rate_per_s * QUOTA_WINDOW_MS / MS_PER_S +
		       share->rule.burst <
	       POLL_PER_VM * view->vm_count;
}

bool quota_share_is_urgent(const struct quota_share *share, int64_t now_ms)
{
	const double part = has_lease(share, now_ms) ? share->share : 0;

	if (!share->offered)
		return false;
	return !share->replied_ms ||
	       (double)share->offered >
		       fmax(URGENT_MIN, URGENT_FACTOR * part *
						share->rule.rate_per_s *
						REPORT_INTERVAL_S);
}

bool quota_share_is_limited(const struct quota_share *share, int64_t now_ms)
{
	return share->fraction < 1 ||
	       (share->offered && !is_fresh(share, now_ms) &&
		!is_starting(share, now_ms));
}

/* @return how many of `count` requests were made in the last `window_ms`. */
static uint64_t recent(const struct quota_share *share, uint64_t count,
		       int64_t window_ms, int64_t now_ms)
{
	const int64_t span_ms = now_ms - share->unacked_since_ms;

	if (!share->unacked_since_ms || span_ms <= window_ms)
		return count;
	return (uint64_t)ceil((double)count * (double)window_ms / (double)span_ms);
}

struct quota_report quota_share_report(struct quota_share *share,
				       const struct quota_view *view,
				       bool displaced, int64_t now_ms)
{
	struct quota_report report = {
		.admitted_total = share->admitted_total,
		.admitted =
			recent(share, share->admitted, QUOTA_WINDOW_MS, now_ms),
		.offered =
			recent(share, share->offered, DEMAND_WINDOW_MS, now_ms),
		.held = -1,
		.displaced = displaced,
	};

	/* what is not scarce need not be divided between two coordinators that
	 * know different lists of VMs; a substitute must keep to it */
	if (has_lease(share, now_ms) && (displaced || share->fraction < 1))
		report.held = share->share;
	else if (displaced)
		report.held = 0.5 / view->vm_count;
	share->sent_admitted = share->admitted;
	share->sent_offered = share->offered;
	return report;
}

void quota_share_reply(struct quota_share *share,
		       const struct quota_grant *grant, int64_t now_ms)
{
	share->admitted -= share->sent_admitted;
	share->offered -= share->sent_offered;
	share->unacked_since_ms = share->offered ? now_ms : 0;
	share->replied_ms = now_ms;
	share->fraction = grant->fraction;
	share->near_limit = grant->near_limit;
	share->failed_calls = 0;
	share->sent_admitted = 0;
	share->sent_offered = 0;
	if (grant->substitute)
		return;
	share->share = grant->share;
	share->leased_ms = now_ms;
}

void quota_share_hint(struct quota_share *share, double fraction, int64_t now_ms)
{
	share->fraction = fraction;
	share->near_limit = fraction < 1;
	share->replied_ms = now_ms;
	share->failed_calls = 0;
}

void quota_share_fail(struct quota_share *share)
{
	share->failed_calls++;
	share->sent_admitted = 0;
	share->sent_offered = 0;
}
