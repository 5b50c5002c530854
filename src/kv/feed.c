#include "kv/feed.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Removals that are kept for VMs that fall behind. A watching VM sends its next
 * request within seconds; the store itself keeps about 20 s of history. */
#define REMOVALS_KEPT_MAX 2048
/* Gaps that are kept; older ones count as history that is gone. */
#define GAPS_MAX 16

/* Revisions between which removals are not known, both ends excluded. */
struct gap {
	uint64_t from;
	uint64_t until;
};

struct feed {
	char *prefix;
	GHashTable *items; /* key to struct kv_item */
	GQueue removals;   /* struct kv_item, oldest first */
	uint64_t era;	   /* of the store; 0: unknown */
	uint64_t revision; /* all changes up to it are applied; 0: none */
	/* later removals are all in `removals`, but those in a gap */
	uint64_t history_floor;
	struct gap gaps[GAPS_MAX]; /* oldest first */
	uint32_t gap_count;
	uint64_t last_change_revision;
	bool current;
	bool refreshing; /* a read that makes it current is in progress */
	void (*changed)(void *context);
	void *context;
};

static void item_free(gpointer data)
{
	struct kv_item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

struct feed *feed_new(const char *prefix)
{
	struct feed *feed = g_new0(struct feed, 1);

	feed->prefix = g_strdup(prefix);
	/* the item owns its key */
	feed->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	return feed;
}

void feed_free(struct feed *feed)
{
	if (!feed)
		return;
	g_hash_table_destroy(feed->items);
	g_queue_clear_full(&feed->removals, item_free);
	g_free(feed->prefix);
	g_free(feed);
}

const char *feed_prefix(const struct feed *feed)
{
	return feed->prefix;
}

static void record_change(struct feed *feed, uint64_t revision)
{
	if (revision > feed->last_change_revision)
		feed->last_change_revision = revision;
}

void feed_put(struct feed *feed, const struct kv_item *item)
{
	const struct kv_item *existing =
		g_hash_table_lookup(feed->items, item->key);
	struct kv_item *copy;

	if (existing && existing->revision >= item->revision)
		return;
	copy = g_new0(struct kv_item, 1);
	copy->key = g_strdup(item->key);
	/* values are binary: copies the bytes and the NUL behind them */
	copy->value = g_memdup2(item->value, item->value_bytes + 1);
	copy->value_bytes = item->value_bytes;
	copy->revision = item->revision;
	g_hash_table_replace(feed->items, copy->key, copy);
	record_change(feed, item->revision);
}

void feed_remove(struct feed *feed, const char *key, uint64_t revision)
{
	const struct kv_item *existing = g_hash_table_lookup(feed->items, key);

	if (!existing || existing->revision > revision)
		return;
	feed_record_removal(feed, key, revision);
	g_hash_table_remove(feed->items, key);
}

void feed_record_removal(struct feed *feed, const char *key, uint64_t revision)
{
	struct kv_item *removal = g_new0(struct kv_item, 1);

	removal->key = g_strdup(key);
	removal->revision = revision;
	removal->removed = true;
	g_queue_push_tail(&feed->removals, removal);
	record_change(feed, revision);
	if (g_queue_get_length(&feed->removals) <= REMOVALS_KEPT_MAX)
		return;
	removal = g_queue_pop_head(&feed->removals);
	feed->history_floor = MAX(feed->history_floor, removal->revision);
	item_free(removal);
}

void feed_record_gap(struct feed *feed, uint64_t revision)
{
	const struct gap gap = { feed->revision, revision };

	if (!feed->revision || gap.until <= gap.from + 1)
		return;
	if (feed->gap_count == GAPS_MAX) {
		feed->history_floor =
			MAX(feed->history_floor, feed->gaps[0].until);
		feed->gap_count--;
		memmove(feed->gaps, feed->gaps + 1,
			feed->gap_count * sizeof(gap));
	}
	feed->gaps[feed->gap_count++] = gap;
}

void feed_advance(struct feed *feed, uint64_t revision, bool from_store)
{
	if (!feed->revision)
		feed->history_floor = revision;
	feed->revision = MAX(feed->revision, revision);
	feed->current = from_store;
	feed->refreshing = false;
	if (feed->changed)
		feed->changed(feed->context);
}

void feed_begin_era(struct feed *feed, uint64_t era)
{
	bool is_first = !feed->era;

	feed->era = era;
	if (is_first)
		return;
	g_hash_table_remove_all(feed->items);
	g_queue_clear_full(&feed->removals, item_free);
	g_queue_init(&feed->removals);
	feed->revision = 0;
	feed->history_floor = 0;
	feed->gap_count = 0;
	feed->last_change_revision = 0;
	feed_begin_refresh(feed);
	if (feed->changed)
		feed->changed(feed->context);
}

uint64_t feed_era(const struct feed *feed)
{
	return feed->era;
}

void feed_interrupt(struct feed *feed)
{
	if (!feed->current && !feed->refreshing)
		return;
	feed->current = false;
	feed->refreshing = false;
	if (feed->changed)
		feed->changed(feed->context);
}

void feed_begin_refresh(struct feed *feed)
{
	feed->current = false;
	feed->refreshing = true;
}

bool feed_is_refreshing(const struct feed *feed)
{
	return feed->refreshing;
}

bool feed_is_current(const struct feed *feed)
{
	return feed->current;
}

void feed_set_listener(struct feed *feed, void (*changed)(void *context),
		       void *context)
{
	feed->changed = changed;
	feed->context = context;
}

static void collect_changes(const struct feed *feed, uint64_t revision,
			    struct kv_page *page)
{
	GHashTableIter iter;
	gpointer value;
	GList *link;

	page->items =
		calloc(g_hash_table_size(feed->items) +
			       g_queue_get_length((GQueue *)&feed->removals) + 1,
		       sizeof(*page->items));
	if (!page->items)
		return;
	/* removals first, so that a removed and rewritten key ends up present */
	for (link = feed->removals.head; link; link = link->next) {
		const struct kv_item *removal = link->data;

		if (removal->revision > revision)
			page->items[page->item_count++] = *removal;
	}
	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kv_item *item = value;

		if (item->revision > revision)
			page->items[page->item_count++] = *item;
	}
}

static bool is_in_gap(const struct feed *feed, uint64_t revision)
{
	uint32_t i;

	for (i = 0; i < feed->gap_count; i++)
		if (revision > feed->gaps[i].from &&
		    revision < feed->gaps[i].until)
			return true;
	return false;
}

enum feed_result feed_since(const struct feed *feed, uint64_t revision,
			    struct kv_page *page)
{
	memset(page, 0, sizeof(*page));
	if (!feed->current)
		return FEED_STALE;
	if (revision < feed->history_floor || is_in_gap(feed, revision))
		return FEED_HISTORY_GONE;
	page->current_revision = MAX(revision, feed->revision);
	if (revision >= feed->last_change_revision)
		return FEED_NO_CHANGES;
	collect_changes(feed, revision, page);
	return FEED_CHANGES;
}

enum feed_result feed_all(const struct feed *feed, struct kv_page *page)
{
	GHashTableIter iter;
	gpointer value;

	memset(page, 0, sizeof(*page));
	if (!feed->current)
		return FEED_STALE;
	page->current_revision = feed->revision;
	page->items =
		calloc(g_hash_table_size(feed->items) + 1, sizeof(*page->items));
	if (!page->items)
		return FEED_STALE;
	g_hash_table_iter_init(&iter, feed->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		page->items[page->item_count++] = *(struct kv_item *)value;
	return FEED_CHANGES;
}
