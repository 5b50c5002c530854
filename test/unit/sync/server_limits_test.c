#include "sync/server_limits.h"

#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#include "kv/mirror.h"
#include "kv/notices.h"
#include "net/tcp.h"
#include "platform_kv.h"
#include "sync/crash.h"
#include "sync/sender.h"
#include "sync/store_sync.h"
#include "unit/test.h"

/* Two entry VMs, e1 and e2, that read the store's stand-in in one process. */

#define LIST "servers/s1"

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct event_base *base;
static struct platform_kv *kv;
static struct responder *store;

struct test_vm {
	struct proxy proxy;
	struct proxy_settings settings;
};

static struct test_vm e1;
static struct test_vm e2;

static void list_server(int64_t start_unix_ms)
{
	char *text = g_strdup_printf(
		"{\"Address\":\"127.0.0.1:1\",\"Info\":{\"Service\":\"reg\","
		"\"Version\":\"v1\",\"Zone\":\"fyn-a\",\"Slots\":9},"
		"\"Status\":{\"State\":\"ready\",\"Seq\":1,\"ColdLeftMs\":0},"
		"\"born\":%" PRId64 "}",
		start_unix_ms);

	platform_kv_put(kv, LIST, text);
	g_free(text);
}

static void list_vm(const char *name, bool cut_off)
{
	char *key = g_strconcat(VMS_KEY_PREFIX, name, NULL);
	const struct vm_entry entry = {
		.address = "127.0.0.1:1",
		.failure_domain = "fyn-a",
		.relay_address = "",
		.status_address = "",
		.cut_off = cut_off,
	};
	char *text = vms_encode_entry(&entry);

	platform_kv_put(kv, key, text);
	free(text);
	g_free(key);
}

static void start_vm(struct test_vm *vm, const char *name,
		     const struct sockaddr_in *address)
{
	struct proxy *proxy = &vm->proxy;

	vm->settings.name = g_strdup(name);
	vm->settings.relay_address = (char *)"";
	vm->settings.store_history_s = 20;
	proxy->base = base;
	proxy->clock = &now;
	proxy->settings = &vm->settings;
	proxy->topology.domains = domains;
	proxy->topology.domain_count = G_N_ELEMENTS(domains);
	proxy->region = g_intern_string("fyn");
	proxy->failure_domain = g_intern_string("fyn-a");
	proxy->servers = servers_new(&now, &proxy->topology);
	proxy->vms = vms_new(&proxy->topology);
	proxy->notices = notices_new(base, &now, address);
	proxy->limits = server_limits_new(proxy);
	proxy->crashes = crash_watch_new(proxy);
	proxy->store_sync = store_sync_new(proxy, address);
}

static void stop_vm(struct test_vm *vm)
{
	struct proxy *proxy = &vm->proxy;

	store_sync_free(proxy->store_sync);
	crash_watch_free(proxy->crashes);
	server_limits_free(proxy->limits);
	notices_free(proxy->notices);
	vms_free(proxy->vms);
	servers_free(proxy->servers);
	g_free(vm->settings.name);
	memset(vm, 0, sizeof(*vm));
}

static void run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(2000);
		clock_manual_advance_ms(&manual, 5);
	}
}

/* Runs until the condition holds, for up to eight seconds of the clock. */
#define RUN_UNTIL(condition)                             \
	do {                                             \
		int tries_left = 160;                    \
                                                         \
		while (!(condition) && tries_left-- > 0) \
			run_ms(50);                      \
		g_assert_true(condition);                \
	} while (0)

static struct server *server_of(const struct test_vm *vm)
{
	return servers_find(vm->proxy.servers, "s1");
}

static bool is_limited(const struct test_vm *vm)
{
	return server_of(vm) && server_limit_is_named(&server_of(vm)->limit);
}

static void respond(struct test_vm *vm, const struct response_meta *meta)
{
	server_limits_record_response(vm->proxy.limits, server_of(vm), meta);
}

static void setup(void)
{
	struct sockaddr_in address;
	char text[32];
	int tries;

	now = clock_from_manual(&manual);
	base = event_base_new();
	kv = platform_kv_new(base);
	for (tries = 0; tries < 20 && !store; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		store = responder_new(base, text, platform_kv_handle, kv);
	}
	g_assert_nonnull(store);
	g_assert_true(tcp_parse_address(text, &address));
	list_server(7);
	list_vm("e1", false);
	list_vm("e2", false);
	start_vm(&e1, "e1", &address);
	start_vm(&e2, "e2", &address);
	RUN_UNTIL(server_of(&e1) && server_of(&e2) &&
		  vms_all(e1.proxy.vms)->len == 2 &&
		  vms_all(e2.proxy.vms)->len == 2);
}

