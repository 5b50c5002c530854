#include "decide/object_cache.h"
#include "decide/service_time.h"
#include "unit/test.h"

/* Load pattern: servers fill their object caches. One request in four is the
 * first for its object and runs 880 ms; the others run 264 to 303 ms. */
static void quantiles_separate_cached_and_first_runs(void)
{
	struct service_time time;
	int i;

	service_time_init(&time, 300);
	for (i = 0; i < 2000; i++)
		service_time_record(&time, i % 4 ? 264 + i % 40 : 880);
	g_assert_cmpfloat(time.fast_ms, >, 220);
	g_assert_cmpfloat(time.fast_ms, <, 310);
	g_assert_cmpfloat(time.typical_ms, <, 400);
	g_assert_cmpfloat(time.slow_ms, >, 700);
	g_assert_cmpfloat(time.slow_ms, <, 1000);
}

static void initial_estimate_is_replaced_quickly(void)
{
	struct service_time time;
	int i;

	service_time_init(&time, 400);
	for (i = 0; i < 60; i++)
		service_time_record(&time, 100);
	g_assert_cmpfloat(time.typical_ms, <, 125);
}

static void estimates_stay_positive(void)
{
	struct service_time time;
	int i;

	service_time_init(&time, 0);
	for (i = 0; i < 1000; i++)
		service_time_record(&time, 0);
	g_assert_cmpfloat(time.fast_ms, >=, 1);
}

/* VMs that hand off all requests measure nothing: they knew the route's initial
 * estimate only, and sent the wrong share to other regions. */
static void reports_replace_the_estimate(void)
{
	struct service_time time;
	int i;

	service_time_init(&time, 400);
	service_time_adopt(&time, 40, 130);
	g_assert_cmpfloat(time.fast_ms, ==, 40);
	g_assert_cmpfloat(time.slow_ms, ==, 130);
	g_assert_cmpuint(time.sample_count, ==, SERVICE_TIME_SAMPLES_MIN);
	/* one report of a VM whose objects are slower changes little */
	service_time_adopt(&time, 80, 230);
	g_assert_cmpfloat(time.fast_ms, >, 40);
	g_assert_cmpfloat(time.fast_ms, <, 50);
	for (i = 0; i < 60; i++)
		service_time_adopt(&time, 80, 230);
	g_assert_cmpfloat(time.fast_ms, >, 75);
	g_assert_cmpfloat(time.slow_ms, >, 220);
}

/* The median is not reported. It stayed at the first report's fast time, below
 * a fast time that rose later. */
static void median_stays_between_the_reported_quantiles(void)
{
	struct service_time time;
	int i;

	service_time_init(&time, 400);
	service_time_adopt(&time, 40, 130);
	for (i = 0; i < 60; i++)
		service_time_adopt(&time, 200, 400);
	g_assert_cmpfloat(time.typical_ms, >=, time.fast_ms);
	for (i = 0; i < 60; i++)
		service_time_adopt(&time, 10, 20);
	g_assert_cmpfloat(time.typical_ms, <=, time.slow_ms);
}

/* A VM of the previous build, or one that knows nothing yet, reports none. */
static void odd_reports_are_ignored(void)
{
	struct service_time time;

	service_time_init(&time, 400);
	service_time_adopt(&time, 0, 0);
	service_time_adopt(&time, 0, 100);
	service_time_adopt(&time, 100, 99);
	g_assert_cmpfloat(time.fast_ms, ==, 400);
	g_assert_cmpuint(time.sample_count, ==, 0);
}

static void cached_objects_expire(void)
{
	static struct object_cache object_cache;

	g_assert_false(object_cache_contains(&object_cache, 1, 2, 1000));
	object_cache_record(&object_cache, 1, 2, 1000);
	g_assert_true(object_cache_contains(&object_cache, 1, 2, 1000));
	g_assert_false(object_cache_contains(&object_cache, 1, 3, 1000));
	g_assert_false(object_cache_contains(&object_cache, 2, 2, 1000));
	g_assert_true(object_cache_contains(&object_cache, 1, 2,
					    999 + OBJECT_CACHE_TTL_MS));
	g_assert_false(object_cache_contains(&object_cache, 1, 2,
					     1000 + OBJECT_CACHE_TTL_MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("service_time", reports_replace_the_estimate);
	ADD_TEST("service_time", median_stays_between_the_reported_quantiles);
	ADD_TEST("service_time", odd_reports_are_ignored);
	ADD_TEST("service_time", quantiles_separate_cached_and_first_runs);
	ADD_TEST("service_time", initial_estimate_is_replaced_quickly);
	ADD_TEST("service_time", estimates_stay_positive);
	ADD_TEST("service_time", cached_objects_expire);
	return g_test_run();
}
