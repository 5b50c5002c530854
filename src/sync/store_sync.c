#include "sync/store_sync.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "kv/mirror.h"
#include "kv/notices.h"
#include "kv/presence.h"
#include "kv/relay.h"
#include "net/timer.h"
#include "platform/config_codec.h"
#include "platform/server_codec.h"
#include "sync/config_loader.h"
#include "sync/crash.h"
#include "sync/operator_keys.h"
#include "sync/server_limits.h"

/* Delays that batch changes, so that the whole fleet makes fewer calls to the
 * store. They are a tenth of the time within which a configuration must be in
 * force, a fifth of the time within which a server that leaves must stop
 * getting requests, and a third of a lease. */
#define OPERATOR_BATCH_DELAY_MS 250
#define SERVERS_BATCH_DELAY_MS 400
#define FLEET_BATCH_DELAY_MS 1000

/* Lease renewal interval of the VM that reads from the store for others.
 * Together with the timeout of a renewal, it detects an outage of the store in
 * less than 1.5 s. */
#define RELAY_RENEWAL_INTERVAL_MS 500

/* Lease renewal interval of a VM that reads through a relay, which tells it of
 * an outage. Within the lease's time, one renewal may fail. */
#define FOLLOWER_RENEWAL_INTERVAL_MS 1500

/* If no VM is registered yet, the first one registers within this time: the
 * time for a lease, the key, and the batch delay. */
#define RELAY_REGISTRATION_WAIT_MS 1500

/* How long a VM waits for a relay that is still starting. Callers may be
 * waiting already unless the fleet starts for the first time; after a loss of
 * power the relay starts at the same time. */
#define RELAY_WAIT_FIRST_START_MS 1000
#define RELAY_WAIT_MS 600

/* How long a relay is not used that could not read from the store, and how long
 * its successor is used at least. */
#define RELAY_UNFIT_MS 10000
#define RELAY_UNFIT_INTERVAL_MS 3000

/* How long an evacuation is kept that is missing after the store has come back
 * from a copy: the operator writes it again. */
#define OPERATOR_REWRITE_HOLD_MS 5000

/* A connection on which the store lost a response returns nothing further: the
 * watch on it is given up after this share of the time in which a fleet must
 * recover. The rest is left for reading all keys again. */
#define LOST_WATCH_PERCENT 75

/* Ranges of the list of VMs that may be some seconds old: one shows the relay
 * to a VM that starts later; at the first start of the fleet, the second one
 * shows the VMs that started together. */
#define STALE_RANGES 1
#define STALE_RANGES_FIRST_START 2

struct store_sync {
	struct proxy *proxy;
	struct mirror *operator_keys;
	struct mirror *server_keys;
	struct mirror *fleet_keys;
	struct relay *relay; /* for other VMs; NULL: not configured */
	/* VM that reads from the store for this failure domain, possibly this
	 * one; "": none, NULL: not chosen yet */
	char *relay_name;
	int64_t next_unfit_ms;	   /* no relay is left as unfit before */
	struct event *start_timer; /* starts reading without a relay */
	bool fleet_synced;
	bool operator_synced;
	bool servers_synced;
};

static void on_operator_put(void *context, const struct kv_item *item)
{
	operator_keys_put(((struct store_sync *)context)->proxy, item);
}

static void on_operator_removed(void *context, const char *key)
{
	operator_keys_remove(((struct store_sync *)context)->proxy, key);
}

static void on_operator_synced(void *context)
{
	((struct store_sync *)context)->operator_synced = true;
}

static void on_server_put(void *context, const struct kv_item *item)
{
	struct proxy *proxy = ((struct store_sync *)context)->proxy;
	struct server_entry entry;
	const char *problem = server_entry_decode(item->key, item->value,
						  item->value_bytes, &entry);

	if (problem) {
		counter_add(COUNTER_UNREADABLE_ENTRIES, 1);
		log_warn("servers", "invalid server entry key=%s why=\"%s\"",
			 item->key, problem);
		servers_remove(proxy->servers,
			       item->key + strlen(PLATFORM_PREFIX_SERVERS));
	} else {
		servers_put(proxy->servers, &entry);
		server_limits_on_listed(proxy->limits, entry.id);
	}
	server_entry_clear(&entry);
}

