#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "bench_defs.h"

bool samples_init(struct samples *samples, uint32_t capacity)
{
	samples->values_us = malloc((capacity ? capacity : 1) * sizeof(uint32_t));
	samples->count = 0;
	samples->capacity = samples->values_us ? capacity : 0;
	return samples->values_us;
}

void samples_free(struct samples *samples)
{
	free(samples->values_us);
	memset(samples, 0, sizeof(*samples));
}

void samples_add(struct samples *samples, int64_t value_us)
{
	if (samples->count < samples->capacity)
		samples->values_us[samples->count++] =
			value_us < 0 ? 0 : (uint32_t)value_us;
}

void samples_merge(struct samples *into, const struct samples *from)
{
	uint32_t i;

	for (i = 0; i < from->count; i++)
		samples_add(into, from->values_us[i]);
}

static int compare_values(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return (left > right) - (left < right);
}

void samples_sort(struct samples *samples)
{
	qsort(samples->values_us, samples->count, sizeof(uint32_t),
	      compare_values);
}

uint32_t samples_quantile(const struct samples *samples, uint32_t permille)
{
	uint64_t index = (uint64_t)samples->count * permille / 1000;

	if (!samples->count)
		return 0;
	if (index >= samples->count)
		index = samples->count - 1;
	return samples->values_us[index];
}

void samples_print(struct samples *samples, const char *name)
{
	samples_sort(samples);
	printf("%-10s count=%u p50_us=%u p90_us=%u p99_us=%u p999_us=%u "
	       "max_us=%u\n",
	       name, samples->count, samples_quantile(samples, 500),
	       samples_quantile(samples, 900), samples_quantile(samples, 990),
	       samples_quantile(samples, 999), samples_quantile(samples, 1000));
}

void bench_sleep_until(int64_t at_ns)
{
	struct timespec until = {
		.tv_sec = at_ns / (NS_PER_MS * MS_PER_S),
		.tv_nsec = at_ns % (NS_PER_MS * MS_PER_S),
	};

	clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &until, NULL);
}
