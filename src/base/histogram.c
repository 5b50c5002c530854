#include "base/histogram.h"

#include <inttypes.h>
#include <stdatomic.h>

#include "base/attributes.h"

/* Upper bounds of the buckets: from a response of a warm server to the longest
 * time-out. */
static const uint32_t bounds_ms[] = { 1,   5,	10,   25,   50,	  100,
				      250, 500, 1000, 2500, 5000, 10000 };

#define BUCKETS (ARRAY_SIZE(bounds_ms) + 1)

static struct {
	atomic_uint_fast64_t buckets[BUCKETS];
	atomic_uint_fast64_t sum_ms;
} histograms[HISTOGRAM_COUNT];

static const struct {
	const char *name;
	const char *labels;
	const char *help;
} descriptions[HISTOGRAM_COUNT] = {
	[HISTOGRAM_ANSWERED] = { "request", "outcome=\"answered\"",
				 "whole time of requests" },
	[HISTOGRAM_REFUSED] = { "request", "outcome=\"refused\"", NULL },
	[HISTOGRAM_FAILED] = { "request", "outcome=\"failed\"", NULL },
	[HISTOGRAM_ATTEMPT] = { "attempt", "",
				"time of one send to a backend server" },
	[HISTOGRAM_STORE] = { "store_call", "", "time of calls to the store" },
	[HISTOGRAM_LOOP_LAG] = { "loop_lag", "",
				 "how late the event loop runs its timers" },
};

void histogram_add(enum histogram histogram, int64_t elapsed_ms)
{
	uint64_t ms = elapsed_ms > 0 ? (uint64_t)elapsed_ms : 0;
	size_t i = 0;

	while (i < ARRAY_SIZE(bounds_ms) && ms > bounds_ms[i])
		i++;
	atomic_fetch_add_explicit(&histograms[histogram].buckets[i], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histograms[histogram].sum_ms, ms,
				  memory_order_relaxed);
}

static void write_histogram(GString *text, int h)
{
	const char *comma = descriptions[h].labels[0] ? "," : "";
	uint64_t count = 0;
	size_t i;

	if (descriptions[h].help)
		g_string_append_printf(text,
				       "# TYPE auburnreach_%s_seconds histogram\n"
				       "# HELP auburnreach_%s_seconds %s\n",
				       descriptions[h].name, descriptions[h].name,
				       descriptions[h].help);
	for (i = 0; i < BUCKETS; i++) {
		count += atomic_load(&histograms[h].buckets[i]);
		g_string_append_printf(text,
				       "auburnreach_%s_seconds_bucket{%s%sle=\"",
				       descriptions[h].name,
				       descriptions[h].labels, comma);
		if (i < ARRAY_SIZE(bounds_ms))
			g_string_append_printf(text, "%g", bounds_ms[i] / 1000.0);
		else
			g_string_append(text, "+Inf");
		g_string_append_printf(text, "\"} %" PRIu64 "\n", count);
	}
	g_string_append_printf(text,
			       "auburnreach_%s_seconds_count{%s} %" PRIu64 "\n"
			       "auburnreach_%s_seconds_sum{%s} %g\n",
			       descriptions[h].name, descriptions[h].labels,
			       count, descriptions[h].name,
			       descriptions[h].labels,
			       atomic_load(&histograms[h].sum_ms) / 1000.0);
}

void histogram_write(GString *text)
{
	int h;

	for (h = 0; h < HISTOGRAM_COUNT; h++)
		write_histogram(text, h);
}