static void on_server_removed(void *context, const char *key)
{
	struct proxy *proxy = ((struct store_sync *)context)->proxy;

	servers_remove(proxy->servers, key + strlen(PLATFORM_PREFIX_SERVERS));
}

static void on_server_missing(void *context, const char *key)
{
	struct proxy *proxy = ((struct store_sync *)context)->proxy;

	servers_mark_missing(proxy->servers,
			     key + strlen(PLATFORM_PREFIX_SERVERS));
}

static void on_servers_synced(void *context)
{
	struct store_sync *store_sync = context;

	if (!store_sync->servers_synced)
		log_info("servers", "server list read servers=%u",
			 servers_count(store_sync->proxy->servers));
	store_sync->servers_synced = true;
	servers_log_changes(store_sync->proxy->servers);
}

static void count_vms(const struct proxy *proxy)
{
	gauge_set(GAUGE_MEMBERS_LIVE, vms_all(proxy->vms)->len);
	gauge_set(GAUGE_VMS_CUT_OFF, vms_count_cut_off(proxy->vms));
}

static void on_fleet_put(void *context, const struct kv_item *item)
{
	struct proxy *proxy = ((struct store_sync *)context)->proxy;
	const char *vm = kv_strip_prefix(item->key, VMS_KEY_PREFIX);
	const char *crash = kv_strip_prefix(item->key, CRASH_KEY_PREFIX);
	const char *limited = kv_strip_prefix(item->key, LIMIT_KEY_PREFIX);

	if (vm)
		vms_put(proxy->vms, vm, item->value, item->value_bytes);
	else if (crash)
		crash_apply_report(proxy->crashes, crash);
	else if (limited)
		server_limits_put_report(proxy->limits, limited, item->value,
					 item->value_bytes);
	count_vms(proxy);
}

static void on_fleet_removed(void *context, const char *key)
{
	struct proxy *proxy = ((struct store_sync *)context)->proxy;
	const char *vm = kv_strip_prefix(key, VMS_KEY_PREFIX);
	const char *limited = kv_strip_prefix(key, LIMIT_KEY_PREFIX);

	if (vm)
		vms_remove(proxy->vms, vm);
	else if (limited)
		server_limits_remove_report(proxy->limits, limited);
	count_vms(proxy);
}

/* Directs reads to the relay of this failure domain, unless this VM is the
 * relay. */
static void choose_relay(struct store_sync *store_sync)
{
	struct proxy *proxy = store_sync->proxy;
	const struct vm *vm = vms_select_relay(proxy->vms, proxy->failure_domain,
					       proxy_now_ms(proxy));
	const char *name = vm ? vm->name : "";
	bool is_self = !strcmp(name, proxy->settings->name);
	const struct sockaddr_in *address = vm && !is_self ? &vm->relay : NULL;

	if (g_strcmp0(name, store_sync->relay_name)) {
		log_info("relay", "reads go by another VM now vm=%s old=%s", name,
			 store_sync->relay_name ? store_sync->relay_name : "");
		g_free(store_sync->relay_name);
		store_sync->relay_name = g_strdup(name);
	}
	/* other VMs depend on their relay to detect an outage of the store */
	if (proxy->presence)
		presence_set_renew_interval(proxy->presence,
					    is_self ? RELAY_RENEWAL_INTERVAL_MS
					    : address
						    ? FOLLOWER_RENEWAL_INTERVAL_MS
						    : PRESENCE_RENEW_INTERVAL_MS);
	mirror_set_relay(store_sync->operator_keys, address);
	mirror_set_relay(store_sync->server_keys, address);
	mirror_set_relay(store_sync->fleet_keys, address);
}

static uint32_t relay_wait_ms(const struct store_sync *store_sync)
{
	return store_sync->proxy->settings->first_start
		       ? RELAY_WAIT_FIRST_START_MS
		       : RELAY_WAIT_MS;
}

