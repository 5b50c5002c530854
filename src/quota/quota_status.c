#include "quota/quota.h"

#include "quota/quota_client.h"
#include "quota/quota_internal.h"

/** @file What operators see of quotas on the status page of a VM. */

static void turn_meter(struct quota_meter *meter, int64_t now_ms)
{
	const int64_t now_s = now_ms / MS_PER_S;

	if (now_s - meter->second > QUOTA_METER_SECONDS)
		meter->second = now_s - QUOTA_METER_SECONDS;
	while (meter->second < now_s)
		meter->counts[++meter->second % QUOTA_METER_SECONDS] = 0;
}

void quota_meter_add(struct quota_meter *meter, int64_t now_ms)
{
	turn_meter(meter, now_ms);
	meter->counts[meter->second % QUOTA_METER_SECONDS]++;
}

double quota_meter_per_s(struct quota_meter *meter, int64_t now_ms)
{
	const double span_s = QUOTA_METER_SECONDS - 1 +
			      (double)(now_ms % MS_PER_S) / (double)MS_PER_S;
	uint32_t sum = 0;
	size_t i;

	turn_meter(meter, now_ms);
	for (i = 0; i < QUOTA_METER_SECONDS; i++)
		sum += meter->counts[i];
	return sum / span_s;
}

static json_t *encode_workspace(struct quota_entry *entry, int64_t now_ms)
{
	return json_pack("{s:s,s:f,s:f,s:f,s:I,s:f,s:f}", "workspace",
			 entry->name, "limit_per_s", entry->share.rule.rate_per_s,
			 "burst", entry->share.rule.burst, "admitted_per_s",
			 quota_meter_per_s(&entry->meter, now_ms), "refused",
			 (json_int_t)entry->refused_count, "fraction",
			 entry->share.fraction, "share", entry->share.share);
}

json_t *quota_encode_status(const struct quota *quota)
{
	json_t *limited = json_array();
	json_t *workspaces = json_array();
	guint i;

	for (i = 0; quota && i < quota->list->len; i++) {
		struct quota_entry *entry = g_ptr_array_index(quota->list, i);

		json_array_append_new(
			workspaces,
			encode_workspace(entry, proxy_now_ms(quota->proxy)));
		if (entry->refuses)
			json_array_append_new(
				limited,
				json_pack("{s:s,s:f,s:f}", "workspace",
					  entry->name, "limit_per_s",
					  entry->share.rule.rate_per_s,
					  "fraction", entry->share.fraction));
	}
	return json_pack("{s:s,s:o,s:o}", "coordinator",
			 quota ? quota_client_target(quota->client) : "",
			 "workspaces_limited", limited, "workspaces", workspaces);
}
