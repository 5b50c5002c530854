#include "decide/spillover.h"

#include <math.h>
#include <xxhash.h>

#include "base/clock.h"

/* Target utilisation of a region's slots; above it, requests queue. Objects are
 * distributed unevenly over servers: the busiest server has about twice the
 * mean load and must not queue either. */
#define UTILISATION_EVEN 0.7
#define UTILISATION_UNEVEN 0.45
/* Utilisation above which other regions get no more spillover. */
#define REMOTE_UTILISATION_MAX 0.85
/* Time constant of the average of the request rate. */
#define RATE_TIME_CONSTANT_MS 5000.0
/* Observation time before the rate is used to adjust the share. */
#define RATE_SETTLE_MS 2000
/* Utilisation of all slots that is assumed before the rate is known. */
#define UTILISATION_ASSUMED 0.4
/* Queued requests per slot of the region above which the share grows regardless
 * of the request rate. */
#define WAITING_MAX 0.3
/* The share falls this much slower than it rises. Every object that changes
 * region runs slowly on its next server, and a small region that takes back its
 * objects in each lull caches none of them for long. */
#define FALL_FRACTION 0.1
/* Makes the hash independent of the one that ranks servers, so that the objects
 * for other regions are taken evenly from all servers. */
#define OBJECT_SEED 0x5b111

static double clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

/**
 * @param demand slots that the region's requests need.
 * @return the share of objects that keeps the region at its target utilisation,
 * limited by the free capacity of other regions.
 */
static double remote_share_for(const struct spillover_view *view, double demand,
			       double current_share)
{
	double local_capacity =
		(view->local_slots - view->local_unused_slots) *
		(view->uneven ? UTILISATION_UNEVEN : UTILISATION_EVEN);
	double remote_capacity;

	if (!view->local_slots)
		return 1;
	if (!view->remote_slots || demand <= 0)
		return 0;
	remote_capacity = fmax(0, REMOTE_UTILISATION_MAX * view->remote_slots -
					  view->remote_load) +
			  current_share * demand;
	return clamp(1 - local_capacity / demand, 0,
		     clamp(remote_capacity / demand, 0, 1));
}

static struct spillover_view without_limits(const struct spillover_view *view)
{
	struct spillover_view unlimited = *view;

	unlimited.local_unused_slots = 0;
	return unlimited;
}

/* Share before the request rate is known: assumes that callers are spread
 * evenly over failure domains and use UTILISATION_ASSUMED of all slots. Limits
 * of servers are left out: compared with assumed demand, they would send nearly
 * everything away, and the share falls slowly. */
static double initial_share(const struct spillover_view *view)
{
	const struct spillover_view unlimited = without_limits(view);

	return remote_share_for(&unlimited,
				UTILISATION_ASSUMED * view->domain_share *
					(view->local_slots + view->remote_slots),
				0);
}

static void count_request(struct spillover *spillover, double elapsed_ms)
{
	double decay = exp(-elapsed_ms / RATE_TIME_CONSTANT_MS);

	spillover->weighted_count = spillover->weighted_count * decay + 1;
	spillover->weighted_ms = spillover->weighted_ms * decay +
				 RATE_TIME_CONSTANT_MS * (1 - decay);
	spillover->rate_per_s = spillover->weighted_count * (double)MS_PER_S /
				(spillover->weighted_ms + 1);
}

/* @param rise how much the share grows if requests wait.
 * @param step how much it may change. */
static void move_share(struct spillover *spillover,
		       const struct spillover_view *view, double rise,
		       double step)
{
	double target =
		remote_share_for(view,
				 spillover->rate_per_s * view->region_vms *
					 view->fast_ms / (double)MS_PER_S,
				 spillover->remote_share);

	if (view->local_waiting > WAITING_MAX * view->local_slots &&
	    view->remote_load < REMOTE_UTILISATION_MAX * view->remote_slots)
		target = fmax(target, spillover->remote_share + rise);
	spillover->remote_share =
		clamp(clamp(target, spillover->remote_share - step * FALL_FRACTION,
			    spillover->remote_share + step),
		      0, 1);
}

static void adjust_share(struct spillover *spillover,
			 const struct spillover_view *view, double elapsed_s,
			 double shift_max_per_s, bool servers_lost)
{
	const struct spillover_view unlimited = without_limits(view);
	double step = shift_max_per_s * elapsed_s;

	/* only what lost servers did moves at once, not what limits keep from
	 * the others */
	if (servers_lost)
		move_share(spillover, &unlimited, step, 1);
	else
		move_share(spillover, view, step, step);
}

void spillover_count_request(struct spillover *spillover,
			     const struct spillover_view *view,
			     double shift_max_per_s, int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - spillover->updated_ms);
	bool servers_lost = view->local_slots < spillover->local_slots;

	if (!spillover->updated_ms) {
		spillover->remote_share = initial_share(view);
		spillover->began_ms = now_ms;
		elapsed_ms = 0;
		servers_lost = false;
	}
	count_request(spillover, elapsed_ms);
	spillover->updated_ms = now_ms;
	spillover->local_slots = view->local_slots;
	if (now_ms - spillover->began_ms >= RATE_SETTLE_MS || servers_lost)
		adjust_share(spillover, view, clamp(elapsed_ms / MS_PER_S, 0, 1),
			     shift_max_per_s, servers_lost);
}

bool spillover_is_remote(const struct spillover *spillover, uint64_t object_hash)
{
	uint64_t hash = XXH3_64bits_withSeed(&object_hash, sizeof(object_hash),
					     OBJECT_SEED);

	return (double)(hash >> 11) / 9007199254740992.0 <
	       spillover->remote_share;
}
