#include "kv/mirror.h"

#include <event2/event.h>
#include <unistd.h>

#include "net/tcp.h"
#include "platform_kv.h"
#include "unit/test.h"

/* Tests the mirror against the store's stand-in in one process. The clock is
 * advanced manually; timers and connections run on the event loop. */

struct observed {
	GHashTable *keys; /* key to value */
	GHashTable *missing;
	uint32_t synced;
	uint64_t era; /* of the last new_era event; 0: none */
};

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct event_base *base;
static struct platform_kv *kv;
static struct responder *store;
static struct mirror *mirror;
static struct observed observed;

static void on_put(void *context, const struct kv_item *item)
{
	(void)context;
	g_hash_table_replace(observed.keys, g_strdup(item->key),
			     g_strdup(item->value));
	g_hash_table_remove(observed.missing, item->key);
}

static void on_removed(void *context, const char *key)
{
	(void)context;
	g_hash_table_remove(observed.keys, key);
	g_hash_table_remove(observed.missing, key);
}

static void on_missing(void *context, const char *key)
{
	(void)context;
	g_hash_table_add(observed.missing, g_strdup(key));
}

static void on_synced(void *context)
{
	(void)context;
	observed.synced++;
}

static void on_new_era(void *context, uint64_t era)
{
	(void)context;
	observed.era = era;
}

static const struct mirror_events events = {
	.put = on_put,
	.removed = on_removed,
	.missing = on_missing,
	.new_era = on_new_era,
	.synced = on_synced,
};

static void setup_stopped(void)
{
	struct sockaddr_in address;
	char text[32];
	int tries;

	base = event_base_new();
	kv = platform_kv_new(base);
	for (tries = 0; tries < 20 && !store; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		store = responder_new(base, text, platform_kv_handle, kv);
	}
	g_assert_nonnull(store);
	g_assert_true(tcp_parse_address(text, &address));
	observed.keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	observed.missing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	observed.synced = 0;
	observed.era = 0;
	now = clock_from_manual(&manual);
	mirror = mirror_new(base, &now, &address, "a/", 10, &events, NULL);
}

static void setup(void)
{
	setup_stopped();
	mirror_start(mirror, 0);
}

static void teardown(void)
{
	mirror_free(mirror);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	event_base_free(base);
	g_hash_table_destroy(observed.keys);
	g_hash_table_destroy(observed.missing);
}

/* Runs the event loop and advances the clock with it. */
static void run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(5000);
		clock_manual_advance_ms(&manual, 5);
	}
}

static const char *value_of(const char *key)
{
	return g_hash_table_lookup(observed.keys, key);
}

static void range_and_watch_fill_the_mirror(void)
{
	char key[16];
	int i;

	setup();
	/* more than one page */
	for (i = 0; i < 120; i++) {
		g_snprintf(key, sizeof(key), "a/%03d", i);
		platform_kv_put(kv, key, "old");
	}
	platform_kv_put(kv, "b/other", "x");
	run_ms(100);
	g_assert_cmpuint(g_hash_table_size(observed.keys), ==, 120);
	g_assert_true(mirror_is_synced(mirror));
	platform_kv_put(kv, "a/007", "new");
	platform_kv_remove(kv, "a/008");
	run_ms(100);
	g_assert_cmpstr(value_of("a/007"), ==, "new");
	g_assert_null(value_of("a/008"));
	g_assert_cmpuint(g_hash_table_size(observed.missing), ==, 0);
	teardown();
}

/* The watch cannot return changes that the store has compacted. */
static void compacted_history_causes_a_complete_read(void)
{
	setup();
	platform_kv_put(kv, "a/1", "old");
	run_ms(50);
	platform_kv_put(kv, "a/1", "new");
	platform_kv_put(kv, "a/2", "new");
	platform_kv_compact(kv);
	run_ms(400);
	g_assert_cmpstr(value_of("a/1"), ==, "new");
	g_assert_cmpstr(value_of("a/2"), ==, "new");
	teardown();
}

/* Removing a key right after an outage would drop a server that is still
 * running and writes its key again within two seconds. */
static void missing_keys_are_removed_after_two_seconds(void)
{
	setup();
	platform_kv_put(kv, "a/back", "1");
	platform_kv_put(kv, "a/gone", "1");
	run_ms(100);
	platform_kv_set_fault(kv, "reset");
	run_ms(1200);
	platform_kv_remove(kv, "a/back");
	platform_kv_remove(kv, "a/gone");
	platform_kv_set_fault(kv, "sound");
	run_ms(1000);
	g_assert_true(g_hash_table_contains(observed.missing, "a/back"));
	g_assert_nonnull(value_of("a/gone"));
	platform_kv_put(kv, "a/back", "2");
	run_ms(200);
	g_assert_false(g_hash_table_contains(observed.missing, "a/back"));
	run_ms(2200);
	g_assert_cmpstr(value_of("a/back"), ==, "2");
	g_assert_null(value_of("a/gone"));
	teardown();
}

