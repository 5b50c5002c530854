#include "store_data.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

struct item {
	char *value; /* base64, as received */
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t data_changed = PTHREAD_COND_INITIALIZER;
static GTree *items; /* decoded key -> struct item */
static GTree *snapshot;
static GHashTable *leases; /* lease ID -> expiry in ms, both int64_t * */
static uint64_t revision = 1;
static uint64_t snapshot_revision;
static uint64_t lease_count;

static void free_item(gpointer item)
{
	free(((struct item *)item)->value);
	free(item);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer context)
{
	(void)context;
	return strcmp(a, b);
}

static GTree *new_items(void)
{
	return g_tree_new_full(compare_keys, NULL, g_free, free_item);
}

void store_data_init(void)
{
	items = new_items();
	leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				       g_free);
}

char *store_data_decode_key(json_t *encoded)
{
	const char *text = json_string_value(encoded);
	gsize count = 0;
	guchar *bytes = g_base64_decode(text ? text : "", &count);
	char *key = g_strndup((const char *)bytes, count);

	g_free(bytes);
	return key;
}

static json_t *number_json(uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	return json_string(text);
}

static uint64_t parse_number(json_t *value)
{
	if (json_is_string(value))
		return g_ascii_strtoull(json_string_value(value), NULL, 10);
	return (uint64_t)json_integer_value(value);
}

static bool is_expired(const struct item *item)
{
	int64_t *expires_ms;

	if (!item->lease)
		return false;
	expires_ms = g_hash_table_lookup(leases, &item->lease);
	return !expires_ms || *expires_ms <= clock_now_ms(&clock_system);
}

static struct item *find_unexpired(const char *key)
{
	struct item *item = g_tree_lookup(items, key);

	if (item && is_expired(item)) {
		g_tree_remove(items, key);
		revision++;
		return NULL;
	}
	return item;
}

static json_t *header_json(void)
{
	return json_pack("{s:o}", "revision", number_json(revision));
}

static json_t *item_json(const char *key, const struct item *item)
{
	char *encoded = g_base64_encode((const guchar *)key, strlen(key));
	json_t *value = json_pack("{s:s,s:s,s:o,s:o,s:o}", "key", encoded,
				  "value", item->value, "create_revision",
				  number_json(item->create_revision),
				  "mod_revision", number_json(item->mod_revision),
				  "version", number_json(item->version));

	g_free(encoded);
	return value;
}

struct range {
	const char *from;
	const char *to;
	json_t *found;
};

static gboolean append_if_in_range(gpointer key, gpointer value, gpointer context)
{
	struct range *range = context;

	if (strcmp(key, range->to) >= 0)
		return TRUE;
	if (strcmp(key, range->from) >= 0 && !is_expired(value))
		json_array_append_new(range->found, item_json(key, value));
	return FALSE;
}

static json_t *range_locked(json_t *request)
{
	char *key = store_data_decode_key(json_object_get(request, "key"));
	json_t *range_end = json_object_get(request, "range_end");
	json_t *found = json_array();
	struct item *item;

	if (range_end) {
		char *end = store_data_decode_key(range_end);
		struct range range = { key, end, found };

		g_tree_foreach(items, append_if_in_range, &range);
		free(end);
	} else {
		item = find_unexpired(key);
		if (item)
			json_array_append_new(found, item_json(key, item));
	}
	free(key);
	return json_pack("{s:o,s:o,s:o}", "header", header_json(), "count",
			 number_json(json_array_size(found)), "kvs", found);
}

json_t *store_data_range(json_t *request)
{
	json_t *response;

	pthread_mutex_lock(&lock);
	response = range_locked(request);
	pthread_mutex_unlock(&lock);
	return response;
}

static bool compare_matches(json_t *compare)
{
	char *key = store_data_decode_key(json_object_get(compare, "key"));
	const char *target =
		json_string_value(json_object_get(compare, "target"));
	const struct item *item = find_unexpired(key);
	uint64_t actual = 0;
	uint64_t wanted;

	free(key);
	if (!target)
		return false;
	if (!strcmp(target, "MOD")) {
		wanted = parse_number(json_object_get(compare, "mod_revision"));
		actual = item ? item->mod_revision : 0;
	} else if (!strcmp(target, "CREATE")) {
		wanted = parse_number(json_object_get(compare, "create_revision"));
		actual = item ? item->create_revision : 0;
	} else {
		wanted = parse_number(json_object_get(compare, "version"));
		actual = item ? item->version : 0;
	}
	return wanted == actual;
}

