#include "kv/relay.h"

#include <unistd.h>

#include "kv/mirror.h"
#include "net/tcp.h"
#include "platform_kv.h"
#include "unit/test.h"

/* Two VMs of a failure domain and the stand-in of the store, in one process:
 * one VM reads from the store, the other one from it. The clock is advanced by
 * hand; timers and connections run on the loop. */

/* A leaving server must get no more requests within this time. */
#define LEAVING_BOUND_MS 2500

struct vm {
	struct mirror *mirror;
	struct relay *relay;
	struct sockaddr_in address;
	GHashTable *keys; /* key to value */
};

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct event_base *base;
static struct platform_kv *kv;
static struct responder *store;
static struct sockaddr_in store_address;
static struct vm reader;
static struct vm follower;

static void on_put(void *context, const struct kv_item *item)
{
	g_hash_table_replace(((struct vm *)context)->keys, g_strdup(item->key),
			     g_strdup(item->value));
}

static void on_removed(void *context, const char *key)
{
	g_hash_table_remove(((struct vm *)context)->keys, key);
}

static void on_synced(void *context)
{
	(void)context;
}

static const struct mirror_events events = {
	.put = on_put,
	.removed = on_removed,
	.synced = on_synced,
};

static const char *any_address(char *text, size_t bytes)
{
	g_snprintf(text, (gulong)bytes, "127.0.0.1:%d",
		   g_random_int_range(20000, 32000));
	return text;
}

static void vm_begin(struct vm *vm)
{
	struct feed *feed;
	char text[32];
	int tries;

	vm->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	vm->mirror =
		mirror_new(base, &now, &store_address, "a/", 10, &events, vm);
	feed = mirror_feed(vm->mirror);
	for (tries = 0; tries < 20 && !vm->relay; tries++)
		vm->relay = relay_new(base, any_address(text, sizeof(text)),
				      &feed, 1);
	g_assert_nonnull(vm->relay);
	g_assert_true(tcp_parse(text, &vm->address));
}

static void vm_finish(struct vm *vm)
{
	relay_free(vm->relay);
	mirror_free(vm->mirror);
	g_hash_table_destroy(vm->keys);
	memset(vm, 0, sizeof(*vm));
}

/* Runs the loop; the clock goes with it. */
static void run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(5000);
		clock_manual_advance_ms(&manual, 5);
	}
}

static void begin(void)
{
	char text[32];
	int tries;

	base = event_base_new();
	kv = platform_kv_new(base);
	for (tries = 0; tries < 20 && !store; tries++)
		store = responder_new(base, any_address(text, sizeof(text)),
				      platform_kv_handle, kv);
	g_assert_nonnull(store);
	g_assert_true(tcp_parse(text, &store_address));
	now = clock_from_manual(&manual);
	vm_begin(&reader);
	vm_begin(&follower);
	mirror_set_relay(follower.mirror, &reader.address);
	platform_kv_put(kv, "a/first", "1");
	mirror_start(reader.mirror, false);
	run_ms(200);
	mirror_start(follower.mirror, false);
	run_ms(100);
}

static void finish(void)
{
	vm_finish(&follower);
	vm_finish(&reader);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	event_base_free(base);
}

static bool follower_has(const char *key)
{
	return g_hash_table_contains(follower.keys, key);
}

static void one_vm_reads_for_both(void)
{
	uint64_t calls;
	char key[16];
	int i;

	begin();
	g_assert_true(follower_has("a/first"));
	calls = platform_kv_calls(kv);
	for (i = 0; i < 5; i++) {
		g_snprintf(key, sizeof(key), "a/%d", i);
		platform_kv_put(kv, key, "x");
		run_ms(100);
		g_assert_true(follower_has(key));
	}
	platform_kv_remove(kv, "a/3");
	run_ms(100);
	g_assert_false(follower_has("a/3"));
	/* the reader's own: one for each change */
	g_assert_cmpuint(platform_kv_calls(kv) - calls, <=, 6);
	finish();
}

static void a_large_list_comes_whole(void)
{
	char key[16];
	int i;

	begin();
	for (i = 0; i < 500; i++) {
		g_snprintf(key, sizeof(key), "a/%03d", i);
		platform_kv_put(kv, key, "a value of some length");
	}
	run_ms(300);
	g_assert_cmpuint(g_hash_table_size(follower.keys), ==, 501);
	finish();
}

