#include "quota/quota_coordinator.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "quota/quota_codec.h"

/* Limit on the VMs that are told apart: twice the size to design for. */
#define VMS_MAX 1024
/* A VM that is not in the list and silent for this time is forgotten. */
#define FORGET_AFTER_MS 10000
/* How often VMs to forget are looked for. */
#define FORGET_INTERVAL_MS 2000
/* How often the workspaces that are limited are gathered. */
#define LIMITED_INTERVAL_MS 100

struct reporter {
	char *name; /* NULL: the slot is free */
	uint64_t run;
};

struct quota_coordinator {
	struct quota *quota;
	GHashTable *slots;  /* VM's name -> slot */
	GArray *reporters;  /* struct reporter, by slot */
	GArray *peers;	    /* struct quota_peer, by slot */
	GPtrArray *limited; /* of struct quota_entry with a fraction below 1 */
	int64_t limited_ms; /* when they were gathered; 0: never */
	int64_t forgotten_ms;
	uint32_t unlimited_count; /* see struct quota_fleet */
};

static struct reporter *reporter_at(struct quota_coordinator *coordinator,
				    uint32_t slot)
{
	return &g_array_index(coordinator->reporters, struct reporter, slot);
}

static struct quota_peer *peer_at(struct quota_coordinator *coordinator,
				  uint32_t slot)
{
	return &g_array_index(coordinator->peers, struct quota_peer, slot);
}

static void clear_slot(struct quota_coordinator *coordinator, uint32_t slot)
{
	const GPtrArray *list = coordinator->quota->list;
	guint i;

	memset(peer_at(coordinator, slot), 0, sizeof(struct quota_peer));
	for (i = 0; i < list->len; i++)
		quota_bucket_forget(
			&((struct quota_entry *)g_ptr_array_index(list, i))->bucket,
			slot);
}

/* @return the slot of a new VM, or VMS_MAX. */
static uint32_t add_reporter(struct quota_coordinator *coordinator,
			     const char *name)
{
	const struct quota_peer unheard = { 0 };
	struct reporter reporter = { NULL, 0 };
	uint32_t slot = 0;

	while (slot < coordinator->reporters->len &&
	       reporter_at(coordinator, slot)->name)
		slot++;
	if (slot >= VMS_MAX)
		return VMS_MAX;
	if (slot == coordinator->reporters->len) {
		g_array_append_val(coordinator->reporters, reporter);
		g_array_append_val(coordinator->peers, unheard);
	}
	reporter_at(coordinator, slot)->name = g_strdup(name);
	g_hash_table_insert(coordinator->slots,
			    reporter_at(coordinator, slot)->name,
			    GUINT_TO_POINTER(slot));
	return slot;
}

static uint32_t find_slot(struct quota_coordinator *coordinator,
			  const struct quota_call_head *head)
{
	gpointer value;
	uint32_t slot;

	if (g_hash_table_lookup_extended(coordinator->slots, head->vm, NULL,
					 &value))
		slot = GPOINTER_TO_UINT(value);
	else
		slot = add_reporter(coordinator, head->vm);
	if (slot >= VMS_MAX)
		return slot;
	if (reporter_at(coordinator, slot)->run != head->run) {
		/* the VM started anew; its counts began at 0 */
		clear_slot(coordinator, slot);
		reporter_at(coordinator, slot)->run = head->run;
	}
	return slot;
}

/* Forgets VMs that left, and counts those that will not report. */
static void review_vms(struct quota_coordinator *coordinator, int64_t now_ms)
{
	const GPtrArray *all = vms_all(coordinator->quota->proxy->vms);
	GHashTable *live;
	uint32_t slot;
	guint i;

	if (coordinator->forgotten_ms &&
	    now_ms - coordinator->forgotten_ms < FORGET_INTERVAL_MS)
		return;
	coordinator->forgotten_ms = now_ms;
	coordinator->unlimited_count = 0;
	live = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < all->len; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		g_hash_table_add(live, vm->name);
		coordinator->unlimited_count +=
			!vm->has_handoff &&
			!g_hash_table_contains(coordinator->slots, vm->name);
	}
	for (slot = 0; slot < coordinator->reporters->len; slot++) {
		struct reporter *reporter = reporter_at(coordinator, slot);

		if (!reporter->name ||
		    g_hash_table_contains(live, reporter->name) ||
		    now_ms - peer_at(coordinator, slot)->heard_ms <
			    FORGET_AFTER_MS)
			continue;
		g_hash_table_remove(coordinator->slots, reporter->name);
		g_free(reporter->name);
		reporter->name = NULL;
		reporter->run = 0;
		clear_slot(coordinator, slot);
	}
	g_hash_table_destroy(live);
}

static struct quota_fleet fleet_of(const struct quota_coordinator *coordinator)
{
	const uint32_t vm_count = vms_all(coordinator->quota->proxy->vms)->len;
	const struct quota_fleet fleet = {
		.peers = (const struct quota_peer *)coordinator->peers->data,
		.peer_count = coordinator->peers->len,
		.vm_count = MAX(vm_count, 1),
		.unlimited_count = MIN(coordinator->unlimited_count, vm_count),
	};

	return fleet;
}

static void gather_limited(struct quota_coordinator *coordinator,
			   const struct quota_fleet *fleet, int64_t now_ms)
{
	const GPtrArray *list = coordinator->quota->list;
	guint i;

	if (coordinator->limited_ms &&
	    now_ms - coordinator->limited_ms < LIMITED_INTERVAL_MS)
		return;
	coordinator->limited_ms = now_ms;
	g_ptr_array_set_size(coordinator->limited, 0);
	for (i = 0; i < list->len; i++) {
		struct quota_entry *entry = g_ptr_array_index(list, i);

		if (entry->has_bucket &&
		    quota_bucket_fraction(&entry->bucket, fleet, now_ms) < 1)
			g_ptr_array_add(coordinator->limited, entry);
	}
}

