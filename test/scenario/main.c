#include <glib.h>

#include "scenario/script.h"

/**
 * @file
 * Runs each file of test/scenarios as a separate test case.
 */

#define FOLDER SOURCE_DIR "/test/scenarios"

static void run_file(gconstpointer file_name)
{
	script_run_file(file_name);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(a, b);
}

int main(int argc, char **argv)
{
	GDir *folder = g_dir_open(FOLDER, 0, NULL);
	GList *names = NULL;
	const char *name;
	GList *item;

	g_test_init(&argc, &argv, NULL);
	g_assert_nonnull(folder);
	while ((name = g_dir_read_name(folder)))
		if (g_str_has_suffix(name, ".scenario"))
			names = g_list_insert_sorted(names, g_strdup(name),
						     compare_names);
	g_dir_close(folder);
	for (item = names; item; item = item->next) {
		char *path = g_strdup_printf("/scenario/%s",
					     (const char *)item->data);

		g_test_add_data_func_full(
			path,
			g_strdup_printf(FOLDER "/%s", (const char *)item->data),
			run_file, g_free);
		g_free(path);
	}
	g_list_free_full(names, g_free);
	return g_test_run();
}