/* If all VMs of the failure domain read from the store while the relay cannot,
 * they call it once for each change and VM. */
static void on_relay_unfit(void *context)
{
	struct store_sync *store_sync = context;
	struct proxy *proxy = store_sync->proxy;
	const int64_t now_ms = proxy_now_ms(proxy);

	/* The next VM notices only after a while that it is the relay now. If all
	 * VMs went on to the one after it at once, none would ever be ready. */
	if (!store_sync->relay_name || !*store_sync->relay_name ||
	    !strcmp(store_sync->relay_name, proxy->settings->name) ||
	    now_ms < store_sync->next_unfit_ms)
		return;
	store_sync->next_unfit_ms = now_ms + RELAY_UNFIT_INTERVAL_MS;
	log_warn("relay", "relay cannot read from the store vm=%s for_ms=%d",
		 store_sync->relay_name, RELAY_UNFIT_MS);
	vms_mark_relay_unfit(proxy->vms, store_sync->relay_name,
			     now_ms + RELAY_UNFIT_MS);
	choose_relay(store_sync);
}

static void start_reading(struct store_sync *store_sync)
{
	const uint32_t wait_ms = relay_wait_ms(store_sync);

	evtimer_del(store_sync->start_timer);
	mirror_start(store_sync->operator_keys, wait_ms);
	mirror_start(store_sync->server_keys, wait_ms);
}

static void on_start_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	start_reading(context);
}

static void on_fleet_synced(void *context)
{
	struct store_sync *store_sync = context;

	choose_relay(store_sync);
	if (*store_sync->relay_name)
		start_reading(store_sync);
	if (store_sync->fleet_synced)
		return;
	store_sync->fleet_synced = true;
	/* after the first start of the fleet, callers may be waiting already:
	 * do not wait for a relay to register */
	if (!store_sync->proxy->settings->first_start)
		start_reading(store_sync);
	else if (!*store_sync->relay_name)
		timer_start(store_sync->start_timer, RELAY_REGISTRATION_WAIT_MS);
}

/* The list of VMs is read by every VM, so it shows a new era to each of them. */
static void on_fleet_new_era(void *context, uint64_t era)
{
	struct proxy *proxy = ((struct store_sync *)context)->proxy;

	if (proxy->presence)
		presence_on_new_era(proxy->presence, era);
	notices_on_new_era(proxy->notices);
}

static const struct mirror_events operator_events = {
	.relay_unfit = on_relay_unfit,
	.put = on_operator_put,
	.removed = on_operator_removed,
	.synced = on_operator_synced,
};
static const struct mirror_events server_events = {
	.relay_unfit = on_relay_unfit,
	.put = on_server_put,
	.removed = on_server_removed,
	.missing = on_server_missing,
	.synced = on_servers_synced,
};
static const struct mirror_events fleet_events = {
	.relay_unfit = on_relay_unfit,
	.put = on_fleet_put,
	.removed = on_fleet_removed,
	.new_era = on_fleet_new_era,
	.synced = on_fleet_synced,
};

static bool start_relay(struct store_sync *store_sync)
{
	const char *address = store_sync->proxy->settings->relay_address;
	struct feed *const feeds[] = {
		mirror_feed(store_sync->operator_keys),
		mirror_feed(store_sync->server_keys),
		mirror_feed(store_sync->fleet_keys),
	};

	if (!*address)
		return true;
	store_sync->relay = relay_new(store_sync->proxy->base, address, feeds,
				      G_N_ELEMENTS(feeds));
	return store_sync->relay != NULL;
}

