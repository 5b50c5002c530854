#include "quota/quota.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "quota/quota_client.h"
#include "quota/quota_coordinator.h"
#include "quota/quota_internal.h"

/* A workspace is over its quota until no request was refused for this time. */
#define REFUSALS_END_MS 3000

static void entry_free(gpointer data)
{
	struct quota_entry *entry = data;

	if (entry->refuses)
		gauge_add(GAUGE_WORKSPACES_LIMITED, -1);
	quota_bucket_clear(&entry->bucket);
	g_free(entry->name);
	g_free(entry);
}

/* @return a number in [0, 1) that differs by VM and workspace. */
static double phase_of(const struct quota *quota, const char *name)
{
	const char *vm = quota->proxy->settings->name;
	const uint64_t pair[2] = { XXH3_64bits(vm, strlen(vm)),
				   XXH3_64bits(name, strlen(name)) };

	return (double)(XXH3_64bits(pair, sizeof(pair)) >> 11) /
	       (double)(UINT64_C(1) << 53);
}

static void put_workspace(struct quota *quota, const struct workspace *workspace)
{
	const struct quota_rule rule = { workspace->rate_per_s, workspace->burst };
	struct quota_entry *entry =
		g_hash_table_lookup(quota->entries, workspace->name);

	if (!entry) {
		entry = g_new0(struct quota_entry, 1);
		entry->name = g_strdup(workspace->name);
		quota_share_init(&entry->share, &rule,
				 phase_of(quota, entry->name));
		g_hash_table_insert(quota->entries, entry->name, entry);
		g_ptr_array_add(quota->list, entry);
	}
	entry->listed = true;
	quota_share_set_rule(&entry->share, &rule);
	if (entry->has_bucket)
		quota_bucket_set_rule(&entry->bucket, &rule);
}

static void remove_unlisted(struct quota *quota)
{
	guint i = 0;

	while (i < quota->list->len) {
		const struct quota_entry *entry =
			g_ptr_array_index(quota->list, i);

		if (entry->listed) {
			i++;
			continue;
		}
		g_hash_table_remove(quota->entries, entry->name);
		g_ptr_array_remove_index_fast(quota->list, i);
	}
}

void quota_sync_config(struct quota *quota)
{
	const struct config *config = quota->proxy->config;
	guint i;

	if (!config || (config == quota->config &&
			config->version == quota->config_version))
		return;
	quota->config = config;
	quota->config_version = config->version;
	for (i = 0; i < quota->list->len; i++)
		((struct quota_entry *)g_ptr_array_index(quota->list, i))->listed =
			false;
	for (i = 0; i < config->workspace_count; i++)
		if (config->workspaces[i].rate_per_s > 0)
			put_workspace(quota, &config->workspaces[i]);
	quota_coordinator_forget_list(quota->coordinator);
	remove_unlisted(quota);
}

struct quota_view quota_view(const struct quota *quota)
{
	const struct quota_view view = {
		.vm_count = MAX(vms_all(quota->proxy->vms)->len, 1),
		.has_coordinator = quota_client_has_coordinator(quota->client),
	};

	return view;
}

static void record_refusal(struct quota_entry *entry, int64_t now_ms)
{
	counter_add(COUNTER_OVER_QUOTA, 1);
	entry->refused_count++;
	entry->refused_ms = now_ms;
	if (entry->refuses)
		return;
	entry->refuses = true;
	gauge_add(GAUGE_WORKSPACES_LIMITED, 1);
	log_info("quota",
		 "workspace is over its quota workspace=%s per_s=%.1f "
		 "fraction=%.3f share=%.4f",
		 entry->name, entry->share.rule.rate_per_s,
		 entry->share.fraction, entry->share.share);
}

bool quota_check_refusals(struct quota *quota, int64_t now_ms)
{
	bool some = false;
	guint i;

	for (i = 0; i < quota->list->len; i++) {
		struct quota_entry *entry = g_ptr_array_index(quota->list, i);

		if (!entry->refuses)
			continue;
		if (now_ms - entry->refused_ms < REFUSALS_END_MS) {
			some = true;
			continue;
		}
		entry->refuses = false;
		gauge_add(GAUGE_WORKSPACES_LIMITED, -1);
		log_info("quota",
			 "workspace is within its quota again workspace=%s",
			 entry->name);
	}
	return some;
}

/* Decides on a request of a workspace with a rate. */
static uint32_t admit(struct quota *quota, struct quota_entry *entry)
{
	const struct quota_view view = quota_view(quota);
	const int64_t now_ms = proxy_now_ms(quota->proxy);
	const uint32_t wait_ms = quota_share_admit(&entry->share, &view, now_ms);

	if (wait_ms)
		record_refusal(entry, now_ms);
	else
		quota_meter_add(&entry->meter, now_ms);
	if (quota_share_is_urgent(&entry->share, now_ms))
		quota_client_hurry(quota->client);
	return wait_ms;
}

uint32_t quota_admit(struct quota *quota, const struct workspace *workspace)
{
	struct quota_entry *entry;
	uint32_t wait_ms = 0;

	if (!quota)
		return 0;
	quota_sync_config(quota);
	if (!quota->list->len)
		return 0;
	/* a request may belong to an earlier configuration */
	entry = g_hash_table_lookup(quota->entries, workspace->name);
	if (entry)
		wait_ms = admit(quota, entry);
	quota_client_wake(quota->client);
	return wait_ms;
}

void quota_serve(struct quota *quota, struct relay *relay)
{
	if (quota && relay)
		quota_coordinator_serve(quota->coordinator, relay);
}

struct quota *quota_new(struct proxy *proxy)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->proxy = proxy;
	quota->run = ((uint64_t)g_random_int() << 32 | g_random_int()) | 1;
	quota->entries = g_hash_table_new(g_str_hash, g_str_equal);
	quota->list = g_ptr_array_new_with_free_func(entry_free);
	quota->coordinator = quota_coordinator_new(quota);
	quota->client = quota_client_new(quota);
	return quota;
}

void quota_free(struct quota *quota)
{
	if (!quota)
		return;
	quota_client_free(quota->client);
	quota_coordinator_free(quota->coordinator);
	g_hash_table_destroy(quota->entries);
	g_ptr_array_unref(quota->list);
	g_free(quota);
}
