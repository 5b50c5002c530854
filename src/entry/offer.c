#include "entry/offer.h"

#include <stdlib.h>
#include <string.h>

struct offer_cache {
	pthread_mutex_t lock;
	struct offer *offer;
};

struct offer_cache *offer_cache_new(void)
{
	struct offer_cache *cache = calloc(1, sizeof(*cache));

	if (cache)
		pthread_mutex_init(&cache->lock, NULL);
	return cache;
}

void offer_release(struct offer *offer)
{
	uint32_t i;

	if (!offer || __atomic_sub_fetch(&offer->references, 1, __ATOMIC_ACQ_REL))
		return;
	for (i = 0; i < DOCUMENT_REGIONS_MAX; i++)
		free(offer->regions[i].candidates);
	peer_view_release(offer->view);
	current_release(offer->held);
	free(offer);
}

void offer_cache_free(struct offer_cache *cache)
{
	if (!cache)
		return;
	offer_release(cache->offer);
	pthread_mutex_destroy(&cache->lock);
	free(cache);
}

static bool is_offered(const struct document *doc, const struct member *member)
{
	return member->state == MEMBER_LIVE &&
	       !(member->flags & MEMBER_LEAVING) &&
	       !document_entry_leaving(doc, member->name);
}

static void add_member(struct offer *offer, uint32_t index)
{
	const struct member *member = &offer->view->members[index];
	int region = document_region_of_domain(offer->held->doc,
					       member->failure_domain);
	struct offer_region *place;
	struct rank_candidate *candidate;

	if (region < 0 || !is_offered(offer->held->doc, member))
		return;
	place = &offer->regions[region];
	if (!place->candidates)
		place->candidates = calloc(offer->view->member_count,
					   sizeof(*place->candidates));
	if (!place->candidates)
		return;
	candidate = &place->candidates[place->candidate_count++];
	candidate->name_hash = member->name_hash;
	candidate->failure_domain = (uint32_t)rank_hash(member->failure_domain);
	candidate->index = index;
	offer->with_entry |= 1ULL << region;
}

static void add_servers(struct offer *offer)
{
	const struct document *doc = offer->held->doc;
	uint32_t i, k;

	for (i = 0; i < doc->backend_count; i++) {
		const struct doc_backend *backend = &doc->backends[i];
		int region =
			document_region_of_domain(doc, backend->failure_domain);

		for (k = 0; !backend->leaving && k < doc->service_count; k++)
			if (!strcmp(doc->services[k].name, backend->service))
				offer->with_server[k] |= 1ULL << region;
	}
}

/** Takes over both references. */
static struct offer *make(struct entry *entry, struct current_document *held,
			  struct peer_view *view)
{
	struct offer *offer = calloc(1, sizeof(*offer));
	uint32_t i;

	if (!offer) {
		peer_view_release(view);
		current_release(held);
		return NULL;
	}
	offer->held = held;
	offer->view = view;
	offer->references = 1;
	offer->own_region =
		document_region_of_domain(held->doc,
					  entry->settings.failure_domain);
	for (i = 0; i < view->member_count; i++)
		add_member(offer, i);
	add_servers(offer);
	return offer;
}

struct offer *offer_get(struct entry *entry)
{
	struct offer_cache *cache = entry->offers;
	struct current_document *held = current_get(entry->current);
	struct peer_view *view;
	struct offer *offer;

	if (!held)
		return NULL;
	view = peer_view_get(entry->peer);
	pthread_mutex_lock(&cache->lock);
	offer = cache->offer;
	if (offer && offer->held == held && offer->view == view) {
		peer_view_release(view);
		current_release(held);
	} else {
		offer_release(offer);
		offer = make(entry, held, view);
		cache->offer = offer;
	}
	if (offer)
		__atomic_add_fetch(&offer->references, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&cache->lock);
	return offer;
}
