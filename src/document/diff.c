#include "document/diff.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define PATH_BYTES 512

static const char *const ignored_keys[] = { "version", "change_id", "author",
					    "comment" };

static void compare_values(const char *path, json_t *old_value,
			   json_t *new_value, json_t *differences);

static void append_difference(const char *path, json_t *old_value,
			      json_t *new_value, json_t *differences)
{
	if (json_array_size(differences) >= DIFF_ITEMS_MAX)
		return;
	json_array_append_new(differences,
			      json_pack("{s:s,s:O,s:O}", "path", path, "old",
					old_value ? old_value : json_null(), "new",
					new_value ? new_value : json_null()));
}

/** Formats the label that identifies an item of a list. */
static void format_label(json_t *item, size_t index, char *label, size_t bytes)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *service = json_string_value(json_object_get(item, "service"));
	const char *from = json_string_value(json_object_get(item, "from"));
	const char *to = json_string_value(json_object_get(item, "to"));

	if (name)
		g_snprintf(label, bytes, "%s", name);
	else if (service && from)
		g_snprintf(label, bytes, "%s/%s", service, from);
	else if (from && to)
		g_snprintf(label, bytes, "%s-%s", from, to);
	else if (to)
		g_snprintf(label, bytes, "%s", to);
	else if (json_is_string(item))
		g_snprintf(label, bytes, "%s", json_string_value(item));
	else
		g_snprintf(label, bytes, "%zu", index);
}

static GHashTable *index_by_label(json_t *list)
{
	GHashTable *table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char label[160];
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		format_label(item, i, label, sizeof(label));
		g_hash_table_insert(table, g_strdup(label), item);
	}
	return table;
}

static void compare_lists(const char *path, json_t *old_list, json_t *new_list,
			  json_t *differences)
{
	GHashTable *old_index = index_by_label(old_list);
	GHashTable *new_index = index_by_label(new_list);
	char label[160], item_path[PATH_BYTES];
	json_t *item;
	size_t i;

	json_array_foreach (old_list, i, item) {
		format_label(item, i, label, sizeof(label));
		g_snprintf(item_path, sizeof(item_path), "%s[%s]", path, label);
		compare_values(item_path, item,
			       g_hash_table_lookup(new_index, label),
			       differences);
	}
	json_array_foreach (new_list, i, item) {
		format_label(item, i, label, sizeof(label));
		if (g_hash_table_lookup(old_index, label))
			continue;
		g_snprintf(item_path, sizeof(item_path), "%s[%s]", path, label);
		append_difference(item_path, NULL, item, differences);
	}
	g_hash_table_destroy(old_index);
	g_hash_table_destroy(new_index);
}

static bool is_ignored(const char *path, const char *key)
{
	size_t i;

	for (i = 0; !*path && i < sizeof(ignored_keys) / sizeof(*ignored_keys);
	     i++)
		if (!strcmp(key, ignored_keys[i]))
			return true;
	return false;
}

static void compare_objects(const char *path, json_t *old_object,
			    json_t *new_object, json_t *differences)
{
	char key_path[PATH_BYTES];
	const char *key;
	json_t *item;

	json_object_foreach (old_object, key, item) {
		if (is_ignored(path, key))
			continue;
		g_snprintf(key_path, sizeof(key_path), "%s%s%s", path,
			   *path ? "." : "", key);
		compare_values(key_path, item, json_object_get(new_object, key),
			       differences);
	}
	json_object_foreach (new_object, key, item) {
		if (is_ignored(path, key) || json_object_get(old_object, key))
			continue;
		g_snprintf(key_path, sizeof(key_path), "%s%s%s", path,
			   *path ? "." : "", key);
		append_difference(key_path, NULL, item, differences);
	}
}

static void compare_values(const char *path, json_t *old_value,
			   json_t *new_value, json_t *differences)
{
	if (json_is_object(old_value) && json_is_object(new_value))
		compare_objects(path, old_value, new_value, differences);
	else if (json_is_array(old_value) && json_is_array(new_value))
		compare_lists(path, old_value, new_value, differences);
	else if (!new_value || !json_equal(old_value, new_value))
		append_difference(path, old_value, new_value, differences);
}

json_t *diff_documents(json_t *old_value, json_t *new_value)
{
	json_t *differences = json_array();

	compare_values("", old_value, new_value, differences);
	return differences;
}

/** @return whether the paths are equal or one contains the other. */
static bool paths_overlap(const char *a, const char *b)
{
	size_t a_bytes = strlen(a);
	size_t b_bytes = strlen(b);
	size_t shorter = a_bytes < b_bytes ? a_bytes : b_bytes;
	char next = a_bytes < b_bytes ? b[shorter] : a[shorter];

	return !strncmp(a, b, shorter) && (!next || next == '.' || next == '[');
}

json_t *diff_conflicts(json_t *mine, json_t *theirs)
{
	json_t *conflicts = json_array();
	json_t *own, *other;
	size_t i, k;

	json_array_foreach (theirs, i, other) {
		json_array_foreach (mine, k, own) {
			if (!paths_overlap(json_string_value(
						   json_object_get(own, "path")),
					   json_string_value(
						   json_object_get(other, "path"))))
				continue;
			json_array_append(conflicts, other);
			break;
		}
	}
	return conflicts;
}

static void append_value(GString *text, json_t *value)
{
	char *dump;

	if (json_is_null(value)) {
		g_string_append(text, "(absent)");
		return;
	}
	dump = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	g_string_append(text, dump ? dump : "?");
	free(dump);
}

char *diff_to_text(json_t *differences)
{
	GString *text = g_string_new(NULL);
	json_t *item;
	size_t i;

	json_array_foreach (differences, i, item) {
		g_string_append_printf(text, "%s: ",
				       json_string_value(
					       json_object_get(item, "path")));
		append_value(text, json_object_get(item, "old"));
		g_string_append(text, " -> ");
		append_value(text, json_object_get(item, "new"));
		g_string_append_c(text, '\n');
	}
	return g_string_free(text, FALSE);
}
