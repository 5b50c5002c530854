#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "peer/peer_internal.h"

/**
 * @file
 * The snapshot of the fleet that the peer thread publishes for other threads.
 */

static void add_versions(struct peer_view *view,
			 const struct member_version_count *versions,
			 uint32_t count)
{
	uint32_t i, k;

	for (i = 0; i < count; i++) {
		for (k = 0; k < view->version_count; k++)
			if (view->versions[k].version == versions[i].version)
				break;
		if (k == MEMBER_VERSIONS_MAX)
			continue;
		if (k == view->version_count)
			view->versions[view->version_count++].version =
				versions[i].version;
		view->versions[k].count += versions[i].count;
	}
}

static uint32_t count_members(const struct peer *peer)
{
	uint32_t count = member_count(peer->table);
	uint32_t i;

	for (i = 0; i < peer->domains.count; i++)
		count += peer->domains.domains[i]->member_count;
	return count;
}

static void add_domain(struct peer_view *view, const struct domain *domain)
{
	uint32_t i;

	for (i = 0; i < domain->member_count; i++) {
		struct member *member = &view->members[view->member_count++];

		*member = domain->members[i];
		member->state = domain->reachable ? MEMBER_LIVE : MEMBER_DEAD;
	}
	if (domain->reachable)
		add_versions(view, domain->versions, domain->version_count);
}

static void set_gauges(const struct peer_view *view)
{
	int64_t live = 0;
	int64_t suspect = 0;
	uint32_t i;

	for (i = 0; i < view->member_count; i++) {
		live += view->members[i].state == MEMBER_LIVE;
		suspect += view->members[i].state == MEMBER_SUSPECT;
	}
	gauge_set(GAUGE_MEMBERS_LIVE, live);
	gauge_set(GAUGE_MEMBERS_SUSPECT, suspect);
}

struct peer_view *peer_view_get(struct peer *peer)
{
	struct peer_view *view;

	pthread_mutex_lock(&peer->lock);
	view = peer->view;
	__atomic_add_fetch(&view->references, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&peer->lock);
	return view;
}

void peer_view_unref(struct peer_view *view)
{
	if (!view || __atomic_sub_fetch(&view->references, 1, __ATOMIC_ACQ_REL))
		return;
	free(view->members);
	free(view);
}

void peer_view_rebuild(struct peer *peer)
{
	struct peer_view *view = calloc(1, sizeof(*view));
	struct member_version_count versions[MEMBER_VERSIONS_MAX];
	struct peer_view *old;
	uint32_t i;

	if (!view)
		return;
	view->references = 1;
	view->members = calloc(count_members(peer), sizeof(*view->members));
	if (!view->members) {
		free(view);
		return;
	}
	for (i = 0; i < member_count(peer->table); i++)
		view->members[view->member_count++] = *member_at(peer->table, i);
	add_versions(view, versions,
		     member_count_versions(peer->table, versions,
					   MEMBER_VERSIONS_MAX));
	for (i = 0; i < peer->domains.count; i++)
		if (strcmp(peer->domains.domains[i]->name,
			   member_at(peer->table, 0)->failure_domain))
			add_domain(view, peer->domains.domains[i]);
	set_gauges(view);
	pthread_mutex_lock(&peer->lock);
	old = peer->view;
	peer->view = view;
	pthread_mutex_unlock(&peer->lock);
	peer_view_unref(old);
	peer->view_stale = false;
}
