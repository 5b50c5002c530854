#include "proxy/belief.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "kv/mirror.h"
#include "kv/presence.h"
#include "kv/relay.h"
#include "net/timer.h"
#include "platform/config_codec.h"
#include "platform/server_codec.h"
#include "proxy/crash.h"

/* Servers of a failure domain that was evacuated are taken as cold for this
 * long after it is taken back, if no service says otherwise. */
#define COLD_AFTER_EVACUATION_MS 3000

/* Pauses that gather changes, each a call saved for the whole fleet. A tenth of
 * the time in which a configuration must be in force, a fifth of that in which
 * a leaving server must get no more requests, and a third of a lease. */
#define GATHER_OPERATOR_MS 250
#define GATHER_SERVERS_MS 400
#define GATHER_FLEET_MS 1000

/* Renewals of the lease of a VM that reads from the store for others: together
 * with the timeout of a renewal, it notices a store that is away in less than
 * 1.5 s. */
#define RENEWAL_OF_RELAY_MS 500

/* Where no VM has registered yet, the first one does so within this time: a
 * lease, the key, and the pause that gathers changes. */
#define RELAY_APPEARS_MS 1500

struct belief {
	struct proxy *proxy;
	struct mirror *operator_keys;
	struct mirror *server_keys;
	struct mirror *fleet_keys;
	struct relay *relay; /* answers other VMs; NULL: not asked to */
	char *relay_name;    /* VM that reads from the store for this one */
	struct event *start; /* reads without a relay */
	bool fleet_read;
	bool operator_read;
	bool servers_read;
};

static void put_config(struct proxy *proxy, const struct kv_item *item)
{
	struct config *config;
	const char *problem;

	config = config_decode(item->value, item->value_bytes, &problem);
	if (!config) {
		counter_add(COUNTER_DOCUMENTS_REFUSED, 1);
		log_warn("config",
			 "configuration is refused revision=%" PRIu64
			 " why=\"%s\"",
			 item->revision, problem);
		return;
	}
	if (proxy->config && config->version <= proxy->config->version) {
		log_info("config",
			 "older configuration is ignored "
			 "version=%08" PRIx64 " in_force=%08" PRIx64,
			 config->version, proxy->config->version);
		config_release(config);
		return;
	}
	config_release(proxy->config);
	proxy->config = config;
	counter_add(COUNTER_DOCUMENTS_APPLIED, 1);
	gauge_set(GAUGE_DOCUMENT_VERSION, (int64_t)config->version);
	log_info("config",
		 "configuration is in force version=%08" PRIx64
		 " routes=%u services=%u revision=%" PRIu64,
		 config->version, config->route_count, config->service_count,
		 item->revision);
}

/* @return what follows the prefix, or NULL when the key has another one. */
static const char *behind(const char *key, const char *prefix)
{
	const size_t bytes = strlen(prefix);

	return strncmp(key, prefix, bytes) ? NULL : key + bytes;
}

static uint32_t cold_after_evacuation_ms(const struct proxy *proxy)
{
	uint32_t ms = 0;
	uint32_t i;

	for (i = 0; proxy->config && i < proxy->config->service_count; i++)
		ms = MAX(ms, proxy->config->services[i].cold_start_ms);
	return ms ? ms : COLD_AFTER_EVACUATION_MS;
}

static void on_operator_put(void *context, const struct kv_item *item)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;
	const char *domain = behind(item->key, PLATFORM_KEY_EVACUATE);

	if (domain) {
		g_hash_table_add(proxy->evacuated, g_strdup(domain));
		log_info("evacuation",
			 "failure domain is evacuated domain=%s "
			 "revision=%" PRIu64,
			 domain, item->revision);
	} else if (!strcmp(item->key, PLATFORM_KEY_CONFIG)) {
		put_config(proxy, item);
	}
}

static void on_operator_removed(void *context, const char *key)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;
	const char *domain = behind(key, PLATFORM_KEY_EVACUATE);

	if (!domain || !g_hash_table_remove(proxy->evacuated, domain))
		return;
	servers_chill(proxy->servers, domain, cold_after_evacuation_ms(proxy));
	log_info("evacuation", "failure domain is taken back domain=%s", domain);
}

static void on_operator_synced(void *context)
{
	((struct belief *)context)->operator_read = true;
}

static void on_server_put(void *context, const struct kv_item *item)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;
	struct server_entry entry;
	const char *problem =
		server_decode(item->key, item->value, item->value_bytes, &entry);

	if (problem) {
		log_warn("servers", "entry names no server key=%s why=\"%s\"",
			 item->key, problem);
		servers_remove(proxy->servers,
			       item->key + strlen(PLATFORM_PREFIX_SERVERS));
	} else {
		servers_put(proxy->servers, &entry);
	}
	server_entry_clear(&entry);
}

static void on_server_removed(void *context, const char *key)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;

	servers_remove(proxy->servers, key + strlen(PLATFORM_PREFIX_SERVERS));
}

static void on_server_missing(void *context, const char *key)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;

	servers_miss(proxy->servers, key + strlen(PLATFORM_PREFIX_SERVERS));
}

static void on_servers_synced(void *context)
{
	struct belief *belief = context;

	if (!belief->servers_read)
		log_info("servers", "list is read servers=%u",
			 servers_count(belief->proxy->servers));
	belief->servers_read = true;
}

static void on_fleet_put(void *context, const struct kv_item *item)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;
	const char *vm = behind(item->key, VMS_KEY_PREFIX);
	const char *crash = behind(item->key, CRASH_KEY_PREFIX);

	if (vm)
		vms_put(proxy->vms, vm, item->value, item->value_bytes);
	else if (crash)
		crash_reported(proxy->crashes, crash);
	gauge_set(GAUGE_MEMBERS_LIVE, vms_all(proxy->vms)->len);
}