static void apply_put(json_t *request)
{
	char *key = store_data_decode_key(json_object_get(request, "key"));
	const char *value = json_string_value(json_object_get(request, "value"));
	struct item *item = find_unexpired(key);

	if (!item) {
		item = calloc(1, sizeof(*item));
		item->create_revision = revision;
		g_tree_insert(items, g_strdup(key), item);
	}
	free(item->value);
	item->value = strdup(value ? value : "");
	item->mod_revision = revision;
	item->version++;
	item->lease = parse_number(json_object_get(request, "lease"));
	free(key);
}

static json_t *apply_operation(json_t *operation)
{
	json_t *request = json_object_get(operation, "request_put");
	char *key;

	if (request) {
		apply_put(request);
		return json_pack("{s:{}}", "response_put");
	}
	request = json_object_get(operation, "request_delete_range");
	if (request) {
		key = store_data_decode_key(json_object_get(request, "key"));
		g_tree_remove(items, key);
		free(key);
		return json_pack("{s:{}}", "response_delete_range");
	}
	request = json_object_get(operation, "request_range");
	return json_pack("{s:o}", "response_range", range_locked(request));
}

json_t *store_data_txn(json_t *request)
{
	json_t *responses = json_array();
	bool succeeded = true;
	json_t *response;
	json_t *entry;
	size_t i;

	pthread_mutex_lock(&lock);
	json_array_foreach (json_object_get(request, "compare"), i, entry)
		succeeded = succeeded && compare_matches(entry);
	if (succeeded)
		revision++;
	json_array_foreach (json_object_get(request,
					    succeeded ? "success" : "failure"),
			    i, entry)
		json_array_append_new(responses, apply_operation(entry));
	response = json_pack("{s:o,s:b,s:o}", "header", header_json(),
			     "succeeded", succeeded, "responses", responses);
	pthread_cond_broadcast(&data_changed);
	pthread_mutex_unlock(&lock);
	return response;
}

json_t *store_data_grant_lease(json_t *request)
{
	int64_t ttl_s = (int64_t)parse_number(json_object_get(request, "TTL"));
	int64_t *id = g_new(int64_t, 1);
	int64_t *expires_ms = g_new(int64_t, 1);
	json_t *response;

	pthread_mutex_lock(&lock);
	*id = (int64_t)(7000 + ++lease_count);
	*expires_ms = clock_now_ms(&clock_system) + ttl_s * MS_PER_S;
	response = json_pack("{s:o,s:o,s:o}", "header", header_json(), "ID",
			     number_json((uint64_t)*id), "TTL",
			     number_json((uint64_t)ttl_s));
	g_hash_table_replace(leases, id, expires_ms);
	pthread_mutex_unlock(&lock);
	return response;
}

uint64_t store_data_key_revision(const char *key)
{
	const struct item *item;
	uint64_t found;

	pthread_mutex_lock(&lock);
	item = find_unexpired(key);
	found = item ? item->mod_revision : 0;
	pthread_mutex_unlock(&lock);
	return found;
}

bool store_data_wait_for_change(const char *key, uint64_t last_revision,
				uint32_t timeout_ms)
{
	struct timespec until;
	const struct item *item;
	bool differs;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += timeout_ms / MS_PER_S;
	pthread_mutex_lock(&lock);
	for (;;) {
		item = find_unexpired(key);
		differs = (item ? item->mod_revision : 0) != last_revision;
		if (differs ||
		    pthread_cond_timedwait(&data_changed, &lock, &until))
			break;
	}
	pthread_mutex_unlock(&lock);
	return differs;
}

static gboolean copy_item(gpointer key, gpointer value, gpointer context)
{
	struct item *copy = g_memdup2(value, sizeof(*copy));

	copy->value = strdup(copy->value);
	g_tree_insert(context, g_strdup(key), copy);
	return FALSE;
}

static GTree *copy_items(GTree *from)
{
	GTree *copy = new_items();

	g_tree_foreach(from, copy_item, copy);
	return copy;
}

void store_data_snapshot(void)
{
	pthread_mutex_lock(&lock);
	if (snapshot)
		g_tree_destroy(snapshot);
	snapshot = copy_items(items);
	snapshot_revision = revision;
	pthread_mutex_unlock(&lock);
}

void store_data_restore(void)
{
	pthread_mutex_lock(&lock);
	if (snapshot) {
		g_tree_destroy(items);
		items = copy_items(snapshot);
		revision = snapshot_revision;
	}
	pthread_cond_broadcast(&data_changed);
	pthread_mutex_unlock(&lock);
}