/* The reader's process is gone: its port refuses, or does not answer. */
static void a_dead_relay_is_left_in_time(void)
{
	begin();
	relay_free(reader.relay);
	reader.relay = NULL;
	platform_kv_put(kv, "a/new", "x");
	run_ms(300);
	g_assert_true(follower_has("a/new"));
	finish();
}

static void a_frozen_relay_is_left_in_time(void)
{
	struct responder *frozen;
	struct platform_kv *silent;
	struct sockaddr_in address;
	char text[32];

	begin();
	silent = platform_kv_new(base);
	platform_kv_set_fault(silent, "silent");
	frozen = responder_new(base, any_address(text, sizeof(text)),
			       platform_kv_handle, silent);
	g_assert_nonnull(frozen);
	g_assert_true(tcp_parse(text, &address));
	mirror_set_relay(follower.mirror, &address);
	platform_kv_put(kv, "a/new", "x");
	run_ms(LEAVING_BOUND_MS);
	g_assert_true(follower_has("a/new"));
	vm_finish(&follower);
	vm_begin(&follower);
	responder_free(frozen);
	platform_kv_free(silent);
	finish();
}

/* The named VM does not know the store's state, the follower's store answers. */
static void a_relay_without_the_store_says_so(void)
{
	struct vm stale = { 0 };

	begin();
	vm_begin(&stale);
	mirror_set_relay(follower.mirror, &stale.address);
	platform_kv_put(kv, "a/new", "x");
	run_ms(300);
	g_assert_true(follower_has("a/new"));
	vm_finish(&follower);
	vm_begin(&follower);
	vm_finish(&stale);
	finish();
}

/* Lists of VMs that differ for a moment must not stop the news. */
static void two_vms_that_name_each_other_read_themselves(void)
{
	begin();
	mirror_set_relay(reader.mirror, &follower.address);
	run_ms(200);
	platform_kv_put(kv, "a/new", "x");
	run_ms(LEAVING_BOUND_MS);
	g_assert_true(follower_has("a/new"));
	g_assert_true(g_hash_table_contains(reader.keys, "a/new"));
	finish();
}

/* A store that refuses is not asked by all VMs all the time. */
static void an_outage_costs_few_calls(void)
{
	uint64_t calls;

	begin();
	platform_kv_set_fault(kv, "busy");
	mirror_store_lost(reader.mirror);
	mirror_store_lost(follower.mirror);
	run_ms(1500);
	calls = platform_kv_calls(kv);
	run_ms(6000);
	/* the reader's, every 0.75 to 1.5 s */
	g_assert_cmpuint(platform_kv_calls(kv) - calls, <=, 9);
	platform_kv_set_fault(kv, "sound");
	mirror_store_found(reader.mirror);
	mirror_store_found(follower.mirror);
	platform_kv_put(kv, "a/new", "x");
	run_ms(1000);
	g_assert_true(follower_has("a/new"));
	finish();
}

/* What was removed while the relay did not see it is removed here too. */
static void lost_history_of_the_relay_is_made_up_for(void)
{
	begin();
	platform_kv_set_fault(kv, "reset");
	mirror_store_lost(reader.mirror);
	mirror_store_lost(follower.mirror);
	run_ms(500);
	platform_kv_remove(kv, "a/first");
	platform_kv_compact(kv);
	platform_kv_set_fault(kv, "sound");
	mirror_store_found(reader.mirror);
	mirror_store_found(follower.mirror);
	run_ms(1000);
	/* it may come back within two seconds */
	g_assert_true(follower_has("a/first"));
	run_ms(2500);
	g_assert_false(follower_has("a/first"));
	finish();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("relay", one_vm_reads_for_both);
	ADD_TEST("relay", a_large_list_comes_whole);
	ADD_TEST("relay", a_dead_relay_is_left_in_time);
	ADD_TEST("relay", a_frozen_relay_is_left_in_time);
	ADD_TEST("relay", a_relay_without_the_store_says_so);
	ADD_TEST("relay", two_vms_that_name_each_other_read_themselves);
	ADD_TEST("relay", an_outage_costs_few_calls);
	ADD_TEST("relay", lost_history_of_the_relay_is_made_up_for);
	return g_test_run();
}
