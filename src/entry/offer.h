#ifndef ENTRY_OFFER_H
#define ENTRY_OFFER_H

#include "decide/rank.h"
#include "entry/entry_defs.h"

/**
 * @file
 * What look-ups may offer: the entry VMs of each region that may be named, and
 * the regions that serve each service. Worked out once for each view of the
 * fleet and document, not for each look-up. Every function may be called from
 * any thread.
 */

struct offer_region {
	struct rank_candidate *candidates; /**< `index` counts in the view */
	uint32_t candidate_count;
};

/** Read-only, reference counted. */
struct offer {
	struct current_document *held;
	struct peer_view *view;
	struct offer_region regions[DOCUMENT_REGIONS_MAX];
	uint64_t with_entry; /**< bit i: region i has an entry VM to name */
	uint64_t with_server[ENTRY_SERVICES_MAX]; /**< by service */
	int own_region;
	uint32_t references;
};

struct offer_cache;

struct offer_cache *offer_cache_new(void);
void offer_cache_free(struct offer_cache *cache);

/**
 * @return the offer for the present view and document, to be given back with
 * offer_release(); NULL while no document is in force.
 */
struct offer *offer_get(struct entry *entry);
void offer_release(struct offer *offer);

#endif
