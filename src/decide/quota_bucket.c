#include "decide/quota_bucket.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Tokens beyond the burst: requests of a small workspace come in clumps, which
 * must not be refused. Less than half of the slack of a window, which is 20;
 * the rest is for reports that are late. */
#define EXTRA_TOKENS 8
/* A bucket holds this part of the rate at least: a VM with most of the demand
 * reports every 200 ms, and 0.12 overflowed between its reports. */
#define BURST_PER_RATE_MIN 0.3
/* Part of the rate that is given out, so that windows in which coordinators
 * change stay within the excess that is allowed. */
#define RATE_PART 0.98
/* Time in which saved tokens are spent and a deficit is refilled. At least
 * twice the delay of a report and its reply, or the fraction oscillates. */
#define HORIZON_S 0.7
/* Time constants of the demand, and of the VMs' shares of it. */
#define DEMAND_TAU_MS 700.0
#define USAGE_TAU_MS 2000.0
/* Longest time between two reports of a VM that has something to report. */
#define REPORT_INTERVAL_MAX_MS 500.0
/* A bucket is near its limit if the demand is above this part of the rate, or
 * it is filled to less than the other. */
#define NEAR_LIMIT_DEMAND 0.75
#define NEAR_LIMIT_TOKENS 0.5
/* A VM that should report is lost after this time, which leaves room for one
 * lost message; a VM whose last reply had a fraction below 1 reports sooner. */
#define LOST_AFTER_MS 1000
#define LOST_AFTER_LIMITED_MS 600
/* A lost VM is charged its last share until it returns, leaves the list of VMs,
 * or this time is over: it may use the share for a lease term, and may have
 * found another coordinator by a newer list. */
#define LOST_FORGOTTEN_MS 60000
/* A coordinator that others' VMs have moved to gives out what they brought
 * until then, unless that is nearly all. */
#define TAKEOVER_MAX_MS 60000
#define TAKEOVER_PART_MIN 0.9
/* How often tokens are refilled and silent VMs charged. */
#define REFILL_INTERVAL_MS 50

double quota_rule_capacity(const struct quota_rule *rule)
{
	return fmax(rule->burst, BURST_PER_RATE_MIN * rule->rate_per_s) +
	       EXTRA_TOKENS;
}

void quota_bucket_init(struct quota_bucket *bucket,
		       const struct quota_rule *rule, bool empty, int64_t now_ms)
{
	memset(bucket, 0, sizeof(*bucket));
	bucket->rule = *rule;
	bucket->tokens = empty ? EXTRA_TOKENS : quota_rule_capacity(rule);
	bucket->created_ms = now_ms;
	bucket->updated_ms = now_ms;
	bucket->scale = 1;
}

void quota_bucket_clear(struct quota_bucket *bucket)
{
	free(bucket->members);
	memset(bucket, 0, sizeof(*bucket));
}

void quota_bucket_set_rule(struct quota_bucket *bucket,
			   const struct quota_rule *rule)
{
	bucket->rule = *rule;
	bucket->tokens = fmin(bucket->tokens, quota_rule_capacity(rule));
}

void quota_bucket_forget(struct quota_bucket *bucket, uint32_t slot)
{
	if (slot < bucket->member_count)
		memset(&bucket->members[slot], 0, sizeof(*bucket->members));
}

void quota_peer_record(struct quota_peer *peer, bool idle, bool displaced,
		       int64_t now_ms)
{
	peer->heard_ms = now_ms;
	peer->idle = idle;
	peer->displaced = displaced;
	peer->must_report = false;
}

bool quota_peer_is_lost(const struct quota_peer *peer, int64_t now_ms)
{
	const int64_t silent_ms = now_ms - peer->heard_ms;

	if (!peer->heard_ms || silent_ms > LOST_FORGOTTEN_MS)
		return false;
	if (peer->must_report)
		return silent_ms > LOST_AFTER_LIMITED_MS;
	return !peer->idle && silent_ms > LOST_AFTER_MS;
}

