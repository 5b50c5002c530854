#include "proxy/status.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/build.h"
#include "base/log.h"
#include "quota/quota.h"
#include "sync/reach_watch.h"
#include "sync/server_limits.h"
#include "sync/store_sync.h"

static json_t *encode_vms(const struct proxy *proxy)
{
	const GPtrArray *all = vms_all(proxy->vms);
	json_t *list = json_array();
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		json_array_append_new(list, json_pack("{s:s,s:s,s:s,s:b}", "vm",
						      vm->name, "failure_domain",
						      vm->failure_domain,
						      "status_address",
						      vm->status_address,
						      "cut_off", vm->cut_off));
	}
	return list;
}

struct limited_list {
	const struct proxy *proxy;
	json_t *list;
};

static void append_limited(struct server *server, void *context)
{
	struct limited_list *limited = context;

	if (!server_limit_is_named(&server->limit))
		return;
	json_array_append_new(
		limited->list,
		json_pack("{s:s,s:f,s:b}", "server", server->id, "limit_per_s",
			  server->limit.known.per_s, "sends",
			  server_limits_is_sender(limited->proxy, server)));
}

static json_t *encode_limited(const struct proxy *proxy)
{
	struct limited_list limited = { proxy, json_array() };

	servers_for_each(proxy->servers, append_limited, &limited);
	return limited.list;
}

void status_write(const struct proxy *proxy, struct evbuffer *out)
{
	const struct config *config = proxy->config;
	char version[17] = "";
	json_t *root;
	char *text;

	if (config)
		snprintf(version, sizeof(version), "%08" PRIx64, config->version);
	root = json_pack(
		"{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b,s:b,s:s,s:o,s:o,s:o}",
		"vm", proxy->settings->name, "failure_domain",
		proxy->failure_domain, "version", version, "relay",
		store_sync_relay(proxy->store_sync), "version_age_ms",
		(json_int_t)(config ? proxy_now_ms(proxy) - proxy->config_since_ms
				    : -1),
		"store_era", (json_int_t)store_sync_era(proxy->store_sync),
		"servers", (json_int_t)servers_count(proxy->servers),
		"servers_age_ms",
		(json_int_t)store_sync_servers_age_ms(proxy->store_sync),
		"stopping", proxy->stopping, "cut_off",
		reach_watch_is_cut_off(proxy->reach), "build", build_commit(),
		"vms", encode_vms(proxy), "servers_limited",
		encode_limited(proxy), "quota",
		quota_encode_status(proxy->quota));
	text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	if (text)
		evbuffer_add(out, text, strlen(text));
	else
		log_error("status", "cannot encode the status as JSON");
	free(text);
	json_decref(root);
}
