#include "platform_kv_internal.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/clock.h"
#include "net/timer.h"

#define EVENTS_MAX 10000
#define PAGE_ITEMS_MAX 50
#define JSON_TYPE "Content-Type: application/json\r\n"
#define ERA_HEADER "Store-Era: %" PRIu64 "\r\n"

static const char *const fault_names[] = { "sound", "busy", "silent", "reset" };

static int compare_keys(const void *a, const void *b, void *data)
{
	(void)data;
	return strcmp(a, b);
}

static void item_free(gpointer data)
{
	struct item *item = data;

	g_free(item->value);
	g_free(item);
}

GTree *items_new(void)
{
	return g_tree_new_full(compare_keys, NULL, g_free, item_free);
}

static void lease_free(gpointer data)
{
	struct lease *lease = data;

	event_free(lease->timer);
	g_free(lease);
}

struct platform_kv *platform_kv_new(struct event_base *base)
{
	struct platform_kv *kv = g_new0(struct platform_kv, 1);

	kv->base = base;
	kv->items = items_new();
	kv->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   lease_free);
	kv->revision = 1;
	kv->next_lease = 1000;
	kv->era = 1;
	return kv;
}

void platform_kv_free(struct platform_kv *kv)
{
	json_t *event;

	while ((event = g_queue_pop_head(&kv->history)))
		json_decref(event);
	platform_kv_discard_copy(kv);
	g_hash_table_destroy(kv->leases);
	g_tree_destroy(kv->items);
	g_free(kv);
}

static void reply_status(struct platform_kv *kv,
			 struct responder_request *request, uint16_t status)
{
	char headers[64];

	g_snprintf(headers, sizeof(headers), ERA_HEADER, kv->era);
	responder_reply(request, status, headers, NULL);
}

static void reply_json(struct platform_kv *kv, struct responder_request *request,
		       uint16_t status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	struct evbuffer *body = evbuffer_new();
	char headers[128];

	evbuffer_add(body, text, strlen(text));
	g_snprintf(headers, sizeof(headers), JSON_TYPE ERA_HEADER, kv->era);
	responder_reply(request, status, headers, body);
	evbuffer_free(body);
	free(text);
	json_decref(value);
}

static json_t *item_json(const char *key, const struct item *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", key, "Value",
			 item->value, "Revision", (json_int_t)item->revision,
			 "Created", (json_int_t)item->revision, "Lease",
			 (json_int_t)item->lease);
}

/* Sends the events that a watch waits for, or loses the response while the
 * store is silent. @return false if there is no response yet. */
static bool reply_to_watch(struct watch *watch, bool reply_if_empty)
{
	struct platform_kv *kv = watch->kv;
	json_t *events = json_array();
	GList *link;

	for (link = kv->history.head; link; link = link->next) {
		json_t *event = link->data;
		uint64_t revision = (uint64_t)json_integer_value(
			json_object_get(event, "Revision"));

		if (revision > watch->after_revision &&
		    g_str_has_prefix(json_string_value(
					     json_object_get(event, "Key")),
				     watch->prefix))
			json_array_append(events, event);
	}
	if (!json_array_size(events) && !reply_if_empty) {
		json_decref(events);
		return false;
	}
	if (kv->fault == PLATFORM_KV_SILENT) {
		watch->request->on_disconnect = NULL;
		json_decref(events);
		return true;
	}
	reply_json(kv, watch->request, 200,
		   json_pack("{s:o,s:I}", "events", events, "CurrentRev",
			     (json_int_t)kv->revision));
	return true;
}

static void watch_free(struct watch *watch)
{
	g_queue_remove(&watch->kv->watches, watch);
	event_free(watch->timer);
	g_free(watch->prefix);
	g_free(watch);
}

static void notify_watches(struct platform_kv *kv)
{
	GList *link = kv->watches.head;

	while (link) {
		struct watch *watch = link->data;

		link = link->next;
		if (reply_to_watch(watch, false))
			watch_free(watch);
	}
}

static void record_event(struct platform_kv *kv, json_t *event)
{
	g_queue_push_tail(&kv->history, event);
	if (g_queue_get_length(&kv->history) <= EVENTS_MAX)
		return;
	event = g_queue_pop_head(&kv->history);
	kv->compacted_revision =
		(uint64_t)json_integer_value(json_object_get(event, "Revision"));
	json_decref(event);
}

static void put_base64(struct platform_kv *kv, const char *key,
		       const char *value, uint64_t lease)
{
	struct item *item = g_new0(struct item, 1);

	item->value = g_strdup(value);
	item->revision = ++kv->revision;
	item->lease = lease;
	g_tree_replace(kv->items, g_strdup(key), item);
	record_event(kv, item_json(key, item));
}

void platform_kv_put(struct platform_kv *kv, const char *key, const char *value)
{
	char *base64 = g_base64_encode((const guchar *)value, strlen(value));

	put_base64(kv, key, base64, 0);
	g_free(base64);
	notify_watches(kv);
}

