#ifndef DECIDE_QUOTA_BUCKET_H
#define DECIDE_QUOTA_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The quota coordinator's token bucket for one workspace, on the sum of what
 * entry VMs report.
 *
 * Load pattern: a workspace sends many times its usual rate for some seconds, to
 * all VMs unevenly. Reports are some hundred milliseconds late, so the balance
 * may become negative; the fraction of requests to admit then stays lower until
 * the deficit is refilled. VMs that should report and do not are charged what
 * they may admit on their own, see quota_share.h. No I/O, no locking.
 */

/** Window in which the quota is checked. */
#define QUOTA_WINDOW_MS 5000
/** How long a VM keeps its last share of a limit without a reply. */
#define QUOTA_LEASE_MS 3000

/** A workspace's quota, for all VMs together. */
struct quota_rule {
	double rate_per_s;
	double burst;
};

/** A VM that reports, as the coordinator knows it. All zeros: never heard of. */
struct quota_peer {
	int64_t heard_ms; /**< time of its last report */
	bool idle;	  /**< it said that it has nothing to report */
	bool displaced;	  /**< its first choice does not answer */
	bool must_report; /**< its last reply had a fraction below 1 */
};

/** The fleet, as the coordinator knows it. */
struct quota_fleet {
	const struct quota_peer *peers; /**< by slot */
	uint32_t peer_count;
	uint32_t vm_count; /**< live VMs, at least 1 */
	/** VMs that do not take part: they neither limit nor report. */
	uint32_t unlimited_count;
};

/** What a VM reports of one workspace. */
struct quota_report {
	uint64_t admitted_total; /**< since the VM's start */
	uint64_t admitted;	 /**< not acknowledged by a reply yet */
	uint64_t offered;	 /**< the same, with those refused */
	/** Share of the limit that another coordinator gave the VM, which it
	 * may still use and which was scarce there; negative: none. */
	double held;
	bool displaced; /**< the VM's first choice does not answer */
};

/** What a VM may do until the next reply. */
struct quota_grant {
	double fraction; /**< of its requests to admit */
	double share;	 /**< of the limit, should replies cease */
	bool near_limit; /**< report sooner */
	bool substitute; /**< the share is no new lease */
};

/** What the coordinator knows of one VM at one workspace. */
struct quota_member {
	int64_t seen_ms; /* 0: never */
	uint64_t admitted_total;
	double usage;	    /* requests/s, decays */
	double demand;	    /* the same, decays fast */
	double interval_ms; /* between its last two reports */
	double share;	    /* last one given */
	double held;
	double charged; /* on the VM's behalf, while it was silent */
	bool is_lost;	/* it is charged since its last report */
	bool displaced;
};

/** All zeros, then quota_bucket_init(). */
struct quota_bucket {
	struct quota_rule rule;
	double tokens;
	double demand;	   /**< requests/s of all VMs, decays fast */
	double usage;	   /* sum of the members' */
	double lost_usage; /* of it, that of VMs that are lost */
	int64_t created_ms;
	int64_t updated_ms;
	double scale; /* part of the rate that this coordinator gives out */
	/* VMs come here from a coordinator that may still serve others */
	bool takes_over;
	int64_t takeover_ms;
	bool serves_majority;	      /* of the VMs, which were displaced */
	int64_t displaced_ms;	      /* last report of a displaced VM */
	struct quota_member *members; /* by slot */
	uint32_t member_count;
};

/** @return the tokens that a full bucket holds. */
double quota_rule_capacity(const struct quota_rule *rule);

/** @param empty whether the bucket starts without tokens. */
void quota_bucket_init(struct quota_bucket *bucket,
		       const struct quota_rule *rule, bool empty, int64_t now_ms);
void quota_bucket_clear(struct quota_bucket *bucket);

/** Changes the quota; tokens above the new burst are lost. */
void quota_bucket_set_rule(struct quota_bucket *bucket,
			   const struct quota_rule *rule);

/** Forgets a VM, so that its slot can be used for another. */
void quota_bucket_forget(struct quota_bucket *bucket, uint32_t slot);

/** Records a report. quota_peer_record() is called first. */
void quota_bucket_record(struct quota_bucket *bucket, uint32_t slot,
			 const struct quota_report *report,
			 const struct quota_fleet *fleet, int64_t now_ms);

/** @return the fraction of requests that all VMs are to admit now. */
double quota_bucket_fraction(struct quota_bucket *bucket,
			     const struct quota_fleet *fleet, int64_t now_ms);

/** @return what the VM in the slot may do, after its report. */
struct quota_grant quota_bucket_grant(struct quota_bucket *bucket, uint32_t slot,
				      const struct quota_fleet *fleet,
				      int64_t now_ms);

/**
 * Records a message of a VM.
 *
 * @param idle the VM had nothing to report, and may be silent from now on.
 */
void quota_peer_record(struct quota_peer *peer, bool idle, bool displaced,
		       int64_t now_ms);

/** @return whether a VM should have reported and did not. */
bool quota_peer_is_lost(const struct quota_peer *peer, int64_t now_ms);

#endif
