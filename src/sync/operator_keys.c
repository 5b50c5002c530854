#include "sync/operator_keys.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "platform/config_codec.h"
#include "sync/config_loader.h"

/* Servers of a failure domain count as cold for this long after its evacuation
 * ends if no service configures a cold start. */
#define COLD_AFTER_EVACUATION_MS 3000

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
		config_loader_put(proxy->config_loader, item);
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