static double decayed_usage(const struct quota_member *member, int64_t now_ms)
{
	return member->usage *
	       exp(-(double)(now_ms - member->seen_ms) / USAGE_TAU_MS);
}

static double decayed_demand(const struct quota_member *member, int64_t now_ms)
{
	return member->demand *
	       exp(-(double)(now_ms - member->seen_ms) / DEMAND_TAU_MS);
}

/* @return how far the VM's report just recorded raises its demand over the mean
 * of the time until the next one: by 15% at an interval of 200 ms. Where one VM
 * has most of the demand, this would leave as much of the quota unused. */
static double demand_excess(const struct quota_member *member)
{
	const double interval = member->interval_ms / DEMAND_TAU_MS;

	if (interval <= 0)
		return 0;
	return member->demand * (1 - (1 - exp(-interval)) / interval);
}

/* @return whether the VM is lost and held a lease when it was last heard of. */
static bool is_lost(const struct quota_bucket *bucket,
		    const struct quota_fleet *fleet, uint32_t slot,
		    int64_t now_ms)
{
	const struct quota_member *member = &bucket->members[slot];

	return slot < fleet->peer_count && member->seen_ms &&
	       fleet->peers[slot].heard_ms - member->seen_ms < QUOTA_LEASE_MS &&
	       quota_peer_is_lost(&fleet->peers[slot], now_ms);
}

/* Charges what lost VMs may admit on their own. @return its part of the limit. */
static double charge_lost_members(struct quota_bucket *bucket,
				  const struct quota_fleet *fleet,
				  int64_t now_ms, int64_t elapsed_ms)
{
	const double rate_per_ms = bucket->rule.rate_per_s / (double)MS_PER_S;
	double sum = 0;
	uint32_t i;

	bucket->lost_usage = 0;
	for (i = 0; i < bucket->member_count; i++) {
		struct quota_member *member = &bucket->members[i];

		if (!is_lost(bucket, fleet, i, now_ms))
			continue;
		if (!member->is_lost) {
			/* it may have used its share since it was last heard of */
			const double since_report =
				member->share * rate_per_ms *
				(double)(bucket->updated_ms -
					 fleet->peers[i].heard_ms);

			member->is_lost = true;
			member->charged += since_report;
			bucket->tokens -= since_report;
		}
		member->charged +=
			member->share * rate_per_ms * (double)elapsed_ms;
		sum += member->share;
		bucket->lost_usage += decayed_usage(member, now_ms);
	}
	return fmin(sum, 1);
}

/* @return whether the coordinator that most VMs choose first did not answer
 * them and they still report here: it serves the minority at most. They need
 * not be displaced any more: the list of VMs may have lost it. */
static bool serves_majority(struct quota_bucket *bucket,
			    const struct quota_fleet *fleet, int64_t now_ms)
{
	uint32_t heard = 0;
	uint32_t displaced = 0;
	uint32_t i;

	for (i = 0; i < fleet->peer_count; i++) {
		const struct quota_peer *peer = &fleet->peers[i];

		if (!peer->heard_ms || now_ms - peer->heard_ms > QUOTA_LEASE_MS)
			continue;
		heard++;
		displaced += peer->displaced;
	}
	if (displaced * 2 > fleet->vm_count)
		bucket->serves_majority = true;
	else if (heard * 2 <= fleet->vm_count)
		bucket->serves_majority = false;
	return bucket->serves_majority;
}

/* @return the part of the limit that VMs have brought from a coordinator that
 * may still serve others. */
static double brought_part(struct quota_bucket *bucket,
			   const struct quota_fleet *fleet, int64_t now_ms)
{
	double sum = 0;
	uint32_t i;

	if (serves_majority(bucket, fleet, now_ms))
		return 1;
	for (i = 0; i < bucket->member_count; i++) {
		const struct quota_member *member = &bucket->members[i];

		if (member->seen_ms)
			sum += member->held >= 0 ? member->held
						 : 1.0 / fleet->vm_count;
	}
	return fmin(sum, 1);
}