static void teardown(void)
{
	stop_vm(&e1);
	stop_vm(&e2);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	event_base_free(base);
}

static const struct response_meta limited = {
	.stamped = true,
	.has_limit = true,
	.limit_per_s = 2.2,
};
static const struct response_meta unlimited = { .stamped = true };

/* e2 never has a response of the server. */
static void limit_is_known_to_vms_without_a_response(void)
{
	setup();
	respond(&e1, &limited);
	g_assert_false(is_limited(&e2));
	RUN_UNTIL(is_limited(&e2));
	g_assert_cmpfloat(server_of(&e2)->limit.known.per_s, ==, 2.2);
	respond(&e1, &unlimited);
	RUN_UNTIL(!is_limited(&e2));
	teardown();
}

static void report_is_written_once_the_store_responds(void)
{
	setup();
	platform_kv_set_fault(kv, "busy");
	respond(&e1, &limited);
	run_ms(4000);
	g_assert_false(is_limited(&e2));
	platform_kv_set_fault(kv, "sound");
	RUN_UNTIL(is_limited(&e2));
	teardown();
}

/* The server starts again under the same id; the report is of its last start. */
static void report_of_an_earlier_start_is_ignored(void)
{
	setup();
	respond(&e1, &limited);
	RUN_UNTIL(is_limited(&e2));
	list_server(8);
	RUN_UNTIL(server_of(&e2)->start_unix_ms == 8);
	run_ms(500);
	g_assert_false(is_limited(&e2));
	teardown();
}

/* The report may be read before the server's entry. */
static void report_is_applied_to_a_server_listed_later(void)
{
	setup();
	respond(&e1, &limited);
	RUN_UNTIL(is_limited(&e2));
	platform_kv_remove(kv, LIST);
	RUN_UNTIL(!server_of(&e2));
	list_server(9);
	platform_kv_put(kv, LIMIT_KEY_PREFIX "s1",
			"{\"start_unix_ms\":9,\"per_s\":4}");
	RUN_UNTIL(is_limited(&e2));
	g_assert_cmpfloat(server_of(&e2)->limit.known.per_s, ==, 4);
	teardown();
}

static void invalid_reports_and_limits_change_nothing(void)
{
	static const struct response_meta invalid = {
		.stamped = true,
		.limit_invalid = true,
	};

	setup();
	respond(&e1, &limited);
	RUN_UNTIL(is_limited(&e2));
	respond(&e1, &invalid);
	platform_kv_put(kv, LIMIT_KEY_PREFIX "s1", "{\"per_s\":\"all\"}");
	platform_kv_put(kv, LIMIT_KEY_PREFIX, "{}");
	run_ms(2000);
	g_assert_true(is_limited(&e1));
	g_assert_true(is_limited(&e2));
	teardown();
}

/* A VM that can connect to no server must not be the one that may send. */
static void vms_that_are_cut_off_are_no_senders(void)
{
	const struct sender_rank *rank;

	setup();
	rank = sender_rank_at(&e1.proxy, server_of(&e1));
	g_assert_cmpuint(rank->local_count, ==, 2);
	list_vm("e2", true);
	RUN_UNTIL(vms_count_cut_off(e1.proxy.vms) == 1 &&
		  vms_count_cut_off(e2.proxy.vms) == 1);
	rank = sender_rank_at(&e1.proxy, server_of(&e1));
	g_assert_cmpuint(rank->local_count, ==, 1);
	g_assert_cmpuint(rank->position, ==, 0);
	g_assert_null(sender_rank_at(&e2.proxy, server_of(&e2)));
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("server_limits", limit_is_known_to_vms_without_a_response);
	ADD_TEST("server_limits", report_is_written_once_the_store_responds);
	ADD_TEST("server_limits", report_of_an_earlier_start_is_ignored);
	ADD_TEST("server_limits", report_is_applied_to_a_server_listed_later);
	ADD_TEST("server_limits", invalid_reports_and_limits_change_nothing);
	ADD_TEST("server_limits", vms_that_are_cut_off_are_no_senders);
	return g_test_run();
}
