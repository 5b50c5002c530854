#ifndef DECIDE_REGION_SHARE_INTERNAL_H
#define DECIDE_REGION_SHARE_INTERNAL_H

#include "decide/region_share.h"

/** @file Declarations shared by the source files of region_share. */

static inline double region_share_clamp(double value, double low, double high)
{
	if (value < low)
		return low;
	return value > high ? high : value;
}

/** @return a number between 0 and 1, both excluded. */
static inline double region_share_unit_hash(uint64_t hash)
{
	return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

/** @return the utilization that all regions can have: more than the target only
 * if the assumed demand of all exceeds it. */
double region_share_utilization(const struct region_share *share,
				const struct region_share_view *view,
				double demand);

/** @return the slots that a region does not need itself at this utilization. */
double region_share_spare_slots(const struct region_share *share,
				const struct region_share_peer *peer,
				double used);

/** Uses less of the spare slots of regions that refuse or answer late, and more
 * of the others'. */
void region_share_update_acceptance(struct region_share *share,
				    double elapsed_s, int64_t now_ms);

/** Moves the weights by no more than `step` in sum; a region without servers
 * loses its weight at once. */
void region_share_move_weights(struct region_share *share,
			       const struct region_share_view *view, double step);

#endif
