#include "sync/store_sync.h"

#include <event2/event.h>
#include <stdlib.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/counter.h"
#include "kv/notices.h"
#include "net/tcp.h"
#include "platform/config_codec.h"
#include "platform/server_codec.h"
#include "platform_kv.h"
#include "sync/crash.h"
#include "sync/server_limits.h"
#include "unit/test.h"

/* Runs the store sync of several VMs of one failure domain against the store's
 * stand-in in one process. Some of the VMs reach the store at a second address,
 * where it turns them away for a while. */

#define VMS 16
#define TURNED_AWAY 3
/* Time after which a configuration must be in force. */
#define CONFIG_BOUND_MS 2500
/* A VM is used as relay for three seconds at least. */
#define RELAY_MIN_MS 3000
/* Time after a disruption of the store in which the fleet must recover. */
#define STABILITY_MS 4000
/* Shorter than the time between two renewals of a lease. */
#define SHORT_SILENCE_MS 250

struct vm_under_test {
	struct proxy_settings settings;
	struct proxy proxy;
	char name[16];
	char relay_address[32];
	char relay[16]; /* that it reads from */
	uint32_t relay_changes;
};

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct event_base *base;
static struct platform_kv *kv;
static struct responder *store;
static struct responder *second_store; /* of the VMs that are turned away */
static char second_address[32];
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct vm_under_test vms[VMS];

static struct responder *open_store(char *text, size_t bytes,
				    struct sockaddr_in *address)
{
	struct responder *responder = NULL;
	int tries;

	for (tries = 0; tries < 20 && !responder; tries++) {
		g_snprintf(text, (gulong)bytes, "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		responder = responder_new(base, text, platform_kv_handle, kv);
	}
	g_assert_nonnull(responder);
	g_assert_true(tcp_parse_address(text, address));
	return responder;
}

static void refuse(void *context, struct responder_request *request)
{
	(void)context;
	responder_reply(request, 503, NULL, NULL);
}

/* From now on the store turns away the VMs at its second address. */
static void turn_away(void)
{
	responder_free(second_store);
	second_store = responder_new(base, second_address, refuse, NULL);
	g_assert_nonnull(second_store);
}

/* A port that was free a moment ago; the kernel does not give it out again soon. */
static uint16_t free_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, bytes), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &bytes),
			==, 0);
	close(fd);
	return ntohs(address.sin_port);
}

static uint64_t name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* The VM with the lowest hash of its name is the relay. */
static int compare_vms(const void *a, const void *b)
{
	uint64_t left = name_hash(((const struct vm_under_test *)a)->name);
	uint64_t right = name_hash(((const struct vm_under_test *)b)->name);

	return (left > right) - (left < right);
}

static void register_vm(const struct vm_under_test *vm)
{
	char *key = g_strconcat(VMS_KEY_PREFIX, vm->name, NULL);
	const struct vm_entry entry = {
		.address = "127.0.0.1:1",
		.failure_domain = "fyn-a",
		.relay_address = vm->relay_address,
		.status_address = "",
	};
	char *text = vms_encode_entry(&entry);

	platform_kv_put(kv, key, text);
	g_free(key);
	free(text);
}

static void start_vm(struct vm_under_test *vm, const struct sockaddr_in *address)
{
	struct proxy *proxy = &vm->proxy;

	vm->settings.name = vm->name;
	vm->settings.relay_address = vm->relay_address;
	vm->settings.store_history_s = 20;
	proxy->base = base;
	proxy->clock = &now;
	proxy->settings = &vm->settings;
	proxy->bounds.stability_ms = STABILITY_MS;
	proxy->topology.domains = domains;
	proxy->topology.domain_count = G_N_ELEMENTS(domains);
	proxy->region = g_intern_string("fyn");
	proxy->failure_domain = g_intern_string("fyn-a");
	proxy->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	proxy->servers = servers_new(&now, &proxy->topology);
	proxy->vms = vms_new(&proxy->topology);
	proxy->notices = notices_new(base, &now, address);
	proxy->limits = server_limits_new(proxy);
	proxy->crashes = crash_watch_new(proxy);
	proxy->store_sync = store_sync_new(proxy, address);
	g_assert_nonnull(proxy->store_sync);
}

static void stop_vm(struct vm_under_test *vm)
{
	struct proxy *proxy = &vm->proxy;

	store_sync_free(proxy->store_sync);
	crash_watch_free(proxy->crashes);
	server_limits_free(proxy->limits);
	notices_free(proxy->notices);
	vms_free(proxy->vms);
	servers_free(proxy->servers);
	g_hash_table_destroy(proxy->evacuated);
	config_unref(proxy->config);
	memset(vm, 0, sizeof(*vm));
}

static void count_relay_changes(void)
{
	uint32_t i;

	for (i = 0; i < VMS; i++) {
		const char *relay = store_sync_relay(vms[i].proxy.store_sync);

		vms[i].relay_changes += strcmp(vms[i].relay, relay) != 0;
		g_strlcpy(vms[i].relay, relay, sizeof(vms[i].relay));
	}
}

/* Runs the event loop and advances the clock with it. */
static void run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		count_relay_changes();
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(5000);
		clock_manual_advance_ms(&manual, 5);
	}
}

static void publish(uint32_t version)
{
	char *text = g_strdup_printf(
		"{\"Version\":\"%08x\",\"Routes\":{},\"Services\":{},"
		"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1000,"
		"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}",
		version);

	platform_kv_put(kv, PLATFORM_KEY_CONFIG, text);
	g_free(text);
}

