#include "kv/known_keys.h"

#include <glib.h>
#include <stdlib.h>

#include "net/timer.h"

struct entry {
	uint64_t revision;
	uint64_t range_seq;	  /* of the last range with the key */
	int64_t missing_until_ms; /* then removed; 0: present */
};

struct known_keys {
	const struct clock *clock;
	struct feed *feed;
	const struct mirror_events *events;
	void *context;
	struct event *expiry; /* of missing keys */
	GHashTable *entries;  /* key to struct entry */
	uint64_t range_seq;   /* counts the ranges read */
};

static void remove_entry(struct known_keys *keys, const char *key)
{
	char *copy = g_strdup(key);

	g_hash_table_remove(keys->entries, key);
	keys->events->removed(keys->context, copy);
	g_free(copy);
}

static void on_expiry(evutil_socket_t fd, short what, void *context)
{
	struct known_keys *keys = context;
	GPtrArray *expired = g_ptr_array_new_with_free_func(g_free);
	int64_t now_ms = clock_now_ms(keys->clock);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	int64_t next_ms = 0;
	guint i;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&iter, keys->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct entry *entry = value;
		int64_t left_ms;

		if (!entry->missing_until_ms)
			continue;
		left_ms = entry->missing_until_ms - now_ms;
		if (left_ms <= 0)
			g_ptr_array_add(expired, g_strdup(key));
		else if (!next_ms || left_ms < next_ms)
			next_ms = left_ms;
	}
	for (i = 0; i < expired->len; i++)
		remove_entry(keys, g_ptr_array_index(expired, i));
	g_ptr_array_free(expired, true);
	if (next_ms)
		timer_start(keys->expiry, next_ms);
}

struct known_keys *known_keys_new(struct event_base *base,
				  const struct clock *clock, struct feed *feed,
				  const struct mirror_events *events,
				  void *context)
{
	struct known_keys *keys = g_new0(struct known_keys, 1);

	keys->clock = clock;
	keys->feed = feed;
	keys->events = events;
	keys->context = context;
	keys->expiry = evtimer_new(base, on_expiry, keys);
	keys->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return keys;
}

void known_keys_free(struct known_keys *keys)
{
	if (!keys)
		return;
	event_free(keys->expiry);
	g_hash_table_destroy(keys->entries);
	g_free(keys);
}

void known_keys_put(struct known_keys *keys, const struct kv_item *item)
{
	struct entry *entry = g_hash_table_lookup(keys->entries, item->key);
	bool was_missing;

	feed_put(keys->feed, item);
	if (!entry) {
		entry = g_new0(struct entry, 1);
		g_hash_table_insert(keys->entries, g_strdup(item->key), entry);
	}
	was_missing = entry->missing_until_ms != 0;
	entry->range_seq = keys->range_seq;
	entry->missing_until_ms = 0;
	if (item->revision <= entry->revision && !was_missing)
		return;
	entry->revision = item->revision;
	keys->events->put(keys->context, item);
}

void known_keys_remove(struct known_keys *keys, const char *key,
		       uint64_t revision, uint32_t hold_ms)
{
	struct entry *entry = g_hash_table_lookup(keys->entries, key);

	if (!entry) {
		feed_record_removal(keys->feed, key, revision);
		return;
	}
	if (entry->revision > revision)
		return;
	feed_remove(keys->feed, key, revision);
	if (!hold_ms) {
		remove_entry(keys, key);
		return;
	}
	if (!entry->missing_until_ms) {
		entry->missing_until_ms = clock_now_ms(keys->clock) + hold_ms;
		if (keys->events->missing)
			keys->events->missing(keys->context, key);
	}
	if (!evtimer_pending(keys->expiry, NULL))
		timer_start(keys->expiry, hold_ms);
}

void known_keys_begin_range(struct known_keys *keys)
{
	keys->range_seq++;
}

void known_keys_end_range(struct known_keys *keys, uint64_t revision,
			  uint32_t hold_ms)
{
	GPtrArray *not_in_range = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, keys->entries);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (((struct entry *)value)->range_seq != keys->range_seq)
			g_ptr_array_add(not_in_range, g_strdup(key));
	for (i = 0; i < not_in_range->len; i++)
		known_keys_remove(keys, g_ptr_array_index(not_in_range, i),
				  revision, hold_ms);
	g_ptr_array_free(not_in_range, true);
}

void known_keys_begin_era(struct known_keys *keys)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, keys->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct entry *)value)->revision = 0;
}
