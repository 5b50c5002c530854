#include "workspace/keys.h"

#include <malloc.h>

#include "unit/test.h"

static int64_t find(const struct workspace_keys *keys, const char *key)
{
	return workspace_keys_find(keys, workspace_key_hash(key, strlen(key)));
}

static void keys_are_found_by_their_workspace(void)
{
	struct workspace_keys *keys = workspace_keys_new();

	g_assert_cmpint(find(keys, "a"), ==, -1);
	g_assert_true(workspace_keys_add(keys, "a", 0));
	g_assert_true(workspace_keys_add(keys, "b", 7));
	g_assert_cmpint(find(keys, "a"), ==, 0);
	g_assert_cmpint(find(keys, "b"), ==, 7);
	g_assert_cmpint(find(keys, "A"), ==, -1);
	g_assert_cmpint(find(keys, ""), ==, -1);
	g_assert_cmpint(find(keys, "ab"), ==, -1);
	workspace_keys_free(keys);
}

/* Guards against a key that two workspaces share: whose quota its requests
 * use would depend on the order of the configuration. */
static void key_of_another_workspace_is_refused(void)
{
	struct workspace_keys *keys = workspace_keys_new();

	g_assert_true(workspace_keys_add(keys, "a", 1));
	g_assert_true(workspace_keys_add(keys, "a", 1));
	g_assert_false(workspace_keys_add(keys, "a", 2));
	g_assert_cmpint(find(keys, "a"), ==, 1);
	workspace_keys_free(keys);
}

/* Guards against a table that does not fit the smallest VM (112 MB), and
 * against look-ups that get slow in a large one. */
static void fifty_thousand_keys_take_little_memory(void)
{
	const size_t bytes_max = 4 * 1024 * 1024;
	const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
	struct workspace_keys *keys = workspace_keys_new();
	char key[40];
	uint32_t i;

	for (i = 0; i < 50000; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		g_assert_true(workspace_keys_add(keys, key, i % 86));
	}
	g_assert_cmpuint(mallinfo2().uordblks + mallinfo2().hblkhd - before, <,
			 bytes_max);
	for (i = 0; i < 100000; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		g_assert_cmpint(find(keys, key), ==,
				i < 50000 ? (int64_t)(i % 86) : -1);
	}
	workspace_keys_free(keys);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("keys", keys_are_found_by_their_workspace);
	ADD_TEST("keys", key_of_another_workspace_is_refused);
	ADD_TEST("keys", fifty_thousand_keys_take_little_memory);
	return g_test_run();
}
