#include "sync/operator_keys.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "platform/config_codec.h"

/* Servers of a failure domain count as cold for this long after its evacuation
 * ends if no service configures a cold start. */
#define COLD_AFTER_EVACUATION_MS 3000

static void apply_config(struct proxy *proxy, const struct kv_item *item)
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
		config_unref(config);
		return;
	}
	config_unref(proxy->config);
	proxy->config = config;
	proxy->config_since_ms = proxy_now_ms(proxy);
	counter_add(COUNTER_DOCUMENTS_APPLIED, 1);
	gauge_set(GAUGE_DOCUMENT_VERSION, (int64_t)config->version);
	log_info("config",
		 "configuration is in force version=%08" PRIx64
		 " routes=%u services=%u revision=%" PRIu64,
		 config->version, config->route_count, config->service_count,
		 item->revision);
}

static uint32_t cold_after_evacuation_ms(const struct proxy *proxy)
{
	uint32_t ms = 0;
	uint32_t i;

	for (i = 0; proxy->config && i < proxy->config->service_count; i++)
		ms = MAX(ms, proxy->config->services[i].cold_start_ms);
	return ms ? ms : COLD_AFTER_EVACUATION_MS;
}

void operator_keys_put(struct proxy *proxy, const struct kv_item *item)
{
	const char *domain = kv_strip_prefix(item->key, PLATFORM_PREFIX_EVACUATE);

	if (domain) {
		g_hash_table_add(proxy->evacuated, g_strdup(domain));
		servers_mark_changed(proxy->servers);
		log_info("evacuation",
			 "evacuation of failure domain begins domain=%s "
			 "revision=%" PRIu64,
			 domain, item->revision);
	} else if (!strcmp(item->key, PLATFORM_KEY_CONFIG)) {
		apply_config(proxy, item);
	}
}

void operator_keys_remove(struct proxy *proxy, const char *key)
{
	const char *domain = kv_strip_prefix(key, PLATFORM_PREFIX_EVACUATE);

	if (!domain || !g_hash_table_remove(proxy->evacuated, domain))
		return;
	servers_mark_cold(proxy->servers, domain,
			  cold_after_evacuation_ms(proxy));
	log_info("evacuation", "evacuation of failure domain ends domain=%s",
		 domain);
}
