#ifndef ENTRY_LOOKUP_SNAPSHOT_H
#define ENTRY_LOOKUP_SNAPSHOT_H

#include "decide/rank.h"
#include "entry/entry_defs.h"

/**
 * @file
 * The data that look-ups are decided on: the entry VMs of each region that may
 * be returned, and the regions that serve each service. Computed once for each
 * view of the fleet and document rather than for each look-up. Every function
 * may be called from any thread.
 */

struct lookup_snapshot_region {
	struct rank_candidate *candidates; /**< `index` is that in the view */
	uint32_t candidate_count;
};

/** A snapshot. Read-only, reference counted. */
struct lookup_snapshot {
	struct current_document *current_doc;
	struct peer_view *view;
	struct lookup_snapshot_region regions[DOCUMENT_REGIONS_MAX];
	uint64_t regions_with_entry; /**< bit i: region i has an entry VM */
	uint64_t regions_with_server[ENTRY_SERVICES_MAX]; /**< per service */
	int own_region; /**< of this VM; -1: not in the document */
	uint32_t references;
};

struct lookup_snapshot_cache;

struct lookup_snapshot_cache *lookup_snapshot_cache_new(void);
void lookup_snapshot_cache_free(struct lookup_snapshot_cache *cache);

/**
 * @return the snapshot of the current view and document, with a reference to be
 * dropped by lookup_snapshot_unref(); NULL while no document is in force or
 * without memory.
 */
struct lookup_snapshot *lookup_snapshot_get(struct entry *entry);
void lookup_snapshot_unref(struct lookup_snapshot *snapshot);

#endif
