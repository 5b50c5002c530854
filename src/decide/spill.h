#ifndef DECIDE_SPILL_H
#define DECIDE_SPILL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Which objects' requests run in other regions.
 *
 * Load pattern: callers move between failure domains, and one region has far
 * fewer slots than its callers need while others have room. Every entry VM of
 * a region computes the same share from what it sees itself: its own rate of
 * requests, the number of entry VMs, and the time a request runs; reports of
 * load, which are late and differ between entry VMs, only push it up. The share
 * moves slowly, since the part of a region's requests that changes region in a
 * window is bounded; when servers are lost it follows at once. Pure.
 */

struct spill {
	double away;	   /**< share of objects that leave the region */
	double rate_per_s; /**< of this entry VM's requests, smoothed */
	double counted;	   /**< requests, older ones counting less */
	double counted_ms; /**< time in which they came, likewise */
	uint32_t near_slots;
	int64_t began_ms;
	int64_t updated_ms; /**< 0: no request yet */
};

struct spill_view {
	uint32_t near_slots;   /**< of the region's servers */
	uint32_t near_waiting; /**< requests that wait there, as reported */
	uint32_t far_slots;
	uint32_t far_load;
	uint32_t region_vms; /**< live entry VMs of the region, at least 1 */
	double domain_share; /**< of all failure domains, those of the region */
	bool uneven; /**< each object has one server, some get more of them */
	double fast_ms; /**< time a request runs whose object is known */
};

/** Counts one request and lets the share follow. */
void spill_request(struct spill *spill, const struct spill_view *view,
		   double shift_max_per_s, int64_t now_ms);

/**
 * @return whether requests of this object run in another region. Whole objects
 * leave, so that servers here and there know fewer of them.
 */
bool spill_goes_away(const struct spill *spill, uint64_t object_hash);

#endif
