#include "sync/crash.h"

#include <stdlib.h>
#include <unistd.h>

#include "kv/mirror.h"
#include "kv/notices.h"
#include "net/tcp.h"
#include "platform_kv.h"
#include "unit/test.h"

/* Crash reports of one VM, written to the store's stand-in in one process. */

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct proxy proxy;
static struct platform_kv *kv;
static struct responder *store;
static struct mirror *mirror;
static GHashTable *reports; /* keys in the store */

static void on_put(void *context, const struct kv_item *item)
{
	(void)context;
	g_hash_table_add(reports, g_strdup(item->key));
}

static void on_removed(void *context, const char *key)
{
	(void)context;
	g_hash_table_remove(reports, key);
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

static void setup(void)
{
	struct server_entry entry = {
		.id = (char *)"s1",
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 1,
	};
	struct sockaddr_in address;
	char text[32];
	int tries;

	now = clock_from_manual(&manual);
	proxy.base = event_base_new();
	proxy.clock = &now;
	proxy.topology.domains = domains;
	proxy.topology.domain_count = G_N_ELEMENTS(domains);
	proxy.servers = servers_new(&now, &proxy.topology);
	/* nothing listens there: a probe is refused */
	g_assert_true(tcp_parse_address("127.0.0.1:1", &entry.address));
	servers_put(proxy.servers, &entry);
	kv = platform_kv_new(proxy.base);
	for (tries = 0; tries < 20 && !store; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		store = responder_new(proxy.base, text, platform_kv_handle, kv);
	}
	g_assert_nonnull(store);
	g_assert_true(tcp_parse_address(text, &address));
	proxy.notices = notices_new(proxy.base, &now, &address);
	proxy.crashes = crash_watch_new(&proxy);
	reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mirror = mirror_new(proxy.base, &now, &address, CRASH_KEY_PREFIX, 10,
			    &events, NULL);
	mirror_start(mirror, 0);
}

static void teardown(void)
{
	crash_watch_free(proxy.crashes);
	notices_free(proxy.notices);
	servers_free(proxy.servers);
	mirror_free(mirror);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	g_hash_table_destroy(reports);
	event_base_free(proxy.base);
	memset(&proxy, 0, sizeof(proxy));
}

/* Runs the event loop and advances the clock with it. */
static void run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		event_base_loop(proxy.base, EVLOOP_NONBLOCK);
		usleep(5000);
		clock_manual_advance_ms(&manual, 5);
	}
}

static void crash_server(void)
{
	const GPtrArray *list = servers_for_service(proxy.servers, "reg");

	crash_probe_server(proxy.crashes, g_ptr_array_index(list, 0), 0xabc);
}

/* The store turns the lease of the reports away. They must not wait for the
 * next crash, which the same request causes elsewhere. */
static void report_is_written_after_a_refused_lease(void)
{
	setup();
	run_ms(100);
	platform_kv_set_fault(kv, "busy");
	crash_server();
	run_ms(1000);
	platform_kv_set_fault(kv, "sound");
	run_ms(2500);
	g_assert_true(g_hash_table_contains(reports, CRASH_KEY_PREFIX
					    "0000000000000abc/s1"));
	teardown();
}

/* Keys as the builds since 0c112d2 write them. */
static void reports_of_other_builds_are_read(void)
{
	setup();
	crash_apply_report(proxy.crashes, "0000000000000def/s1");
	crash_apply_report(proxy.crashes, "no-number/s2");
	g_assert_false(crash_is_request_refused(proxy.crashes, 0xdef));
	crash_apply_report(proxy.crashes, "0000000000000def/s2");
	g_assert_true(crash_is_request_refused(proxy.crashes, 0xdef));
	g_assert_false(crash_is_request_refused(proxy.crashes, 0xabc));
	teardown();
}

/* The store comes back from a copy without the report. */
static void report_is_written_again_in_a_new_era(void)
{
	setup();
	run_ms(100);
	platform_kv_take_copy(kv);
	crash_server();
	run_ms(1000);
	g_assert_cmpuint(g_hash_table_size(reports), ==, 1);
	g_assert_true(platform_kv_go_back(kv));
	run_ms(300);
	notices_on_new_era(proxy.notices);
	/* a key that stays missing is removed after two seconds */
	run_ms(3000);
	g_assert_cmpuint(g_hash_table_size(reports), ==, 1);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("crash", report_is_written_after_a_refused_lease);
	ADD_TEST("crash", report_is_written_again_in_a_new_era);
	ADD_TEST("crash", reports_of_other_builds_are_read);
	return g_test_run();
}