static void on_fleet_removed(void *context, const char *key)
{
	struct proxy *proxy = ((struct belief *)context)->proxy;
	const char *vm = behind(key, VMS_KEY_PREFIX);

	if (vm)
		vms_remove(proxy->vms, vm);
	gauge_set(GAUGE_MEMBERS_LIVE, vms_all(proxy->vms)->len);
}

/* Reads go by the relay of this failure domain, unless it is this VM. */
static void choose_relay(struct belief *belief)
{
	struct proxy *proxy = belief->proxy;
	const struct vm *vm = vms_relay(proxy->vms, proxy->failure_domain);
	const char *name = vm ? vm->name : "";
	bool is_self = !strcmp(name, proxy->settings->name);
	const struct sockaddr_in *address = vm && !is_self ? &vm->relay : NULL;

	if (g_strcmp0(name, belief->relay_name)) {
		log_info("relay", "reads go by another VM now vm=%s old=%s",
			 name, belief->relay_name ? belief->relay_name : "");
		g_free(belief->relay_name);
		belief->relay_name = g_strdup(name);
	}
	/* the others rely on a relay to notice that the store is away */
	if (proxy->presence)
		presence_set_renewal(proxy->presence,
				     is_self ? RENEWAL_OF_RELAY_MS
					     : PRESENCE_RENEW_MS);
	mirror_set_relay(belief->operator_keys, address);
	mirror_set_relay(belief->server_keys, address);
	mirror_set_relay(belief->fleet_keys, address);
}

static void start_reading(struct belief *belief)
{
	const bool first = belief->proxy->settings->first_start;

	evtimer_del(belief->start);
	mirror_start(belief->operator_keys, first);
	mirror_start(belief->server_keys, first);
}

static void on_start_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	start_reading(context);
}

static void on_fleet_synced(void *context)
{
	struct belief *belief = context;

	choose_relay(belief);
	if (belief->fleet_read)
		return;
	belief->fleet_read = true;
	/* once there are callers, they do not wait for this */
	if (*belief->relay_name || !belief->proxy->settings->first_start)
		start_reading(belief);
	else
		timer_start(belief->start, RELAY_APPEARS_MS);
}

static const struct mirror_events operator_events = {
	.put = on_operator_put,
	.removed = on_operator_removed,
	.synced = on_operator_synced,
};
static const struct mirror_events server_events = {
	.put = on_server_put,
	.removed = on_server_removed,
	.missing = on_server_missing,
	.synced = on_servers_synced,
};
static const struct mirror_events fleet_events = {
	.put = on_fleet_put,
	.removed = on_fleet_removed,
	.synced = on_fleet_synced,
};

static bool open_relay(struct belief *belief)
{
	const char *address = belief->proxy->settings->relay_address;
	struct feed *const feeds[] = {
		mirror_feed(belief->operator_keys),
		mirror_feed(belief->server_keys),
		mirror_feed(belief->fleet_keys),
	};

	if (!*address)
		return true;
	belief->relay = relay_new(belief->proxy->base, address, feeds,
				  G_N_ELEMENTS(feeds));
	return belief->relay != NULL;
}

struct belief *belief_new(struct proxy *proxy, const struct sockaddr_in *store)
{
	struct belief *belief = g_new0(struct belief, 1);

	belief->proxy = proxy;
	belief->start = evtimer_new(proxy->base, on_start_timer, belief);
	belief->operator_keys =
		mirror_new(proxy->base, proxy->clock, store,
			   PLATFORM_PREFIX_OPERATOR, GATHER_OPERATOR_MS,
			   &operator_events, belief);
	belief->server_keys =
		mirror_new(proxy->base, proxy->clock, store,
			   PLATFORM_PREFIX_SERVERS, GATHER_SERVERS_MS,
			   &server_events, belief);
	belief->fleet_keys =
		mirror_new(proxy->base, proxy->clock, store, FLEET_KEY_PREFIX,
			   GATHER_FLEET_MS, &fleet_events, belief);
	if (!belief->operator_keys || !belief->server_keys ||
	    !belief->fleet_keys || !open_relay(belief)) {
		belief_free(belief);
		return NULL;
	}
	mirror_start(belief->fleet_keys, false);
	return belief;
}

void belief_free(struct belief *belief)
{
	if (!belief)
		return;
	event_free(belief->start);
	relay_free(belief->relay);
	mirror_free(belief->operator_keys);
	mirror_free(belief->server_keys);
	mirror_free(belief->fleet_keys);
	g_free(belief->relay_name);
	g_free(belief);
}

bool belief_complete(const struct belief *belief)
{
	return belief->operator_read && belief->servers_read;
}

void belief_resync(struct belief *belief)
{
	mirror_resync(belief->operator_keys);
	mirror_resync(belief->server_keys);
	mirror_resync(belief->fleet_keys);
}

void belief_store_lost(struct belief *belief)
{
	mirror_store_lost(belief->operator_keys);
	mirror_store_lost(belief->server_keys);
	mirror_store_lost(belief->fleet_keys);
}

void belief_store_found(struct belief *belief)
{
	mirror_store_found(belief->operator_keys);
	mirror_store_found(belief->server_keys);
	mirror_store_found(belief->fleet_keys);
}

int64_t belief_servers_age_ms(const struct belief *belief)
{
	return mirror_age_ms(belief->server_keys);
}
