#include "decide/cache_depth.h"
#include "unit/test.h"

/* Runs at a server whose cache holds the objects last requested, as seen by the
 * only VM that sends to it. */

#define CACHED_MS 60
#define UNCACHED_MS 200
#define OBJECTS 80
#define RUNS 4000
#define SETTLED_AFTER 2000

static struct {
	GRand *random;
	struct recent_objects recent;
	struct cache_depth depth;
	struct run_time time;
	uint32_t cache; /* objects that the server caches */
	uint32_t work_percent;
} sim;

static void setup(uint32_t cache, uint32_t seed)
{
	memset(&sim, 0, sizeof(sim));
	sim.random = g_rand_new_with_seed(seed);
	sim.cache = cache;
	sim.work_percent = 100;
}

static void teardown(void)
{
	g_rand_free(sim.random);
}

/* Few objects are in great demand, most in little. */
static uint64_t draw_object(void)
{
	double uniform = g_rand_double(sim.random);

	return 1 + (uint64_t)(uniform * uniform * OBJECTS);
}

static void run_once(void)
{
	uint64_t object = draw_object();
	uint32_t position = recent_objects_position(&sim.recent, object);
	double run_ms = position < sim.cache ? CACHED_MS : UNCACHED_MS;

	run_ms *= g_rand_double_range(sim.random, 0.6, 1.4);
	run_ms *= sim.work_percent / 100.0;
	if (g_rand_int_range(sim.random, 0, 7) == 0)
		run_ms *= 2.5;
	recent_objects_record(&sim.recent, object);
	cache_depth_record(&sim.depth, position, &sim.time, (int64_t)run_ms,
			   sim.work_percent);
	if (position == RECENT_OBJECTS_ABSENT ||
	    cache_depth_contains_surely(&sim.depth, position))
		run_time_record(&sim.time, position != RECENT_OBJECTS_ABSENT,
				(int64_t)run_ms, sim.work_percent);
}

static void check_settles(uint32_t cache, uint32_t seed)
{
	double cached_ms = 0;
	double uncached_ms = 0;
	uint32_t highest = 0;
	uint32_t i;

	for (i = 0; i < RUNS; i++) {
		uint32_t objects;

		run_once();
		objects = cache_depth_objects(&sim.depth);
		highest = MAX(highest, objects);
		g_assert_cmpfloat(objects, <=, 1.3 * cache);
		if (i < SETTLED_AFTER)
			continue;
		g_assert_cmpfloat(objects, >=, 0.8 * cache);
		g_assert_cmpfloat(objects, <=, 1.2 * cache);
		cached_ms += sim.time.cached_ms / (RUNS - SETTLED_AFTER);
		uncached_ms += sim.time.uncached_ms / (RUNS - SETTLED_AFTER);
	}
	/* slow runs raise both means by 21% */
	g_assert_cmpfloat(cached_ms, >, 1.1 * CACHED_MS);
	g_assert_cmpfloat(cached_ms, <, 1.35 * CACHED_MS);
	g_assert_cmpfloat(uncached_ms, >, 1.1 * UNCACHED_MS);
	g_assert_cmpfloat(uncached_ms, <, 1.35 * UNCACHED_MS);
	g_test_message("cache=%u seed=%u objects=%u highest=%u cached_ms=%.0f "
		       "uncached_ms=%.0f",
		       cache, seed, cache_depth_objects(&sim.depth), highest,
		       cached_ms, uncached_ms);
}

/* Ten objects assumed at a server that caches 27 make half of the runs look
 * like misses that are none, and at one that caches 8 the reverse. */
static void estimate_settles_at_what_the_server_caches(void)
{
	static const uint32_t caches[] = { 8, 15, 27 };
	uint32_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(caches); i++) {
		for (seed = 1; seed <= 10; seed++) {
			setup(caches[i], seed);
			check_settles(caches[i], seed);
			teardown();
		}
	}
}

