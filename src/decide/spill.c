#include "decide/spill.h"

#include <math.h>
#include <xxhash.h>

#include "base/clock.h"

/* Part of the slots that requests fill: above it, they wait for each other. */
#define UTILISATION_MAX 0.7
/* Other regions take no more when this part of their slots is filled. */
#define FAR_UTILISATION_MAX 0.85
/* The rate of requests is averaged over this time. */
#define RATE_TIME_MS 5000.0
/* The shares are left alone until a rate can be told from so much time. */
#define LEARN_MS 2000
/* Before any rate is known, this part of all slots is taken to be filled. */
#define UTILISATION_ASSUMED 0.4
/* Requests waiting at the region's servers, for each slot, above which more
 * objects leave whatever the rates say. */
#define WAITING_MAX 0.3
/* Objects that change failure domain within the region in a second. Each has to
 * be learnt anew by its server. */
#define INSIDE_STEP_PER_S 0.1
/* Apart from the hash that ranks servers, so that the objects that leave come
 * from all of them. */
#define OBJECT_SEED 0x5b111

struct shares {
	double away;
	double inside;
};

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

static uint32_t region_slots(const struct spill_view *view)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < view->domain_count; i++)
		slots += view->domains[i].slots;
	return slots;
}

/* Each failure domain keeps what it has room for; what is left over goes where
 * the region has room, and the rest leaves it. */
static struct shares shares_for(const struct spill_view *view, double vm_demand,
				double away_now)
{
	struct shares shares = { 0, 1 };
	double room = 0;
	double left_over = 0;
	double own = vm_demand * view->domains[0].vms;
	double kept = fmin(own, UTILISATION_MAX * view->domains[0].slots);
	double far_room;
	double far_demand;
	uint32_t i;

	if (own <= 0)
		return shares;
	for (i = 0; i < view->domain_count; i++) {
		double demand = vm_demand * view->domains[i].vms;
		double slots = UTILISATION_MAX * view->domains[i].slots;

		room += fmax(0, slots - demand);
		left_over += fmax(0, demand - slots);
	}
	shares.inside = kept / own;
	if (left_over <= room)
		return shares;
	shares.away = (1 - shares.inside) * (1 - room / left_over);
	/* what other regions can take beside what they already have */
	far_demand = fmax(shares.away * own, 1e-9);
	far_room = fmax(0, FAR_UTILISATION_MAX * view->far_slots -
				   view->far_load) +
		   away_now * own;
	shares.away *= clamp(far_room / far_demand, 0, 1);
	return shares;
}

static struct shares first_shares(const struct spill_view *view)
{
	double slots = region_slots(view);
	double demand = UTILISATION_ASSUMED * view->domain_share *
			(slots + view->far_slots);
	double vms = 0;
	uint32_t i;

	for (i = 0; i < view->domain_count; i++)
		vms += view->domains[i].vms;
	return shares_for(view, vms > 0 ? demand / vms : 0, 0);
}

static void count_request(struct spill *spill, double passed_ms)
{
	double kept = exp(-passed_ms / RATE_TIME_MS);

	spill->counted = spill->counted * kept + 1;
	spill->counted_ms = spill->counted_ms * kept +
			    RATE_TIME_MS * (1 - kept);
	spill->rate_per_s = spill->counted * (double)MS_PER_S /
			    (spill->counted_ms + 1);
}

static void follow(struct spill *spill, const struct spill_view *view,
		   double passed_s, double shift_max_per_s, bool lost)
{
	double away_step = lost ? 1 : shift_max_per_s * passed_s;
	double inside_step = lost ? 1 : INSIDE_STEP_PER_S * passed_s;
	struct shares target = shares_for(
		view, spill->rate_per_s * view->fast_ms / (double)MS_PER_S,
		spill->away);

	if (view->region_waiting > WAITING_MAX * spill->region_slots &&
	    view->far_load < FAR_UTILISATION_MAX * view->far_slots)
		target.away = fmax(target.away, spill->away + away_step);
	spill->away = clamp(target.away, spill->away - away_step,
			    spill->away + away_step);
	spill->inside = clamp(target.inside, spill->inside - inside_step,
			      spill->inside + inside_step);
}

void spill_request(struct spill *spill, const struct spill_view *view,
		   double shift_max_per_s, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - spill->updated_ms);
	uint32_t slots = region_slots(view);
	bool lost = slots < spill->region_slots;
	struct shares first;

	if (!spill->updated_ms) {
		first = first_shares(view);
		spill->away = first.away;
		spill->inside = first.inside;
		spill->began_ms = now_ms;
		passed_ms = 0;
		lost = false;
	}
	count_request(spill, passed_ms);
	spill->updated_ms = now_ms;
	spill->region_slots = slots;
	if (now_ms - spill->began_ms >= LEARN_MS || lost)
		follow(spill, view, clamp(passed_ms / MS_PER_S, 0, 1),
		       shift_max_per_s, lost);
}

enum place_tier spill_tier(const struct spill *spill, uint64_t object_hash)
{
	uint64_t hash = XXH3_64bits_withSeed(&object_hash, sizeof(object_hash),
					     OBJECT_SEED);
	double unit = (double)(hash >> 11) / 9007199254740992.0;

	if (unit < spill->away)
		return PLACE_FAR;
	/* the failure domain's share is taken from the other end, so that no
	 * object passes through it when the region's share moves */
	return unit >= 1 - spill->inside ? PLACE_DOMAIN : PLACE_REGION;
}
