#ifndef DECIDE_REGION_SHARE_H
#define DECIDE_REGION_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Selects the objects of a service whose requests run in other regions, and the
 * region of each, while requests pass through assigned entry VMs.
 *
 * Load pattern: one region has a tenth of the slots and a third of the demand,
 * and demand moves between the regions in waves. Assigned VMs balance the load
 * of their servers, so that queues at single servers do not mean that a region
 * is full: only a region's demand in slots, compared with its slots, counts.
 *
 * Demand is estimated by each VM from its own callers. Nothing is known of the
 * demand elsewhere: other regions are assumed to have the same, corrected by
 * how requests sent there end. Demand beyond the target utilization leaves by
 * route. Shares rise with the demand and fall with its peak of the last waves,
 * slowly unless the region has plenty of room, so that objects do not change
 * region in each wave. No I/O, no locking.
 */

#define REGION_SHARE_ROUTES_MAX 32
#define REGION_SHARE_REGIONS_MAX 16

/** The requests of one route to the service. */
struct region_share_route {
	uint64_t key;
	double count;	/**< exponentially decayed number of requests */
	double fast_ms; /**< service time with the object cached */
	uint32_t order; /**< routes with a lower one leave first */
	double share;	/**< fraction of its objects that leave */
};

/** Another region as a target of requests. */
struct region_share_peer {
	const char *name;
	uint32_t slots;
	double weight;	/**< fraction of the leaving objects that go there */
	double trouble; /**< smoothed fraction of refused and late requests */
	int64_t trouble_ms; /**< when it was updated */
	double acceptance;  /**< fraction of its spare slots that is used */
};

/** All zeros: no request so far. */
struct region_share {
	struct region_share_route routes[REGION_SHARE_ROUTES_MAX];
	uint32_t route_count;
	struct region_share_peer peers[REGION_SHARE_REGIONS_MAX];
	uint32_t peer_count;
	double weighted_ms;	 /**< exponentially decayed observation time */
	double demand;		 /**< of this region, in slots; 0: unknown */
	double usual_demand;	 /**< the same, averaged over waves */
	double peak_demand;	 /**< highest in the current period */
	double last_peak_demand; /**< highest in the previous period */
	int64_t period_ms;	 /**< start of the current period */
	uint32_t local_slots;	 /**< at the previous request */
	int64_t began_ms;
	int64_t counted_ms; /**< 0: no request so far */
	/** Factor of the demand, at least 1: rises while this region refuses. */
	double pressure;
	double refused; /**< exponentially decayed number of refusals */
	/** Requests that went on elsewhere in the current window. */
	uint32_t elsewhere;
	uint64_t elsewhere_window;
};

struct region_share_region {
	const char *name; /**< interned */
	uint32_t slots;	  /**< of usable servers; may be 0 */
	uint32_t rtt_ms;  /**< shortest known round trip; 0: unknown */
};

struct region_share_view {
	uint32_t local_slots; /**< slots of usable servers of this region */
	/** Of these, slots that stay empty because of limits on the rate. */
	uint32_t local_unused_slots;
	const struct region_share_region *regions; /**< all others */
	uint32_t region_count;
	uint32_t region_vms; /**< live entry VMs of this region, at least 1 */
	double shift_max_per_s; /**< largest change of a share per second */
};

struct region_share_request {
	uint64_t route_key;
	uint32_t target_ms; /**< target latency of the route */
	double fast_ms; /**< service time with the object cached; 0: unknown */
	bool large;	/**< the route has large bodies */
};

/** How a request ended that ran, or was to run, in another region. */
enum region_share_end {
	REGION_SHARE_IN_TIME,
	REGION_SHARE_LATE,    /**< later than the target latency */
	REGION_SHARE_REFUSED, /**< for lack of room */
};

/** Counts a caller's request and adjusts the shares. */
void region_share_count_request(struct region_share *share,
				const struct region_share_view *view,
				const struct region_share_request *request,
				int64_t now_ms);

/** Takes over the list of regions alone, for requests that are not counted. */
void region_share_list_regions(struct region_share *share,
			       const struct region_share_view *view);

/** @return whether an object's requests of a route run in another region. */
bool region_share_is_remote(const struct region_share *share,
			    uint64_t route_key, uint64_t object_hash);

/**
 * Selects the region for an object that leaves: weighted rendezvous, so that a
 * change of weights moves few objects.
 *
 * @param allowed whether a region may be used; NULL: all may.
 * @return the name of a region with slots, or NULL if there is none.
 */
const char *
region_share_select(const struct region_share *share, uint64_t object_hash,
		    bool (*allowed)(const char *region, const void *context),
		    const void *context);

/** Records that this region had no room for a request. */
void region_share_record_refusal(struct region_share *share);

/**
 * Decides whether a request that a region has refused for lack of room may go
 * on to another one, and counts it if so. The number is limited, because the
 * fraction of requests that changes region in a window is.
 *
 * @param vm_hash of this VM's name: VMs with few requests take turns.
 */
bool region_share_admit_elsewhere(struct region_share *share, uint64_t vm_hash,
				  int64_t now_ms);

/** Records how a request ended that was sent to another region. */
void region_share_record_end(struct region_share *share, const char *region,
			     enum region_share_end end, int64_t now_ms);

/** @return the fraction of the service's requests that leave the region. */
double region_share_total(const struct region_share *share);

#endif
