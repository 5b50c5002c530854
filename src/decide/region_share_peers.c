#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "decide/region_share_internal.h"

/* Utilization of a region's slots above which requests leave it. */
#define UTILIZATION_TARGET 0.75
/* Weight of one request's end in a region's smoothed trouble, and the time
 * after which trouble without further requests is forgotten. */
#define TROUBLE_WEIGHT 0.05
#define TROUBLE_TIME_CONSTANT_MS 10000.0
/* Trouble above which fewer objects go to a region, and below which more do. */
#define TROUBLE_HIGH 0.2
#define TROUBLE_LOW 0.05
#define ACCEPTANCE_FALL_PER_S 0.1
#define ACCEPTANCE_RISE_PER_S 0.02
#define ACCEPTANCE_MIN 0.1
/* Weight for each slot of a region without spare ones. */
#define WEIGHT_MIN_PER_SLOT 1e-9
/* Makes the hash independent of those that rank servers and VMs. */
#define REGION_SEED 0x5b112

static struct region_share_peer *find_peer(struct region_share *share,
					   const char *name)
{
	uint32_t i;

	for (i = 0; i < share->peer_count; i++)
		if (!strcmp(share->peers[i].name, name))
			return &share->peers[i];
	return NULL;
}

double region_share_utilization(const struct region_share *share,
				const struct region_share_view *view,
				double demand)
{
	double slots = view->local_slots;
	double sum = demand + share->usual_demand * view->region_count;
	uint32_t i;

	for (i = 0; i < view->region_count; i++)
		slots += view->regions[i].slots;
	return slots > 0 ? fmax(UTILIZATION_TARGET, sum / slots) : 0;
}

double region_share_spare_slots(const struct region_share *share,
				const struct region_share_peer *peer, double used)
{
	return fmax(0, used * peer->slots - share->usual_demand);
}

static void update_peer(struct region_share_peer *peer, double elapsed_s,
			int64_t now_ms)
{
	double trouble =
		peer->trouble * exp(-(double)(now_ms - peer->trouble_ms) /
				    TROUBLE_TIME_CONSTANT_MS);

	if (trouble > TROUBLE_HIGH)
		peer->acceptance -= ACCEPTANCE_FALL_PER_S * elapsed_s;
	else if (trouble < TROUBLE_LOW)
		peer->acceptance += ACCEPTANCE_RISE_PER_S * elapsed_s;
	peer->acceptance =
		region_share_clamp(peer->acceptance, ACCEPTANCE_MIN, 1);
}

void region_share_update_acceptance(struct region_share *share,
				    double elapsed_s, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < share->peer_count; i++)
		update_peer(&share->peers[i], elapsed_s, now_ms);
}

void region_share_list_regions(struct region_share *share,
			       const struct region_share_view *view)
{
	uint32_t i;

	for (i = 0; i < share->peer_count; i++)
		share->peers[i].slots = 0;
	for (i = 0; i < view->region_count; i++) {
		const struct region_share_region *region = &view->regions[i];
		struct region_share_peer *peer = find_peer(share, region->name);

		if (!peer) {
			if (share->peer_count == REGION_SHARE_REGIONS_MAX)
				return;
			peer = &share->peers[share->peer_count++];
			peer->name = region->name;
			peer->acceptance = 1;
		}
		peer->slots = region->slots;
	}
}

/* Weights by spare slots; by all slots if no region has spare ones. */
static void wanted_weights(const struct region_share *share,
			   const struct region_share_view *view, double *wanted)
{
	double demand = share->demand > 0 ? share->demand : share->usual_demand;
	double used = region_share_utilization(share, view, demand);
	double sum = 0;
	double slots = 0;
	uint32_t i;

	for (i = 0; i < share->peer_count; i++) {
		const struct region_share_peer *peer = &share->peers[i];

		wanted[i] = region_share_spare_slots(share, peer, used) *
			    peer->acceptance;
		sum += wanted[i];
		slots += peer->slots * peer->acceptance;
	}
	for (i = 0; i < share->peer_count; i++) {
		const struct region_share_peer *peer = &share->peers[i];

		if (sum > 0)
			wanted[i] /= sum;
		else if (slots > 0)
			wanted[i] = peer->slots * peer->acceptance / slots;
	}
}

void region_share_move_weights(struct region_share *share,
			       const struct region_share_view *view, double step)
{
	double wanted[REGION_SHARE_REGIONS_MAX];
	double sum = 0;
	double distance = 0;
	uint32_t i;

	wanted_weights(share, view, wanted);
	for (i = 0; i < share->peer_count; i++) {
		if (!share->peers[i].slots)
			share->peers[i].weight = 0;
		sum += share->peers[i].weight;
	}
	for (i = 0; i < share->peer_count; i++) {
		if (sum > 0)
			share->peers[i].weight /= sum;
		distance += fabs(wanted[i] - share->peers[i].weight) / 2;
	}
	if (sum <= 0 || distance < step)
		step = distance;
	for (i = 0; distance > 0 && i < share->peer_count; i++)
		share->peers[i].weight +=
			(wanted[i] - share->peers[i].weight) * step / distance;
}

const char *
region_share_select(const struct region_share *share, uint64_t object_hash,
		    bool (*allowed)(const char *region, const void *context),
		    const void *context)
{
	const char *best = NULL;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < share->peer_count; i++) {
		const struct region_share_peer *peer = &share->peers[i];
		uint64_t pair[2] = { object_hash, 0 };
		double score;

		if (!peer->slots || (allowed && !allowed(peer->name, context)))
			continue;
		pair[1] = XXH3_64bits(peer->name, strlen(peer->name));
		/* without a weight, a region is used if no other may be */
		score = fmax(peer->weight, WEIGHT_MIN_PER_SLOT * peer->slots) /
			-log(region_share_unit_hash(
				XXH3_64bits_withSeed(pair, sizeof(pair),
						     REGION_SEED)));
		if (score > best_score) {
			best_score = score;
			best = peer->name;
		}
	}
	return best;
}

void region_share_record_end(struct region_share *share, const char *region,
			     enum region_share_end end, int64_t now_ms)
{
	static const double troubles[] = {
		[REGION_SHARE_IN_TIME] = 0,
		[REGION_SHARE_LATE] = 0.5,
		[REGION_SHARE_REFUSED] = 1,
	};
	struct region_share_peer *peer = find_peer(share, region);

	if (!peer)
		return;
	peer->trouble *= exp(-(double)(now_ms - peer->trouble_ms) /
			     TROUBLE_TIME_CONSTANT_MS);
	peer->trouble += (troubles[end] - peer->trouble) * TROUBLE_WEIGHT;
	peer->trouble_ms = now_ms;
}
