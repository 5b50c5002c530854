#include "decide/spill.h"

#include <math.h>
#include <xxhash.h>

#include "base/clock.h"

/* Part of a region's slots that its requests fill: above it, they wait for each
 * other. Objects fall unevenly on servers: the fullest has about twice the
 * mean, and must not queue. */
#define UTILISATION_EVEN 0.7
#define UTILISATION_UNEVEN 0.45
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
/* Apart from the hash that ranks servers, so that the objects that leave come
 * from all of them. */
#define OBJECT_SEED 0x5b111

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

/* The share that leaves so much in the region as it has room for, as far as
 * other regions can take the rest beside what they already have. */
static double share_for(const struct spill_view *view, double demand,
			double away_now)
{
	double keep = view->near_slots *
		      (view->uneven ? UTILISATION_UNEVEN : UTILISATION_EVEN);
	double room;

	if (!view->near_slots)
		return 1;
	if (!view->far_slots || demand <= 0)
		return 0;
	room = fmax(0, FAR_UTILISATION_MAX * view->far_slots - view->far_load) +
	       away_now * demand;
	return clamp(1 - keep / demand, 0, clamp(room / demand, 0, 1));
}

/* Before any rate is known: callers are taken to be spread evenly over failure
 * domains, and to fill a usual part of all slots. */
static double first_share(const struct spill_view *view)
{
	return share_for(view,
			 UTILISATION_ASSUMED * view->domain_share *
				 (view->near_slots + view->far_slots),
			 0);
}

static void count_request(struct spill *spill, double passed_ms)
{
	double kept = exp(-passed_ms / RATE_TIME_MS);

	spill->counted = spill->counted * kept + 1;
	spill->counted_ms = spill->counted_ms * kept + RATE_TIME_MS * (1 - kept);
	spill->rate_per_s =
		spill->counted * (double)MS_PER_S / (spill->counted_ms + 1);
}

static void follow(struct spill *spill, const struct spill_view *view,
		   double passed_s, double shift_max_per_s, bool lost)
{
	double step = shift_max_per_s * passed_s;
	double target = share_for(view,
				  spill->rate_per_s * view->region_vms *
					  view->fast_ms / (double)MS_PER_S,
				  spill->away);

	if (view->near_waiting > WAITING_MAX * view->near_slots &&
	    view->far_load < FAR_UTILISATION_MAX * view->far_slots)
		target = fmax(target, spill->away + step);
	if (lost)
		step = 1;
	spill->away = clamp(clamp(target, spill->away - step, spill->away + step),
			    0, 1);
}

void spill_request(struct spill *spill, const struct spill_view *view,
		   double shift_max_per_s, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - spill->updated_ms);
	bool lost = view->near_slots < spill->near_slots;

	if (!spill->updated_ms) {
		spill->away = first_share(view);
		spill->began_ms = now_ms;
		passed_ms = 0;
		lost = false;
	}
	count_request(spill, passed_ms);
	spill->updated_ms = now_ms;
	spill->near_slots = view->near_slots;
	if (now_ms - spill->began_ms >= LEARN_MS || lost)
		follow(spill, view, clamp(passed_ms / MS_PER_S, 0, 1),
		       shift_max_per_s, lost);
}

bool spill_goes_away(const struct spill *spill, uint64_t object_hash)
{
	uint64_t hash = XXH3_64bits_withSeed(&object_hash, sizeof(object_hash),
					     OBJECT_SEED);

	return (double)(hash >> 11) / 9007199254740992.0 < spill->away;
}
