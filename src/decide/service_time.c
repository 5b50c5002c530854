#include "decide/service_time.h"

#define FAST_QUANTILE 0.2
#define TYPICAL_QUANTILE 0.5
#define SLOW_QUANTILE 0.9
/* Part of an estimate that one answer changes at most; the first answers change
 * it more, so that the guess is soon forgotten. */
#define WEIGHT 0.04
#define WEIGHT_FIRST 0.25

void service_time_init(struct service_time *time, uint32_t guess_ms)
{
	time->fast_ms = guess_ms ? guess_ms : 1;
	time->typical_ms = time->fast_ms;
	time->slow_ms = time->fast_ms;
	time->answers = 0;
}

/* Moves up by a part of itself when an answer was slower, and down when it was
 * faster; rests where the quantile balances both. */
static void track(double *estimate_ms, double ran_ms, double quantile,
		  double weight)
{
	if (ran_ms > *estimate_ms)
		*estimate_ms += weight * quantile * *estimate_ms;
	else
		*estimate_ms -= weight * (1 - quantile) * *estimate_ms;
	if (*estimate_ms < 1)
		*estimate_ms = 1;
}

void service_time_note(struct service_time *time, int64_t ran_ms)
{
	double weight = WEIGHT_FIRST / (1 + time->answers / 4.0);

	if (weight < WEIGHT)
		weight = WEIGHT;
	else
		time->answers++;
	track(&time->fast_ms, (double)ran_ms, FAST_QUANTILE, weight);
	track(&time->typical_ms, (double)ran_ms, TYPICAL_QUANTILE, weight);
	track(&time->slow_ms, (double)ran_ms, SLOW_QUANTILE, weight);
}