/* @param moved whether another VM was the coordinator before. */
static void create_bucket(struct quota_entry *entry, bool moved, int64_t now_ms)
{
	quota_bucket_init(&entry->bucket, &entry->share.rule, moved, now_ms);
	entry->has_bucket = true;
	if (moved)
		log_info("quota",
			 "quota is taken over from another VM, with an empty "
			 "bucket workspace=%s",
			 entry->name);
}

static bool reply_to_entries(struct quota_coordinator *coordinator,
			     const struct quota_call_head *head, uint32_t slot,
			     json_t *workspaces, json_t *reply, int64_t now_ms)
{
	const struct quota_fleet fleet = fleet_of(coordinator);
	struct quota_report report;
	struct quota_grant grant;
	const bool moved = head->from && head->from != coordinator->quota->run;
	bool must_report = false;
	const char *name;
	json_t *value;

	json_object_foreach (workspaces, name, value) {
		struct quota_entry *entry =
			g_hash_table_lookup(coordinator->quota->entries, name);

		/* VMs may have a newer or older configuration than this one. */
		if (!entry || !quota_call_decode_entry(value, &report))
			continue;
		report.displaced = head->displaced;
		if (head->from == coordinator->quota->run)
			report.held = -1;
		if (!entry->has_bucket)
			create_bucket(entry, moved, now_ms);
		quota_bucket_record(&entry->bucket, slot, &report, &fleet,
				    now_ms);
		grant = quota_bucket_grant(&entry->bucket, slot, &fleet, now_ms);
		quota_reply_add(reply, name, &grant);
		must_report |= grant.fraction < 1;
	}
	return must_report;
}

static bool add_limited(struct quota_coordinator *coordinator,
			json_t *workspaces, json_t *reply, int64_t now_ms)
{
	const struct quota_fleet fleet = fleet_of(coordinator);
	bool must_report = false;
	guint i;

	gather_limited(coordinator, &fleet, now_ms);
	for (i = 0; i < coordinator->limited->len; i++) {
		struct quota_entry *entry =
			g_ptr_array_index(coordinator->limited, i);
		const double fraction =
			quota_bucket_fraction(&entry->bucket, &fleet, now_ms);

		if (fraction >= 1 || json_object_get(workspaces, entry->name))
			continue;
		quota_reply_add_limited(reply, entry->name, fraction);
		must_report = true;
	}
	return must_report;
}

json_t *quota_coordinator_reply(struct quota_coordinator *coordinator,
				json_t *call)
{
	const int64_t now_ms = proxy_now_ms(coordinator->quota->proxy);
	struct quota_call_head head;
	json_t *workspaces = quota_call_decode(call, &head);
	bool must_report;
	json_t *reply;
	uint32_t slot;

	if (!workspaces)
		return NULL;
	quota_sync_config(coordinator->quota);
	review_vms(coordinator, now_ms);
	slot = find_slot(coordinator, &head);
	if (slot >= VMS_MAX)
		return NULL;
	quota_peer_record(peer_at(coordinator, slot),
			  !json_object_size(workspaces), head.displaced, now_ms);
	reply = quota_reply_new(coordinator->quota->run);
	must_report = reply_to_entries(coordinator, &head, slot, workspaces,
				       reply, now_ms);
	must_report |= add_limited(coordinator, workspaces, reply, now_ms);
	peer_at(coordinator, slot)->must_report = must_report;
	return reply;
}

static void on_request(void *context, struct responder_request *request)
{
	const size_t bytes = evbuffer_get_length(request->body);
	json_t *call =
		json_loadb((const char *)evbuffer_pullup(request->body, -1),
			   bytes, 0, NULL);
	json_t *reply = call ? quota_coordinator_reply(context, call) : NULL;
	char *text = reply ? json_dumps(reply, JSON_COMPACT) : NULL;
	struct evbuffer *body = evbuffer_new();

	if (text)
		evbuffer_add(body, text, strlen(text));
	responder_reply(request, text ? 200 : 400,
			"Content-Type: application/json\r\n", body);
	evbuffer_free(body);
	free(text);
	json_decref(reply);
	json_decref(call);
}

void quota_coordinator_serve(struct quota_coordinator *coordinator,
			     struct relay *relay)
{
	relay_set_handler(relay, QUOTA_PATH, on_request, coordinator);
}

void quota_coordinator_forget_list(struct quota_coordinator *coordinator)
{
	g_ptr_array_set_size(coordinator->limited, 0);
	coordinator->limited_ms = 0;
}

struct quota_coordinator *quota_coordinator_new(struct quota *quota)
{
	struct quota_coordinator *coordinator =
		g_new0(struct quota_coordinator, 1);

	coordinator->quota = quota;
	coordinator->slots = g_hash_table_new(g_str_hash, g_str_equal);
	coordinator->reporters =
		g_array_new(false, true, sizeof(struct reporter));
	coordinator->peers = g_array_new(false, true, sizeof(struct quota_peer));
	coordinator->limited = g_ptr_array_new();
	return coordinator;
}

void quota_coordinator_free(struct quota_coordinator *coordinator)
{
	uint32_t i;

	for (i = 0; i < coordinator->reporters->len; i++)
		g_free(reporter_at(coordinator, i)->name);
	g_hash_table_destroy(coordinator->slots);
	g_array_unref(coordinator->reporters);
	g_array_unref(coordinator->peers);
	g_ptr_array_unref(coordinator->limited);
	g_free(coordinator);
}