static void remove_key(struct platform_kv *kv, const char *key)
{
	char *copy = g_strdup(key);

	if (g_tree_remove(kv->items, copy))
		record_event(kv,
			     json_pack("{s:s,s:I,s:b}", "Key", copy, "Revision",
				       (json_int_t)++kv->revision, "Removed", 1));
	g_free(copy);
}

void platform_kv_remove(struct platform_kv *kv, const char *key)
{
	remove_key(kv, key);
	notify_watches(kv);
}

struct leased_keys {
	uint64_t lease;
	GPtrArray *keys;
};

static gboolean collect_lease_key(gpointer key, gpointer value, gpointer data)
{
	struct leased_keys *list = data;

	if (((struct item *)value)->lease == list->lease)
		g_ptr_array_add(list->keys, g_strdup(key));
	return false;
}

static void end_lease(struct platform_kv *kv, uint64_t id)
{
	struct leased_keys list = { id, g_ptr_array_new_with_free_func(g_free) };
	guint i;

	g_tree_foreach(kv->items, collect_lease_key, &list);
	for (i = 0; i < list.keys->len; i++)
		remove_key(kv, g_ptr_array_index(list.keys, i));
	g_ptr_array_free(list.keys, true);
	g_hash_table_remove(kv->leases, &id);
	notify_watches(kv);
}

static void on_lease_expired(evutil_socket_t fd, short what, void *context)
{
	struct lease *lease = context;

	(void)fd;
	(void)what;
	end_lease(lease->kv, lease->id);
}

static void handle_lease_grant(struct platform_kv *kv,
			       struct responder_request *request, json_t *body)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->kv = kv;
	lease->id = kv->next_lease++;
	lease->ttl_ms =
		(uint32_t)json_integer_value(json_object_get(body, "TtlMs"));
	lease->timer = evtimer_new(kv->base, on_lease_expired, lease);
	timer_start(lease->timer, lease->ttl_ms);
	g_hash_table_insert(kv->leases, &lease->id, lease);
	reply_json(kv, request, 200,
		   json_pack("{s:I,s:I}", "Lease", (json_int_t)lease->id,
			     "TtlMs", (json_int_t)lease->ttl_ms));
}

static struct lease *find_lease(const struct platform_kv *kv, const char *text)
{
	uint64_t id = strtoull(text, NULL, 10);

	return g_hash_table_lookup(kv->leases, &id);
}

static bool expectations_match(const struct platform_kv *kv, json_t *expected)
{
	size_t i;

	for (i = 0; i < json_array_size(expected); i++) {
		json_t *row = json_array_get(expected, i);
		const char *key = json_string_value(json_object_get(row, "Key"));
		const struct item *item =
			key ? g_tree_lookup(kv->items, key) : NULL;
		uint64_t revision = (uint64_t)json_integer_value(
			json_object_get(row, "Revision"));

		if (!key || revision != (item ? item->revision : 0))
			return false;
	}
	return true;
}

static void handle_txn(struct platform_kv *kv,
		       struct responder_request *request, json_t *body)
{
	json_t *puts = json_object_get(body, "Puts");
	json_t *removed = json_object_get(body, "Remove");
	size_t i;

	if (!expectations_match(kv, json_object_get(body, "Expected"))) {
		reply_json(kv, request, 412, json_pack("{s:[]}", "items"));
		return;
	}
	for (i = 0; i < json_array_size(puts); i++) {
		json_t *row = json_array_get(puts, i);
		uint64_t lease = (uint64_t)json_integer_value(
			json_object_get(row, "Lease"));

		if (lease && !g_hash_table_contains(kv->leases, &lease)) {
			reply_status(kv, request, 404);
			return;
		}
		put_base64(kv, json_string_value(json_object_get(row, "Key")),
			   json_string_value(json_object_get(row, "Value")),
			   lease);
	}
	for (i = 0; i < json_array_size(removed); i++)
		remove_key(kv, json_string_value(json_array_get(removed, i)));
	reply_json(kv, request, 200,
		   json_pack("{s:I}", "Revision", (json_int_t)kv->revision));
	notify_watches(kv);
}

struct page {
	const char *prefix;
	const char *after;
	json_t *items;
	bool truncated;
};

static gboolean collect_item(gpointer key, gpointer value, gpointer data)
{
	struct page *page = data;

	if (!g_str_has_prefix(key, page->prefix) ||
	    (page->after && strcmp(key, page->after) <= 0))
		return false;
	if (json_array_size(page->items) == PAGE_ITEMS_MAX) {
		page->truncated = true;
		return true;
	}
	json_array_append_new(page->items, item_json(key, value));
	return false;
}

static void handle_range(struct platform_kv *kv,
			 struct responder_request *request,
			 const struct evkeyvalq *query)
{
	struct page page = {
		.prefix = evhttp_find_header(query, "Prefix"),
		.after = evhttp_find_header(query, "after"),
		.items = json_array(),
	};

	if (!page.prefix)
		page.prefix = "";
	kv->cheap_calls += evhttp_find_header(query, "StaleOk") != NULL;
	g_tree_foreach(kv->items, collect_item, &page);
	reply_json(kv, request, 200,
		   json_pack("{s:o,s:b,s:I}", "items", page.items, "Truncated",
			     page.truncated, "CurrentRev",
			     (json_int_t)kv->revision));
}

