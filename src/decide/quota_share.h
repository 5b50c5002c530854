#ifndef DECIDE_QUOTA_SHARE_H
#define DECIDE_QUOTA_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/quota_bucket.h"

/**
 * @file
 * What one entry VM admits of a workspace with a quota.
 *
 * Load pattern: most VMs see a few requests of a workspace a minute and some
 * see many, so equal shares would refuse requests within the quota. While
 * replies of the quota coordinator are fresh, the VM admits the fraction that
 * they name, spread evenly over its requests. Without them it admits its last
 * share of the limit for a lease term, then half an equal share. It never
 * admits more than the whole quota alone. No I/O, no locking.
 */

/** What a VM knows of the others. */
struct quota_view {
	uint32_t vm_count;    /**< live VMs, at least 1 */
	bool has_coordinator; /**< some VM takes part as coordinator */
};

/** All zeros, then quota_share_init(). */
struct quota_share {
	struct quota_rule rule;
	double phase;  /* differs by VM, in [0, 1) */
	double credit; /* of the spread of the fraction */
	double tokens; /* for times without a reply */
	int64_t refilled_ms;
	double quota_tokens; /* of the whole quota */
	int64_t quota_refilled_ms;
	uint64_t admitted_total;
	uint64_t admitted; /* not acknowledged yet */
	uint64_t offered;
	uint64_t sent_admitted; /* in the report in progress */
	uint64_t sent_offered;
	int64_t unacked_since_ms; /* 0: nothing to report */
	int64_t replied_ms;	  /* 0: never */
	int64_t leased_ms;	  /* start of the lease of `share`; 0: none */
	double fraction;
	double share;
	bool near_limit;
	uint32_t failed_calls; /* in a row */
};

/** @param phase in [0, 1), different for each VM, so that they take turns. */
void quota_share_init(struct quota_share *share, const struct quota_rule *rule,
		      double phase);

/** Changes the quota. */
void quota_share_set_rule(struct quota_share *share,
			  const struct quota_rule *rule);

/**
 * Decides on one request and counts it.
 *
 * @return 0: it is admitted; otherwise the time in ms until there is room.
 */
uint32_t quota_share_admit(struct quota_share *share,
			   const struct quota_view *view, int64_t now_ms);

/** @return whether the next report must contain the workspace. */
bool quota_share_has_news(const struct quota_share *share);

/**
 * @return whether a VM that has nothing to report should ask for fractions all
 * the same: if each VM admits one request before it reports, the fleet exceeds
 * the quota.
 */
bool quota_share_needs_poll(const struct quota_share *share,
			    const struct quota_view *view);

/** @return whether the report should not wait for the usual interval. */
bool quota_share_is_urgent(const struct quota_share *share, int64_t now_ms);

/** @return whether less than all requests are admitted now. */
bool quota_share_is_limited(const struct quota_share *share, int64_t now_ms);

/**
 * Takes what is to be reported. One report is in progress at a time.
 *
 * @param displaced whether it goes to a substitute of the coordinator.
 */
struct quota_report quota_share_report(struct quota_share *share,
				       const struct quota_view *view,
				       bool displaced, int64_t now_ms);

/** Applies the reply to the last report. */
void quota_share_reply(struct quota_share *share,
		       const struct quota_grant *grant, int64_t now_ms);

/** Applies the fraction that a reply names, though the report was of others. */
void quota_share_hint(struct quota_share *share, double fraction, int64_t now_ms);

/** The last report had no reply, or one without this workspace. */
void quota_share_fail(struct quota_share *share);

#endif