static void removals_without_an_outage_apply_at_once(void)
{
	setup();
	platform_kv_put(kv, "a/1", "1");
	run_ms(100);
	platform_kv_remove(kv, "a/1");
	run_ms(100);
	g_assert_null(value_of("a/1"));
	teardown();
}

/* A hundred VMs that start together read a list of each other: at full price
 * this would be the largest part of their calls. What the old data lacks
 * follows by the watch. */
static void first_ranges_may_be_stale(void)
{
	setup_stopped();
	platform_kv_put(kv, "a/1", "1");
	mirror_allow_stale_start(mirror, 2, 100);
	mirror_start(mirror, 0);
	run_ms(60);
	g_assert_cmpstr(value_of("a/1"), ==, "1");
	g_assert_cmpuint(platform_kv_call_count(kv), ==, 1);
	g_assert_cmpuint(platform_kv_cheap_call_count(kv), ==, 1);
	/* old data must not be passed on as current */
	g_assert_false(feed_is_current(mirror_feed(mirror)));
	platform_kv_put(kv, "a/2", "2");
	run_ms(200);
	g_assert_cmpstr(value_of("a/2"), ==, "2");
	g_assert_cmpuint(platform_kv_cheap_call_count(kv), ==, 2);
	g_assert_true(feed_is_current(mirror_feed(mirror)));
	platform_kv_put(kv, "a/3", "3");
	run_ms(100);
	g_assert_cmpstr(value_of("a/3"), ==, "3");
	teardown();
}

/* A watch that waits as long as the store keeps its history is answered with
 * 410, and every key is read again. */
static void watch_ends_before_the_history(void)
{
	uint64_t calls;

	setup_stopped();
	mirror_set_history(mirror, 500);
	mirror_start(mirror, 0);
	run_ms(100);
	calls = platform_kv_call_count(kv);
	run_ms(400);
	g_assert_cmpuint(platform_kv_call_count(kv), >, calls);
	teardown();
}

/* Revisions are given out again after the store went back: a key with a lower
 * revision than before is newer, and one that is missing may be written again. */
static void store_goes_back_to_a_copy(void)
{
	int i;

	setup();
	platform_kv_put(kv, "a/kept", "1");
	platform_kv_take_copy(kv);
	platform_kv_put(kv, "a/lost", "1");
	platform_kv_put(kv, "a/rewritten", "1");
	for (i = 0; i < 10; i++)
		platform_kv_put(kv, "a/kept", "2");
	run_ms(100);
	g_assert_cmpstr(value_of("a/kept"), ==, "2");
	g_assert_true(platform_kv_go_back(kv));
	run_ms(300);
	g_assert_cmpuint(observed.era, ==, 2);
	g_assert_cmpstr(value_of("a/kept"), ==, "1");
	g_assert_nonnull(value_of("a/lost"));
	g_assert_true(g_hash_table_contains(observed.missing, "a/lost"));
	platform_kv_put(kv, "a/rewritten", "3");
	run_ms(100);
	g_assert_cmpstr(value_of("a/rewritten"), ==, "3");
	g_assert_false(g_hash_table_contains(observed.missing, "a/rewritten"));
	run_ms(2500);
	g_assert_null(value_of("a/lost"));
	g_assert_cmpstr(value_of("a/rewritten"), ==, "3");
	teardown();
}

static void missing_keys_are_kept_as_long_as_set(void)
{
	setup_stopped();
	mirror_set_rewrite_hold(mirror, 5000);
	mirror_start(mirror, 0);
	platform_kv_take_copy(kv);
	platform_kv_put(kv, "a/lost", "1");
	run_ms(100);
	g_assert_true(platform_kv_go_back(kv));
	run_ms(4500);
	g_assert_nonnull(value_of("a/lost"));
	run_ms(1500);
	g_assert_null(value_of("a/lost"));
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("mirror", range_and_watch_fill_the_mirror);
	ADD_TEST("mirror", compacted_history_causes_a_complete_read);
	ADD_TEST("mirror", missing_keys_are_removed_after_two_seconds);
	ADD_TEST("mirror", removals_without_an_outage_apply_at_once);
	ADD_TEST("mirror", first_ranges_may_be_stale);
	ADD_TEST("mirror", watch_ends_before_the_history);
	ADD_TEST("mirror", store_goes_back_to_a_copy);
	ADD_TEST("mirror", missing_keys_are_kept_as_long_as_set);
	return g_test_run();
}
