#include "workspace/keys.h"

#include <glib.h>

struct workspace_keys {
	GHashTable *by_key;
};

struct workspace_keys *workspace_keys_new(void)
{
	struct workspace_keys *keys = g_new0(struct workspace_keys, 1);

	keys->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return keys;
}

void workspace_keys_free(struct workspace_keys *keys)
{
	if (!keys)
		return;
	g_hash_table_destroy(keys->by_key);
	g_free(keys);
}

bool workspace_keys_add(struct workspace_keys *keys, const char *key,
			uint32_t workspace_index)
{
	return g_hash_table_insert(keys->by_key, g_strdup(key),
				   GUINT_TO_POINTER(workspace_index));
}

int64_t workspace_keys_find(const struct workspace_keys *keys, const char *key)
{
	gpointer index;

	if (!g_hash_table_lookup_extended(keys->by_key, key, NULL, &index))
		return -1;
	return GPOINTER_TO_UINT(index);
}
