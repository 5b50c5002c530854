#include "kv/presence.h"

#include <unistd.h>

#include "base/counter.h"
#include "kv/mirror.h"
#include "net/tcp.h"
#include "platform_kv.h"
#include "unit/test.h"

/* The registration of one VM against the store's stand-in in one process. */

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct event_base *base;
static struct platform_kv *kv;
static struct responder *store;
static struct presence *presence;
static struct mirror *mirror;
static bool is_listed;
static char value[16]; /* as last listed */
static uint32_t put_count;

static void on_put(void *context, const struct kv_item *item)
{
	(void)context;
	g_assert_cmpuint(item->value_bytes, <, sizeof(value));
	memcpy(value, item->value, item->value_bytes);
	value[item->value_bytes] = '\0';
	put_count++;
	is_listed = true;
}

static void on_removed(void *context, const char *key)
{
	(void)context;
	(void)key;
	is_listed = false;
}

static void ignore(void *context)
{
	(void)context;
}

static const struct mirror_events mirror_events = {
	.put = on_put,
	.removed = on_removed,
	.synced = ignore,
};
static const struct presence_events presence_events = { ignore, ignore };

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

static void setup(void)
{
	struct sockaddr_in address;
	char text[32];
	int tries;

	now = clock_from_manual(&manual);
	is_listed = false;
	base = event_base_new();
	kv = platform_kv_new(base);
	for (tries = 0; tries < 20 && !store; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		store = responder_new(base, text, platform_kv_handle, kv);
	}
	g_assert_nonnull(store);
	g_assert_true(tcp_parse_address(text, &address));
	platform_kv_take_copy(kv);
	presence = presence_new(base, &address, "a/vm", "{}", &presence_events,
				NULL);
	mirror = mirror_new(base, &now, &address, "a/", 10, &mirror_events, NULL);
	mirror_start(mirror, 0);
	run_ms(200);
	g_assert_true(is_listed);
}

static void teardown(void)
{
	presence_free(presence);
	mirror_free(mirror);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	event_base_free(base);
}

/* The store comes back from a copy with the lease, but without the key:
 * renewals succeed and show nothing. */
static void registers_again_in_a_new_era(void)
{
	setup();
	/* granted before the copy, written after it */
	platform_kv_remove(kv, "a/vm");
	platform_kv_take_copy(kv);
	g_assert_true(platform_kv_go_back(kv));
	run_ms(4000);
	g_assert_true(is_listed);
	teardown();
}

/* The store turns many VMs away for seconds: each failed call has its price. */
static void failed_calls_are_spaced_out(void)
{
	uint64_t calls;

	setup();
	platform_kv_set_fault(kv, "busy");
	mirror_free(mirror);
	mirror = NULL;
	calls = counter_get(COUNTER_STORE_CALLS);
	run_ms(8000);
	/* within a second of the failure, 0.5, 1 and then 2 s apart */
	g_assert_cmpuint(counter_get(COUNTER_STORE_CALLS) - calls, <=, 6);
	platform_kv_set_fault(kv, "sound");
	calls = platform_kv_call_count(kv);
	run_ms(2500);
	g_assert_cmpuint(platform_kv_call_count(kv), >, calls);
	teardown();
}

/* The new value is written at once, once, and kept by renewals. */
static void another_value_is_written_at_once(void)
{
	uint64_t calls;

	setup();
	put_count = 0;
	calls = platform_kv_call_count(kv);
	presence_set_value(presence, "{\"a\":1}");
	run_ms(200);
	g_assert_cmpstr(value, ==, "{\"a\":1}");
	/* the put and a watch */
	g_assert_cmpuint(platform_kv_call_count(kv) - calls, <=, 2);
	run_ms(2500);
	g_assert_cmpuint(put_count, ==, 1);
	g_assert_true(is_listed);
	teardown();
}

/* The value changes while a call is in progress, twice. */
static void the_latest_value_is_written(void)
{
	setup();
	presence_set_value(presence, "{\"a\":1}");
	event_base_loop(base, EVLOOP_NONBLOCK);
	presence_set_value(presence, "{\"a\":2}");
	event_base_loop(base, EVLOOP_NONBLOCK);
	presence_set_value(presence, "{\"a\":3}");
	run_ms(400);
	g_assert_cmpstr(value, ==, "{\"a\":3}");
	teardown();
}

/* The store is down meanwhile, and the lease expires. */
static void another_value_outlasts_an_outage(void)
{
	setup();
	platform_kv_set_fault(kv, "busy");
	presence_set_value(presence, "{\"a\":1}");
	run_ms(5000);
	platform_kv_set_fault(kv, "sound");
	run_ms(4500);
	g_assert_true(is_listed);
	g_assert_cmpstr(value, ==, "{\"a\":1}");
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("presence", registers_again_in_a_new_era);
	ADD_TEST("presence", failed_calls_are_spaced_out);
	ADD_TEST("presence", another_value_is_written_at_once);
	ADD_TEST("presence", the_latest_value_is_written);
	ADD_TEST("presence", another_value_outlasts_an_outage);
	return g_test_run();
}
