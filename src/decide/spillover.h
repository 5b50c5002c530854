#ifndef DECIDE_SPILLOVER_H
#define DECIDE_SPILLOVER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Spillover: selects the objects whose requests run in other regions.
 *
 * Load pattern: callers move between failure domains, and one region has far
 * fewer slots than its callers need while other regions have free slots. Every
 * entry VM of a region computes the same share of objects from its own request
 * rate, the number of entry VMs and the service time. Load reports are late and
 * differ between entry VMs; they can only increase the share. The share changes
 * slowly because the fraction of a region's requests that may change region in
 * a window is limited, but it follows a loss of servers at once.
 *
 * Load pattern: the load of a small region rises and falls in waves. The share
 * falls much slower than it rises, so that objects stay where they are cached.
 * No I/O, no locking.
 */

struct spillover {
	double remote_share; /**< share of objects that run in other regions */
	double rate_per_s;   /**< smoothed request rate of this entry VM */
	double weighted_count; /**< exponentially decayed number of requests */
	double weighted_ms;    /**< exponentially decayed observation time */
	uint32_t local_slots;  /**< at the previous request */
	int64_t began_ms;
	int64_t updated_ms; /**< 0: no request so far */
};

struct spillover_view {
	uint32_t local_slots; /**< slots of this region's servers */
	/** Of these, slots that stay empty because of limits on the rate. */
	uint32_t local_unused_slots;
	uint32_t local_waiting; /**< reported number of queued requests there */
	uint32_t remote_slots;	/**< slots of servers in other regions */
	uint32_t remote_load; /**< estimated running and queued requests there */
	uint32_t region_vms;  /**< live entry VMs of the region, at least 1 */
	double domain_share;  /**< fraction of failure domains in this region */
	bool uneven;	/**< one server per object: uneven load on servers */
	double fast_ms; /**< service time if the object is cached */
};

/**
 * Counts a request and adjusts the share.
 *
 * @param shift_max_per_s largest change of the share per second.
 */
void spillover_count_request(struct spillover *spillover,
			     const struct spillover_view *view,
			     double shift_max_per_s, int64_t now_ms);

/**
 * @return whether requests for this object run in another region. The decision
 * is made per object so that servers in either region cache fewer objects.
 */
bool spillover_is_remote(const struct spillover *spillover, uint64_t object_hash);

#endif
