#include "decide/run_time.h"

#include "base/number.h"

#define SAMPLE_WEIGHT 0.1

void run_time_record(struct run_time *time, bool cached, int64_t run_ms,
		     uint32_t work_percent)
{
	double *mean_ms = cached ? &time->cached_ms : &time->uncached_ms;
	double sample_ms =
		(double)run_ms * 100 / (work_percent ? work_percent : 100);

	if (sample_ms < 1)
		sample_ms = 1;
	*mean_ms += *mean_ms ? SAMPLE_WEIGHT * (sample_ms - *mean_ms) : sample_ms;
}

uint32_t run_time_expected_ms(const struct run_time *time,
			      const struct service_time *fallback, bool cached)
{
	double cached_ms = time->cached_ms ? time->cached_ms : fallback->fast_ms;
	double uncached_ms =
		time->uncached_ms ? time->uncached_ms : fallback->slow_ms;

	/* a few samples may say the opposite */
	if (uncached_ms < cached_ms)
		uncached_ms = cached_ms;
	return u32_from_double((cached ? cached_ms : uncached_ms) + 0.5);
}
