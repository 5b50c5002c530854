#include "platform_kv_internal.h"

/**
 * @file
 * The store comes back from a copy that is some seconds old.
 */

static gboolean copy_item(gpointer key, gpointer value, gpointer data)
{
	const struct item *item = value;
	struct item *copy = g_new0(struct item, 1);

	*copy = *item;
	copy->value = g_strdup(item->value);
	g_tree_insert(data, g_strdup(key), copy);
	return false;
}

static GTree *copy_items(GTree *items)
{
	GTree *copy = items_new();

	g_tree_foreach(items, copy_item, copy);
	return copy;
}

void platform_kv_discard_copy(struct platform_kv *kv)
{
	if (!kv->copy.items)
		return;
	g_tree_destroy(kv->copy.items);
	g_hash_table_destroy(kv->copy.leases);
	kv->copy.items = NULL;
}

void platform_kv_take_copy(struct platform_kv *kv)
{
	GHashTableIter iter;
	gpointer id;

	platform_kv_discard_copy(kv);
	kv->copy.items = copy_items(kv->items);
	kv->copy.revision = kv->revision;
	kv->copy.leases =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	g_hash_table_iter_init(&iter, kv->leases);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		g_hash_table_add(kv->copy.leases,
				 g_memdup2(id, sizeof(uint64_t)));
}

static gboolean is_lease_lost(gpointer id, gpointer lease, gpointer data)
{
	(void)lease;
	return !g_hash_table_contains(data, id);
}

bool platform_kv_go_back(struct platform_kv *kv)
{
	if (!kv->copy.items)
		return false;
	g_tree_destroy(kv->items);
	kv->items = copy_items(kv->copy.items);
	kv->revision = kv->copy.revision;
	g_hash_table_foreach_remove(kv->leases, is_lease_lost, kv->copy.leases);
	kv->era++;
	discard_history(kv, kv->revision);
	return true;
}