static void setup(void)
{
	struct sockaddr_in address;
	struct sockaddr_in other_address;
	char text[32];
	uint32_t i;

	now = clock_from_manual(&manual);
	base = event_base_new();
	kv = platform_kv_new(base);
	store = open_store(text, sizeof(text), &address);
	second_store = open_store(second_address, sizeof(second_address),
				  &other_address);
	for (i = 0; i < VMS; i++)
		g_snprintf(vms[i].name, sizeof(vms[i].name), "vm-%u", i);
	qsort(vms, VMS, sizeof(vms[0]), compare_vms);
	for (i = 0; i < VMS; i++) {
		g_snprintf(vms[i].relay_address, sizeof(vms[i].relay_address),
			   "127.0.0.1:%d", free_port());
		register_vm(&vms[i]);
	}
	publish(1);
	for (i = 0; i < VMS; i++)
		start_vm(&vms[i], i < TURNED_AWAY ? &other_address : &address);
}

static void teardown(void)
{
	uint32_t i;

	for (i = 0; i < VMS; i++)
		stop_vm(&vms[i]);
	responder_free(store);
	responder_free(second_store);
	platform_kv_free(kv);
	event_base_free(base);
}

/* The store turns the relay and its successor away. The other VMs must neither
 * miss configurations nor go from one VM to the next. */
static void relays_that_the_store_turns_away(void)
{
	uint32_t version;
	uint32_t i;

	setup();
	run_ms(1500);
	for (i = 0; i < VMS; i++)
		vms[i].relay_changes = 0;
	turn_away();
	for (version = 2; version <= 6; version++) {
		publish(version);
		run_ms(CONFIG_BOUND_MS);
		for (i = TURNED_AWAY; i < VMS; i++) {
			g_assert_nonnull(vms[i].proxy.config);
			g_assert_cmpuint(vms[i].proxy.config->version, ==,
					 version);
		}
	}
	for (i = TURNED_AWAY; i < VMS; i++)
		g_assert_cmpuint(vms[i].relay_changes, <=,
				 1 + 5 * CONFIG_BOUND_MS / RELAY_MIN_MS);
	teardown();
}

static void assert_version_in_force(uint32_t version)
{
	uint32_t i;

	for (i = 0; i < VMS; i++) {
		g_assert_nonnull(vms[i].proxy.config);
		g_assert_cmpuint(vms[i].proxy.config->version, ==, version);
	}
}

/* The relay's watch reaches the store while it is silent, too shortly for any
 * other call to fail. The VMs of the failure domain went on for 13.5 s with the
 * configuration that the relay had. */
static void watch_sent_during_a_short_silence(void)
{
	setup();
	run_ms(1500);
	publish(2);
	run_ms(150);
	platform_kv_set_fault(kv, "silent");
	run_ms(SHORT_SILENCE_MS);
	platform_kv_set_fault(kv, "sound");
	publish(3);
	run_ms(STABILITY_MS);
	assert_version_in_force(3);
	teardown();
}

/* The same, with a watch that waits and whose event falls into the silence. */
static void event_during_a_short_silence(void)
{
	setup();
	run_ms(1500);
	platform_kv_set_fault(kv, "silent");
	run_ms(SHORT_SILENCE_MS / 2);
	publish(2);
	run_ms(SHORT_SILENCE_MS / 2);
	platform_kv_set_fault(kv, "sound");
	run_ms(STABILITY_MS);
	assert_version_in_force(2);
	teardown();
}

#define SOUND_SERVER                                                      \
	"{\"Address\":\"127.0.0.1:9\",\"Info\":{\"Service\":\"reg\","     \
	"\"Version\":\"v1\",\"Zone\":\"fyn-a\",\"Slots\":3},\"Status\":{" \
	"\"State\":\"ready\",\"Seq\":1,\"ColdLeftMs\":0}}"

/* Another writer's entries among those of the servers: whatever they hold, VMs
 * and those that read from them go on following the list. */
static void odd_entries_do_not_stop_the_reading(void)
{
	char *nested = g_strnfill(200000, '[');
	const char *const odd[] = {
		nested,
		"{\"Address\":\"127.0.0.1:99999\"}",
		"{\"Address\":\"127.0.0.1:9\",\"born\":99999999999999999999}",
		"{\"Address\":1e999}",
		"\xff\xfe",
		"",
	};
	char key[32];
	uint32_t i;

	setup();
	run_ms(1000);
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_snprintf(key, sizeof(key), PLATFORM_PREFIX_SERVERS "odd-%u", i);
		platform_kv_put(kv, key, odd[i]);
	}
	platform_kv_put(kv, PLATFORM_PREFIX_SERVERS "a\r\nb", SOUND_SERVER);
	run_ms(1500);
	platform_kv_put(kv, PLATFORM_PREFIX_SERVERS "sound", SOUND_SERVER);
	publish(2);
	run_ms(CONFIG_BOUND_MS);
	assert_version_in_force(2);
	for (i = 0; i < VMS; i++)
		g_assert_cmpuint(servers_count(vms[i].proxy.servers), ==, 1);
	platform_kv_remove(kv, PLATFORM_PREFIX_SERVERS "sound");
	run_ms(CONFIG_BOUND_MS);
	for (i = 0; i < VMS; i++)
		g_assert_cmpuint(servers_count(vms[i].proxy.servers), ==, 0);
	teardown();
	g_free(nested);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("store_sync", relays_that_the_store_turns_away);
	ADD_TEST("store_sync", watch_sent_during_a_short_silence);
	ADD_TEST("store_sync", event_during_a_short_silence);
	ADD_TEST("store_sync", odd_entries_do_not_stop_the_reading);
	return g_test_run();
}