static void set_store_limits(struct store_sync *store_sync)
{
	const struct proxy *proxy = store_sync->proxy;
	const struct proxy_settings *settings = proxy->settings;
	const uint32_t history_ms =
		settings->store_history_s * (uint32_t)MS_PER_S;
	const uint32_t lost_watch_ms =
		proxy->bounds.stability_ms / 100 * LOST_WATCH_PERCENT;
	struct mirror *const mirrors[] = { store_sync->operator_keys,
					   store_sync->server_keys,
					   store_sync->fleet_keys };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(mirrors); i++) {
		mirror_set_history(mirrors[i], history_ms);
		mirror_set_lost_watch_timeout(mirrors[i], lost_watch_ms);
	}
	mirror_set_rewrite_hold(store_sync->operator_keys,
				OPERATOR_REWRITE_HOLD_MS);
	mirror_allow_stale_start(store_sync->fleet_keys,
				 settings->first_start ? STALE_RANGES_FIRST_START
						       : STALE_RANGES,
				 FLEET_BATCH_DELAY_MS);
}

struct store_sync *store_sync_new(struct proxy *proxy,
				  const struct sockaddr_in *store)
{
	struct store_sync *store_sync = g_new0(struct store_sync, 1);

	store_sync->proxy = proxy;
	proxy->config_loader = config_loader_new(proxy);
	store_sync->start_timer =
		evtimer_new(proxy->base, on_start_timer, store_sync);
	store_sync->operator_keys =
		mirror_new(proxy->base, proxy->clock, store,
			   PLATFORM_PREFIX_OPERATOR, OPERATOR_BATCH_DELAY_MS,
			   &operator_events, store_sync);
	store_sync->server_keys =
		mirror_new(proxy->base, proxy->clock, store,
			   PLATFORM_PREFIX_SERVERS, SERVERS_BATCH_DELAY_MS,
			   &server_events, store_sync);
	store_sync->fleet_keys =
		mirror_new(proxy->base, proxy->clock, store, FLEET_KEY_PREFIX,
			   FLEET_BATCH_DELAY_MS, &fleet_events, store_sync);
	if (!proxy->config_loader || !store_sync->operator_keys ||
	    !store_sync->server_keys || !store_sync->fleet_keys ||
	    !start_relay(store_sync)) {
		store_sync_free(store_sync);
		return NULL;
	}
	set_store_limits(store_sync);
	mirror_start(store_sync->fleet_keys, relay_wait_ms(store_sync));
	return store_sync;
}

void store_sync_free(struct store_sync *store_sync)
{
	if (!store_sync)
		return;
	event_free(store_sync->start_timer);
	relay_free(store_sync->relay);
	mirror_free(store_sync->operator_keys);
	config_loader_free(store_sync->proxy->config_loader);
	store_sync->proxy->config_loader = NULL;
	mirror_free(store_sync->server_keys);
	mirror_free(store_sync->fleet_keys);
	g_free(store_sync->relay_name);
	g_free(store_sync);
}

bool store_sync_is_complete(const struct store_sync *store_sync)
{
	return store_sync->operator_synced && store_sync->servers_synced;
}

void store_sync_reload(struct store_sync *store_sync)
{
	mirror_resync(store_sync->operator_keys);
	mirror_resync(store_sync->server_keys);
	mirror_resync(store_sync->fleet_keys);
}

void store_sync_on_store_unreachable(struct store_sync *store_sync)
{
	mirror_on_store_unreachable(store_sync->operator_keys);
	mirror_on_store_unreachable(store_sync->server_keys);
	mirror_on_store_unreachable(store_sync->fleet_keys);
}

void store_sync_on_store_reachable(struct store_sync *store_sync)
{
	mirror_on_store_reachable(store_sync->operator_keys);
	mirror_on_store_reachable(store_sync->server_keys);
	mirror_on_store_reachable(store_sync->fleet_keys);
}

int64_t store_sync_servers_age_ms(const struct store_sync *store_sync)
{
	return mirror_age_ms(store_sync->server_keys);
}

int64_t store_sync_fleet_age_ms(const struct store_sync *store_sync)
{
	return mirror_age_ms(store_sync->fleet_keys);
}

uint64_t store_sync_era(const struct store_sync *store_sync)
{
	return mirror_era(store_sync->operator_keys);
}

const char *store_sync_relay(const struct store_sync *store_sync)
{
	return store_sync->relay_name ? store_sync->relay_name : "";
}

struct relay *store_sync_relay_server(const struct store_sync *store_sync)
{
	return store_sync->relay;
}
