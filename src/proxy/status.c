#include "proxy/status.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "assign/assignment.h"
#include "base/build.h"
#include "base/log.h"
#include "handoff/handoff.h"
#include "queue/wait_queue.h"
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

struct server_list {
	const struct proxy *proxy;
	json_t *list;
};

static void append_limited(struct server *server, void *context)
{
	struct server_list *limited = context;

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
	struct server_list limited = { proxy, json_array() };

	servers_for_each(proxy->servers, append_limited, &limited);
	return limited.list;
}

static void append_ramping(struct server *server, void *context)
{
	struct server_list *ramping = context;
	const int64_t now_ms = proxy_now_ms(ramping->proxy);

	if (!server->ramp.active ||
	    !assignment_is_own_server(ramping->proxy->assignment, server))
		return;
	json_array_append_new(
		ramping->list,
		json_pack("{s:s,s:I,s:I,s:I}", "server", server->id, "window",
			  (json_int_t)ramp_window(&server->ramp,
						  server->load.slots),
			  "slots", (json_int_t)server->load.slots, "for_ms",
			  (json_int_t)(now_ms - server->ramp.began_ms)));
}

/* Servers of this VM that have started or recovered. */
static json_t *encode_ramping(const struct proxy *proxy)
{
	struct server_list ramping = { proxy, json_array() };

	servers_for_each(proxy->servers, append_ramping, &ramping);
	return ramping.list;
}

/* While VMs are assigned to servers: what leaves this VM's region. */
static json_t *encode_regions(const struct proxy *proxy)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, proxy->service_states);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct service_state *state = value;
		const struct region_share *share = &state->region_share;

		json_array_append_new(
			list, json_pack("{s:s,s:f,s:f,s:I}", "service", name,
					"away_share", region_share_total(share),
					"demand_slots", share->demand, "slots",
					(json_int_t)share->local_slots));
	}
	return list;
}

/* The servers to which this VM alone sends. */
static json_t *encode_own_servers(const struct proxy *proxy)
{
	json_t *list = json_array();
	uint32_t i;
	guint k;

	for (i = 0; proxy->config && i < proxy->config->service_count; i++) {
		const GPtrArray *own =
			assignment_own_servers(proxy->assignment,
					       proxy->config->services[i].name);

		for (k = 0; own && k < own->len; k++) {
			const struct server *server = g_ptr_array_index(own, k);

			json_array_append_new(list, json_string(server->id));
		}
	}
	return list;
}

static void add_assignment(const struct proxy *proxy, json_t *root)
{
	if (!root || !assignment_is_on(proxy->assignment))
		return;
	json_object_set_new(root, "services", encode_regions(proxy));
	json_object_set_new(root, "servers_ramping", encode_ramping(proxy));
	json_object_set_new(root, "own_servers", encode_own_servers(proxy));
	json_object_set_new(root, "waiting",
			    json_integer(wait_queue_length(proxy->wait_queue)));
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
		"{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b,s:b,s:s,s:o,s:o,s:o,s:o}",
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
		encode_limited(proxy), "handoffs",
		handoff_encode_status(proxy->handoff), "quota",
		quota_encode_status(proxy->quota));
	add_assignment(proxy, root);
	text = root ? json_dumps(root, JSON_COMPACT) : NULL;
	if (text)
		evbuffer_add(out, text, strlen(text));
	else
		log_error("status", "cannot encode the status as JSON");
	free(text);
	json_decref(root);
}
