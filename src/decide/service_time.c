#include "decide/service_time.h"

#include <math.h>

#define FAST_QUANTILE 0.2
#define TYPICAL_QUANTILE 0.5
#define SLOW_QUANTILE 0.9
/* Largest relative change of an estimate by one sample. The first samples have
 * more weight so that they soon replace the initial estimate. */
#define WEIGHT_MIN 0.04
#define WEIGHT_INITIAL 0.25
/* Weight of a report of another VM: objects are at different VMs. */
#define ADOPT_WEIGHT 0.1

void service_time_init(struct service_time *time, uint32_t initial_ms)
{
	time->fast_ms = initial_ms ? initial_ms : 1;
	time->typical_ms = time->fast_ms;
	time->slow_ms = time->fast_ms;
	time->sample_count = 0;
}

/* Raises the estimate by a fraction of itself if the sample is slower and
 * lowers it if the sample is faster. The steps cancel out at the quantile. */
static void update_quantile(double *estimate_ms, double run_ms, double quantile,
			    double weight)
{
	if (run_ms > *estimate_ms)
		*estimate_ms += weight * quantile * *estimate_ms;
	else
		*estimate_ms -= weight * (1 - quantile) * *estimate_ms;
	if (*estimate_ms < 1)
		*estimate_ms = 1;
}

static void approach(double *estimate_ms, uint32_t reported_ms)
{
	*estimate_ms += ADOPT_WEIGHT * (reported_ms - *estimate_ms);
}

void service_time_adopt(struct service_time *time, uint32_t fast_ms,
			uint32_t slow_ms)
{
	if (!fast_ms || slow_ms < fast_ms)
		return;
	if (time->sample_count < SERVICE_TIME_SAMPLES_MIN) {
		time->fast_ms = fast_ms;
		time->typical_ms = fast_ms;
		time->slow_ms = slow_ms;
		time->sample_count = SERVICE_TIME_SAMPLES_MIN;
		return;
	}
	approach(&time->fast_ms, fast_ms);
	approach(&time->slow_ms, slow_ms);
	/* it is not reported, and must not stay behind the others */
	time->typical_ms =
		fmin(fmax(time->typical_ms, time->fast_ms), time->slow_ms);
}

void service_time_record(struct service_time *time, int64_t run_ms)
{
	double weight = WEIGHT_INITIAL / (1 + time->sample_count / 4.0);

	if (weight < WEIGHT_MIN)
		weight = WEIGHT_MIN;
	else
		time->sample_count++;
	update_quantile(&time->fast_ms, (double)run_ms, FAST_QUANTILE, weight);
	update_quantile(&time->typical_ms, (double)run_ms, TYPICAL_QUANTILE,
			weight);
	update_quantile(&time->slow_ms, (double)run_ms, SLOW_QUANTILE, weight);
}
