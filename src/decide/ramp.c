#include "decide/ramp.h"

#include <math.h>

/* A response is as fast as usual up to this ratio to the usual time. */
#define USUAL_RATIO 1.3
/* Above this ratio, the server has more than it can run. */
#define LATE_RATIO 2
/* Growth of the window with a response of a server that reports free slots. */
#define GROWTH_FREE 2
/* Time in which objects move to a server, beyond the ramp itself: less popular
 * ones are requested every few seconds. */
#define JOINED_MS 30000

void ramp_begin(struct ramp *ramp, int64_t now_ms, int64_t again_ms)
{
	const struct ramp begun = {
		.active = true,
		.window = 1,
		.began_ms = now_ms,
		.again_ms = again_ms > now_ms ? again_ms : 0,
	};

	*ramp = begun;
}

enum ramp_result ramp_judge(int64_t elapsed_ms, double usual_ms)
{
	if ((double)elapsed_ms > LATE_RATIO * usual_ms)
		return RAMP_LATE;
	return (double)elapsed_ms > USUAL_RATIO * usual_ms ? RAMP_SLOWER
							   : RAMP_USUAL;
}

/* Until it begins again, a ramp does not end: the limit that holds until then
 * would be followed by requests for all slots. */
static double window_max(const struct ramp *ramp, uint32_t slots)
{
	return ramp->again_ms ? (slots + 1) / 2 : slots;
}

/* The requests that were sent under the larger window say nothing of the
 * smaller one. */
static void halve(struct ramp *ramp)
{
	ramp->ignored = (uint32_t)ramp->window - 1;
	ramp->began_again = false;
	ramp->window = ramp->window / 2 < 1 ? 1 : ramp->window / 2;
	ramp->halvings++;
}

/* @return whether a response is to a request that was sent under another window
 * and tells nothing of this one. */
static bool is_ignored(struct ramp *ramp, enum ramp_result result)
{
	if (!ramp->ignored)
		return false;
	ramp->ignored--;
	if (!ramp->began_again)
		return true;
	/* sent while the server was cold: neither slow nor usual runs tell what
	 * it can take now, but its report and its refusals do */
	return result != RAMP_FREE && result < RAMP_REFUSED;
}

static double growth(enum ramp_result result)
{
	if (result == RAMP_FREE)
		return GROWTH_FREE;
	return result == RAMP_USUAL ? 1 : 0;
}

bool ramp_record(struct ramp *ramp, enum ramp_result result, uint32_t slots,
		 int64_t now_ms)
{
	if (!ramp->active)
		return false;
	if (ramp->again_ms && now_ms >= ramp->again_ms) {
		ramp->again_ms = 0;
		ramp->ignored = (uint32_t)ramp->window - 1;
		ramp->began_again = true;
		ramp->window = 1;
	}
	ramp->responses++;
	ramp->late += result == RAMP_LATE;
	if (is_ignored(ramp, result))
		return false;
	if (result >= RAMP_LATE)
		halve(ramp);
	else
		ramp->window = fmin(ramp->window + growth(result),
				    window_max(ramp, slots));
	ramp->active = ramp->again_ms || ramp->window < slots;
	return !ramp->active;
}

uint32_t ramp_window(const struct ramp *ramp, uint32_t slots)
{
	if (!ramp->active || ramp->window >= slots)
		return slots;
	return (uint32_t)ramp->window;
}

bool ramp_has_joined(const struct ramp *ramp, int64_t now_ms)
{
	return ramp->active ||
	       (ramp->began_ms && now_ms - ramp->began_ms < JOINED_MS);
}
