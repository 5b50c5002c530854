#ifndef DECIDE_SPILL_H
#define DECIDE_SPILL_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/place.h"

/**
 * @file
 * Which objects' requests run in the entry VM's own failure domain, which in
 * the rest of its region, and which in other regions.
 *
 * Load pattern: callers move between failure domains, and one domain or region
 * has far fewer slots than its callers need while others have room. Every entry
 * VM of a region computes the same shares from what it sees itself: its own
 * rate of requests, the number of entry VMs in each failure domain, and the
 * time a request runs; reports of load, which are late and differ between entry
 * VMs, only push them up. The share that leaves the region moves slowly, since
 * the part of a region's requests that changes region in a window is bounded;
 * when servers are lost it follows at once. Pure.
 */

struct spill {
	double away;   /**< share of objects that leave the region */
	double inside; /**< share that stays in the failure domain */
	double rate_per_s; /**< of this entry VM's requests, smoothed */
	double counted;	   /**< requests, older ones counting less */
	double counted_ms; /**< time in which they came, likewise */
	uint32_t region_slots;
	int64_t began_ms;
	int64_t updated_ms; /**< 0: no request yet */
};

/** Failure domains of one region that are told apart. */
#define SPILL_DOMAINS_MAX 16

struct spill_domain {
	uint32_t slots;
	uint32_t vms;
};

struct spill_view {
	/** The region's failure domains; the entry VM's own comes first. */
	struct spill_domain domains[SPILL_DOMAINS_MAX];
	uint32_t domain_count;
	uint32_t region_waiting; /**< requests waiting at the region's servers */
	uint32_t far_slots;
	uint32_t far_load;
	double domain_share; /**< of all failure domains, those of the region */
	double fast_ms; /**< time a request runs whose object is known */
};

/** Counts one request and lets the shares follow. */
void spill_request(struct spill *spill, const struct spill_view *view,
		   double shift_max_per_s, int64_t now_ms);

/**
 * @return where requests of this object run. Whole objects leave, so that
 * servers here and there know fewer of them.
 */
enum place_tier spill_tier(const struct spill *spill, uint64_t object_hash);

#endif