/* A server that is slow throughout, and says so, seems to cache nothing. */
static void reported_slowness_is_no_miss(void)
{
	setup(27, 1);
	sim.work_percent = 250;
	check_settles(27, 1);
	teardown();
}

/* The servers' new version caches fewer objects. */
static void estimate_follows_a_change(void)
{
	uint32_t i;

	setup(27, 2);
	for (i = 0; i < RUNS; i++)
		run_once();
	sim.cache = 10;
	for (i = 0; i < RUNS; i++)
		run_once();
	g_assert_cmpuint(cache_depth_objects(&sim.depth), >=, 8);
	g_assert_cmpuint(cache_depth_objects(&sim.depth), <=, 12);
	teardown();
}

/* One slow or fast run must not evict or add a dozen objects. */
static void few_runs_do_not_move_it_far(void)
{
	struct cache_depth depth = { 0 };
	const struct run_time time = { CACHED_MS, UNCACHED_MS };
	uint32_t i;

	g_assert_cmpuint(cache_depth_objects(&depth), ==, CACHE_DEPTH_INITIAL);
	for (i = 0; i < 5; i++)
		cache_depth_record(&depth, 40, &time, CACHED_MS, 100);
	g_assert_cmpuint(cache_depth_objects(&depth), <=, 12);
	memset(&depth, 0, sizeof(depth));
	for (i = 0; i < 5; i++)
		cache_depth_record(&depth, 1, &time, UNCACHED_MS, 100);
	g_assert_cmpuint(cache_depth_objects(&depth), >=, 8);
}

static void estimate_stays_within_its_bounds(void)
{
	struct cache_depth depth = { 0 };
	const struct run_time time = { CACHED_MS, UNCACHED_MS };
	uint32_t i;

	for (i = 0; i < 20 * RECENT_OBJECTS_MAX; i++)
		cache_depth_record(&depth, i % RECENT_OBJECTS_MAX, &time,
				   CACHED_MS, 100);
	g_assert_cmpuint(cache_depth_objects(&depth), ==, RECENT_OBJECTS_MAX);
	g_assert_false(cache_depth_contains(&depth, RECENT_OBJECTS_ABSENT));
	for (i = 0; i < 200 * RECENT_OBJECTS_MAX; i++)
		cache_depth_record(&depth, i % RECENT_OBJECTS_MAX, &time,
				   UNCACHED_MS, 100);
	g_assert_cmpuint(cache_depth_objects(&depth), ==, 1);
	g_assert_true(cache_depth_contains_surely(&depth, 0));
	g_assert_false(cache_depth_contains(&depth, 1));
}

/* Without distinct run times of hits and misses, and for an object that is not
 * among the recent ones, a run says nothing. */
static void runs_that_say_nothing_are_ignored(void)
{
	static const struct run_time times[] = {
		{ 0, 0 },
		{ CACHED_MS, 0 },
		{ 0, UNCACHED_MS },
		{ CACHED_MS, CACHED_MS * 1.2 },
	};
	const struct run_time measured = { CACHED_MS, UNCACHED_MS };
	struct cache_depth depth = { 0 };
	uint32_t i;

	for (i = 0; i < 400; i++)
		cache_depth_record(&depth, 12, &times[i % 4], 1, 100);
	for (i = 0; i < 400; i++)
		cache_depth_record(&depth, RECENT_OBJECTS_ABSENT, &measured, 1,
				   100);
	g_assert_cmpuint(cache_depth_objects(&depth), ==, CACHE_DEPTH_INITIAL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("cache_depth", estimate_settles_at_what_the_server_caches);
	ADD_TEST("cache_depth", reported_slowness_is_no_miss);
	ADD_TEST("cache_depth", estimate_follows_a_change);
	ADD_TEST("cache_depth", few_runs_do_not_move_it_far);
	ADD_TEST("cache_depth", estimate_stays_within_its_bounds);
	ADD_TEST("cache_depth", runs_that_say_nothing_are_ignored);
	return g_test_run();
}
