#include "decide/spill.h"

#include <math.h>
#include <xxhash.h>

#include "base/clock.h"

/* Part of the region's slots that its requests fill: above it, requests wait
 * for each other. */
#define NEAR_UTILISATION 0.7
/* Other regions take no more when this part of their slots is filled. */
#define FAR_UTILISATION 0.85
/* The rate of requests is averaged over this time. */
#define RATE_TIME_MS 5000.0
/* The share is left alone until a rate can be told from so much time. */
#define LEARN_MS 2000
#define UTILISATION_ASSUMED 0.4
/* Requests waiting at the region's servers, for each slot, above which the share
 * rises whatever the rates say. */
#define WAITING_MAX 0.3
/* Part of the average that one answer changes. */
#define ANSWER_WEIGHT 0.02

/* Apart from the hash that ranks servers, so that the objects that leave come
 * from all of them. */
#define OBJECT_SEED 0x5b111

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

static double target_share(const struct spill *spill,
			   const struct spill_view *view)
{
	double demand = spill->rate_per_s * view->region_vms *
			spill->service_ms / (double)MS_PER_S;
	double room = FAR_UTILISATION * view->far_slots - view->far_load;

	if (!view->near_slots)
		return 1;
	if (!view->far_slots || demand <= 0)
		return 0;
	room = clamp(room, 0, room) + spill->share * demand;
	return clamp(1 - NEAR_UTILISATION * view->near_slots / demand, 0,
		     clamp(room / demand, 0, 1));
}

/* Before any rate is known: callers are taken to be spread evenly over failure
 * domains, and to fill a usual part of all slots. */
static double first_share(const struct spill_view *view)
{
	double filled;

	if (!view->near_slots || !view->far_slots)
		return view->near_slots ? 0 : 1;
	filled = UTILISATION_ASSUMED * view->domain_share *
		 (view->near_slots + view->far_slots) / view->near_slots;
	return clamp(1 - NEAR_UTILISATION / filled, 0, 1);
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

void spill_request(struct spill *spill, const struct spill_view *view,
		   double shift_max_per_s, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - spill->updated_ms);
	bool lost = view->near_slots < spill->near_slots;
	double target;
	double step;

	if (!spill->updated_ms) {
		spill->began_ms = now_ms;
		spill->share = first_share(view);
		spill->service_ms = view->service_ms_assumed;
		passed_ms = 0;
		lost = false;
	}
	count_request(spill, passed_ms);
	spill->updated_ms = now_ms;
	spill->near_slots = view->near_slots;
	if (now_ms - spill->began_ms < LEARN_MS && !lost)
		return;
	step = shift_max_per_s * clamp(passed_ms, 0, MS_PER_S) / MS_PER_S;
	target = target_share(spill, view);
	if (view->near_waiting > WAITING_MAX * view->near_slots &&
	    view->far_load < FAR_UTILISATION * view->far_slots)
		target = clamp(spill->share + step, target, 1);
	if (lost)
		step = 1;
	spill->share = clamp(target, spill->share - step, spill->share + step);
}

void spill_answer(struct spill *spill, int64_t ran_ms)
{
	if (spill->service_ms > 0)
		spill->service_ms +=
			ANSWER_WEIGHT * ((double)ran_ms - spill->service_ms);
}

bool spill_goes_away(const struct spill *spill, uint64_t object_hash)
{
	uint64_t hash = XXH3_64bits_withSeed(&object_hash, sizeof(object_hash),
					     OBJECT_SEED);

	return (double)(hash >> 11) / 9007199254740992.0 < spill->share;
}