static void on_watch_closed(void *context)
{
	watch_free(context);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *context)
{
	struct watch *watch = context;

	(void)fd;
	(void)what;
	reply_to_watch(watch, true);
	watch_free(watch);
}

static void handle_watch(struct platform_kv *kv,
			 struct responder_request *request,
			 const struct evkeyvalq *query)
{
	const char *prefix = evhttp_find_header(query, "Prefix");
	const char *after = evhttp_find_header(query, "after");
	const char *wait_ms = evhttp_find_header(query, "WaitMs");
	struct watch *watch;

	if (!prefix || !after || !wait_ms) {
		reply_status(kv, request, 400);
		return;
	}
	if (strtoull(after, NULL, 10) < kv->compacted_revision ||
	    strtoull(after, NULL, 10) > kv->revision) {
		reply_status(kv, request, 410);
		return;
	}
	watch = g_new0(struct watch, 1);
	watch->kv = kv;
	watch->request = request;
	watch->prefix = g_strdup(prefix);
	watch->after_revision = strtoull(after, NULL, 10);
	watch->timer = evtimer_new(kv->base, on_watch_timeout, watch);
	g_queue_push_tail(&kv->watches, watch);
	if (reply_to_watch(watch, false)) {
		watch_free(watch);
		return;
	}
	request->on_disconnect = on_watch_closed;
	request->context = watch;
	timer_start(watch->timer, (uint32_t)strtoul(wait_ms, NULL, 10));
}

static void dispatch(struct platform_kv *kv, struct responder_request *request)
{
	const char *target = request->head->target;
	const char *query_start = strchr(target, '?');
	struct evkeyvalq query = { 0 };
	json_t *body =
		json_loadb((const char *)evbuffer_pullup(request->body, -1),
			   evbuffer_get_length(request->body), 0, NULL);
	struct lease *lease = NULL;

	if (query_start)
		evhttp_parse_query_str(query_start + 1, &query);
	if (g_str_has_prefix(target, "/kv-range"))
		handle_range(kv, request, &query);
	else if (g_str_has_prefix(target, "/kv-watch"))
		handle_watch(kv, request, &query);
	else if (g_str_has_prefix(target, "/kv-txn"))
		handle_txn(kv, request, body);
	else if (g_str_has_prefix(target, "/kv-keep/"))
		lease = find_lease(kv, target + strlen("/kv-keep/"));
	else if (g_str_has_prefix(target, "/kv-lease-end/"))
		lease = find_lease(kv, target + strlen("/kv-lease-end/"));
	else if (g_str_has_prefix(target, "/kv-lease"))
		handle_lease_grant(kv, request, body);
	if (lease && g_str_has_prefix(target, "/kv-keep/")) {
		kv->cheap_calls++;
		timer_start(lease->timer, lease->ttl_ms);
		reply_json(kv, request, 200,
			   json_pack("{s:I}", "TtlMs", (json_int_t)lease->ttl_ms));
	} else if (lease) {
		end_lease(kv, lease->id);
		reply_status(kv, request, 200);
	} else if (g_str_has_prefix(target, "/kv-keep/") ||
		   g_str_has_prefix(target, "/kv-lease-end/")) {
		reply_status(kv, request, 404);
	}
	if (query_start)
		evhttp_clear_headers(&query);
	json_decref(body);
}

void platform_kv_handle(void *context, struct responder_request *request)
{
	struct platform_kv *kv = context;

	kv->calls++;
	switch (kv->fault) {
	case PLATFORM_KV_BUSY:
		reply_status(kv, request, 503);
		return;
	case PLATFORM_KV_SILENT:
		return;
	case PLATFORM_KV_RESET:
		responder_reset(request);
		return;
	default:
		dispatch(kv, request);
	}
}

void platform_kv_cut_watches(struct platform_kv *kv)
{
	while (!g_queue_is_empty(&kv->watches)) {
		struct watch *watch = g_queue_peek_head(&kv->watches);

		responder_reset(watch->request);
		watch_free(watch);
	}
}

bool platform_kv_set_fault(struct platform_kv *kv, const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(fault_names); i++) {
		if (strcmp(name, fault_names[i]))
			continue;
		kv->fault = (enum platform_kv_fault)i;
		if (kv->fault == PLATFORM_KV_BUSY ||
		    kv->fault == PLATFORM_KV_RESET)
			platform_kv_cut_watches(kv);
		return true;
	}
	return false;
}

void discard_history(struct platform_kv *kv, uint64_t revision)
{
	json_t *event;

	while ((event = g_queue_pop_head(&kv->history)))
		json_decref(event);
	kv->compacted_revision = revision;
	platform_kv_cut_watches(kv);
}

void platform_kv_compact(struct platform_kv *kv)
{
	discard_history(kv, ++kv->revision);
}

uint64_t platform_kv_call_count(const struct platform_kv *kv)
{
	return kv->calls;
}

uint64_t platform_kv_cheap_call_count(const struct platform_kv *kv)
{
	return kv->cheap_calls;
}