/* @return the part of the limit that this coordinator may give out. */
static double own_part(struct quota_bucket *bucket,
		       const struct quota_fleet *fleet, int64_t now_ms)
{
	double part;

	if (!bucket->takes_over)
		return 1;
	part = brought_part(bucket, fleet, now_ms);
	if (now_ms - bucket->displaced_ms > QUOTA_WINDOW_MS &&
	    (now_ms - bucket->takeover_ms > TAKEOVER_MAX_MS ||
	     (now_ms - bucket->takeover_ms > QUOTA_WINDOW_MS &&
	      part > TAKEOVER_PART_MIN)))
		bucket->takes_over = false;
	return part;
}

static void refill(struct quota_bucket *bucket, const struct quota_fleet *fleet,
		   int64_t now_ms)
{
	const int64_t elapsed_ms = now_ms - bucket->updated_ms;
	double part;

	if (elapsed_ms < REFILL_INTERVAL_MS)
		return;
	part = RATE_PART * own_part(bucket, fleet, now_ms);
	part -= (double)fleet->unlimited_count / fleet->vm_count;
	part -= charge_lost_members(bucket, fleet, now_ms, elapsed_ms);
	bucket->scale = fmax(part, 0);
	bucket->tokens += bucket->scale * bucket->rule.rate_per_s *
			  (double)elapsed_ms / (double)MS_PER_S;
	bucket->tokens = fmin(bucket->tokens, quota_rule_capacity(&bucket->rule));
	bucket->demand *= exp(-(double)elapsed_ms / DEMAND_TAU_MS);
	bucket->usage *= exp(-(double)elapsed_ms / USAGE_TAU_MS);
	bucket->updated_ms = now_ms;
}

static struct quota_member *member_at(struct quota_bucket *bucket, uint32_t slot)
{
	if (slot >= bucket->member_count) {
		const uint32_t count = slot + 16;
		struct quota_member *members =
			realloc(bucket->members, count * sizeof(*members));

		if (!members)
			return NULL;
		memset(members + bucket->member_count, 0,
		       (count - bucket->member_count) * sizeof(*members));
		bucket->members = members;
		bucket->member_count = count;
	}
	return &bucket->members[slot];
}

/* Requests admitted that the bucket was not charged for. */
static double uncharged(const struct quota_member *member,
			const struct quota_report *report, int64_t now_ms)
{
	/* what was admitted longer ago than a window has no effect on one */
	if (!member->seen_ms || now_ms - member->seen_ms > QUOTA_WINDOW_MS ||
	    report->admitted_total < member->admitted_total)
		return (double)report->admitted;
	return (double)(report->admitted_total - member->admitted_total);
}

/* Notes that the VM comes from another coordinator, if it does. */
static void record_held(struct quota_bucket *bucket, struct quota_member *member,
			const struct quota_report *report, uint32_t vm_count,
			int64_t now_ms)
{
	member->displaced = report->displaced;
	if (report->displaced)
		bucket->displaced_ms = now_ms;
	/* A displaced VM may have had nothing to report of the workspace in its
	 * first call here; what it brought is half an equal share then. */
	if (report->held < 0 && (!report->displaced || member->seen_ms)) {
		/* its share is from here; what it brought counts meanwhile */
		if (!bucket->takes_over || !member->seen_ms)
			member->held = -1;
		return;
	}
	member->held = report->held >= 0 ? report->held : 0.5 / vm_count;
	/* a coordinator that serves others already gives out its own limit */
	if (bucket->takes_over ||
	    (bucket->usage >= 1 && now_ms - bucket->created_ms > QUOTA_WINDOW_MS))
		return;
	bucket->takes_over = true;
	bucket->takeover_ms = now_ms;
}

/* Takes the tokens of requests that the bucket was not charged for. What a VM
 * was charged and did not use fills the bucket to a half only: many VMs that
 * resume at once would fill it, and then exceed a window together. */
