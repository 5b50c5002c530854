#include "decide/cold_share.h"

#include <math.h>

#include "base/clock.h"

/* Fraction of the limit that an assigned VM uses: while the list of VMs
 * changes, two VMs may take themselves for the assigned one. */
#define ASSIGNED_PART 0.5
/* Makes the interval longer by what requests on their way may be late. */
#define ASSIGNED_INTERVAL_FACTOR 1.05

static uint32_t assigned_interval_ms(double limit_per_s)
{
	const uint32_t allowed = (uint32_t)(limit_per_s * ASSIGNED_PART);

	if (!allowed)
		return 0;
	return (uint32_t)ceil(ASSIGNED_INTERVAL_FACTOR * MS_PER_S / allowed);
}

uint32_t cold_share_min_interval_ms(const struct sender_rank *rank,
				    double limit_per_s)
{
	const uint32_t allowed =
		(uint32_t)(limit_per_s * COLD_SHARE_SAFETY_FACTOR);
	const uint32_t count = rank->local_count + rank->other_count;

	if (rank->kind == SENDER_ASSIGNED)
		return assigned_interval_ms(limit_per_s);
	if (!allowed || rank->kind == SENDER_NONE)
		return 0;
	if (count <= allowed)
		return (uint32_t)MS_PER_S / (allowed / count);
	return sender_rank_ahead(rank) < allowed ? (uint32_t)MS_PER_S : 0;
}
