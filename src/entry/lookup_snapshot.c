#include "entry/lookup_snapshot.h"

#include <stdlib.h>
#include <string.h>

struct lookup_snapshot_cache {
	pthread_mutex_t lock;
	struct lookup_snapshot *snapshot;
};

struct lookup_snapshot_cache *lookup_snapshot_cache_new(void)
{
	struct lookup_snapshot_cache *cache = calloc(1, sizeof(*cache));

	if (cache)
		pthread_mutex_init(&cache->lock, NULL);
	return cache;
}

void lookup_snapshot_unref(struct lookup_snapshot *snapshot)
{
	uint32_t i;

	if (!snapshot ||
	    __atomic_sub_fetch(&snapshot->references, 1, __ATOMIC_ACQ_REL))
		return;
	for (i = 0; i < DOCUMENT_REGIONS_MAX; i++)
		free(snapshot->regions[i].candidates);
	peer_view_unref(snapshot->view);
	current_unref(snapshot->current_doc);
	free(snapshot);
}

void lookup_snapshot_cache_free(struct lookup_snapshot_cache *cache)
{
	if (!cache)
		return;
	lookup_snapshot_unref(cache->snapshot);
	pthread_mutex_destroy(&cache->lock);
	free(cache);
}

static bool is_eligible_entry(const struct document *doc,
			      const struct member *member)
{
	return member->state == MEMBER_LIVE &&
	       !(member->flags & MEMBER_LEAVING) &&
	       !document_is_entry_leaving(doc, member->name);
}

static void add_member(struct lookup_snapshot *snapshot, uint32_t index)
{
	const struct member *member = &snapshot->view->members[index];
	int region = document_region_index_of_domain(snapshot->current_doc->doc,
						     member->failure_domain);
	struct lookup_snapshot_region *region_entries;
	struct rank_candidate *candidate;

	if (region < 0 || !is_eligible_entry(snapshot->current_doc->doc, member))
		return;
	region_entries = &snapshot->regions[region];
	if (!region_entries->candidates)
		region_entries->candidates =
			calloc(snapshot->view->member_count,
			       sizeof(*region_entries->candidates));
	if (!region_entries->candidates)
		return;
	candidate =
		&region_entries->candidates[region_entries->candidate_count++];
	candidate->name_hash = member->name_hash;
	candidate->failure_domain = (uint32_t)rank_hash(member->failure_domain);
	candidate->index = index;
	snapshot->regions_with_entry |= 1ULL << region;
}

static void add_servers(struct lookup_snapshot *snapshot)
{
	const struct document *doc = snapshot->current_doc->doc;
	uint32_t i, k;

	for (i = 0; i < doc->backend_count; i++) {
		const struct doc_backend *backend = &doc->backends[i];
		int region =
			document_region_index_of_domain(doc,
							backend->failure_domain);

		for (k = 0; !backend->leaving && k < doc->service_count; k++)
			if (!strcmp(doc->services[k].name, backend->service))
				snapshot->regions_with_server[k] |= 1ULL
								    << region;
	}
}

/** Takes ownership of both references. */
static struct lookup_snapshot *snapshot_new(struct entry *entry,
					    struct current_document *current_doc,
					    struct peer_view *view)
{
	struct lookup_snapshot *snapshot = calloc(1, sizeof(*snapshot));
	uint32_t i;

	if (!snapshot) {
		peer_view_unref(view);
		current_unref(current_doc);
		return NULL;
	}
	snapshot->current_doc = current_doc;
	snapshot->view = view;
	snapshot->references = 1;
	snapshot->own_region =
		document_region_index_of_domain(current_doc->doc,
						entry->settings.failure_domain);
	for (i = 0; i < view->member_count; i++)
		add_member(snapshot, i);
	add_servers(snapshot);
	return snapshot;
}

struct lookup_snapshot *lookup_snapshot_get(struct entry *entry)
{
	struct lookup_snapshot_cache *cache = entry->lookup_snapshots;
	struct current_document *current_doc = current_get(entry->current);
	struct peer_view *view;
	struct lookup_snapshot *snapshot;

	if (!current_doc)
		return NULL;
	view = peer_view_get(entry->peer);
	pthread_mutex_lock(&cache->lock);
	snapshot = cache->snapshot;
	if (snapshot && snapshot->current_doc == current_doc &&
	    snapshot->view == view) {
		peer_view_unref(view);
		current_unref(current_doc);
	} else {
		lookup_snapshot_unref(snapshot);
		snapshot = snapshot_new(entry, current_doc, view);
		cache->snapshot = snapshot;
	}
	if (snapshot)
		__atomic_add_fetch(&snapshot->references, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&cache->lock);
	return snapshot;
}