static void settle(struct quota_bucket *bucket, double tokens)
{
	const double limit = quota_rule_capacity(&bucket->rule) / 2;

	if (tokens >= 0)
		bucket->tokens -= tokens;
	else if (bucket->tokens < limit)
		bucket->tokens = fmin(bucket->tokens - tokens, limit);
}

void quota_bucket_record(struct quota_bucket *bucket, uint32_t slot,
			 const struct quota_report *report,
			 const struct quota_fleet *fleet, int64_t now_ms)
{
	const struct quota_rule *rule = &bucket->rule;
	struct quota_member *member = member_at(bucket, slot);
	const bool took_over = bucket->takes_over;
	double usage = (double)report->offered * (double)MS_PER_S / USAGE_TAU_MS;
	double demand =
		(double)report->offered * (double)MS_PER_S / DEMAND_TAU_MS;

	if (!member)
		return;
	refill(bucket, fleet, now_ms);
	record_held(bucket, member, report, fleet->vm_count, now_ms);
	settle(bucket, uncharged(member, report, now_ms) - member->charged);
	/* a deficit has no effect on windows that begin after it */
	bucket->tokens = fmax(bucket->tokens,
			      -rule->burst - rule->rate_per_s *
						     QUOTA_WINDOW_MS / MS_PER_S);
	bucket->demand += demand;
	bucket->usage += usage;
	member->usage = decayed_usage(member, now_ms) + usage;
	member->demand = decayed_demand(member, now_ms) + demand;
	member->interval_ms =
		fmin((double)(now_ms - member->seen_ms), REPORT_INTERVAL_MAX_MS);
	member->is_lost = false;
	member->admitted_total = report->admitted_total;
	member->charged = 0;
	member->seen_ms = now_ms;
	/* a new bucket would give out the whole limit until the next refill */
	if (bucket->takes_over && !took_over)
		bucket->scale =
			fmin(bucket->scale,
			     RATE_PART * brought_part(bucket, fleet, now_ms));
}

/* @return the fraction of `demand` that the bucket has room for. */
static double fraction_of(const struct quota_bucket *bucket, double demand)
{
	const double allowed = bucket->scale * bucket->rule.rate_per_s +
			       bucket->tokens / HORIZON_S;

	if (allowed >= demand)
		return 1;
	/* a demand of 0 while requests that were admitted are charged */
	return demand > 0 ? fmax(allowed, 0) / demand : 0;
}

double quota_bucket_fraction(struct quota_bucket *bucket,
			     const struct quota_fleet *fleet, int64_t now_ms)
{
	refill(bucket, fleet, now_ms);
	return fraction_of(bucket, bucket->demand);
}

struct quota_grant quota_bucket_grant(struct quota_bucket *bucket, uint32_t slot,
				      const struct quota_fleet *fleet,
				      int64_t now_ms)
{
	const struct quota_rule *rule = &bucket->rule;
	struct quota_member *member = member_at(bucket, slot);
	struct quota_grant grant = { 0 };
	double usage;

	refill(bucket, fleet, now_ms);
	usage = bucket->usage - bucket->lost_usage;
	grant.fraction =
		fraction_of(bucket, bucket->demand -
					    (member ? demand_excess(member) : 0));
	grant.near_limit =
		grant.fraction < 1 ||
		bucket->demand > NEAR_LIMIT_DEMAND * rule->rate_per_s ||
		bucket->tokens < NEAR_LIMIT_TOKENS * quota_rule_capacity(rule);
	if (!member)
		return grant;
	if (usage > 0)
		grant.share = fmin(decayed_usage(member, now_ms) / usage, 1) *
			      bucket->scale;
	grant.substitute = member->displaced;
	member->share = grant.share;
	/* without this substitute it has no more than what it brought */
	if (member->displaced && member->held >= 0)
		member->share = fmin(member->share, member->held);
	return grant;
}
