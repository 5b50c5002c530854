#include "workspace/authenticate.h"

#include "fleet/config.h"
#include "unit/test.h"

static struct config *new_config(void)
{
	struct config *config = config_new(0, 0);

	g_assert_true(config_add_workspaces(config, 2));
	config->workspaces[0].name = strdup("dairy");
	config->workspaces[1].name = strdup("mill");
	g_assert_true(workspace_keys_add(config->keys, "k1", 0));
	g_assert_true(workspace_keys_add(config->keys, "k2", 1));
	return config;
}

struct sample {
	const char *first;  /* NULL: no header */
	const char *second; /* NULL: one header */
	const char *workspace;
	const char *problem;
};

static const struct sample samples[] = {
	{ NULL, NULL, NULL, "no-key" },
	{ "", NULL, NULL, "no-key" },
	{ "Bearer", NULL, NULL, "no-key" },
	{ "Bearer ", NULL, NULL, "no-key" },
	{ "Bearerk1", NULL, NULL, "no-key" },
	{ "Basic k1", NULL, NULL, "no-key" },
	{ "k1", NULL, NULL, "no-key" },
	{ "Bearer k3", NULL, NULL, "unknown-key" },
	{ "Bearer K1", NULL, NULL, "unknown-key" },
	{ "Bearer k1 k1", NULL, NULL, "unknown-key" },
	{ "Bearer k1,k2", NULL, NULL, "unknown-key" },
	{ "Bearer k1", NULL, "dairy", NULL },
	{ "bEARER k2", NULL, "mill", NULL },
	{ "Bearer   k2 \t", NULL, "mill", NULL },
	{ "Bearer k1", "Bearer k1", "dairy", NULL },
	{ "Bearer k1", "Bearer k2", NULL, "several-keys" },
	{ "Bearer k1", "", NULL, "several-keys" },
	{ "Bearer k3", "Bearer k1", NULL, "several-keys" },
};

/* Guards against requests that are attributed to a workspace without its key,
 * and against a key that a proxy before this VM and this VM read from different
 * headers. */
static void workspaces_are_found_by_the_key(void)
{
	struct config *config = new_config();
	struct http_header headers[3] = { { "X", "Bearer k1" } };
	struct authentication result;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(samples); i++) {
		const struct sample *s = &samples[i];
		struct http_head head = { .headers = headers };

		headers[1] = (struct http_header){ "Authorization", s->first };
		headers[2] = (struct http_header){ "AUTHORIZATION", s->second };
		head.header_count = 1 + !!s->first + !!s->second;
		result = authenticate(config, &head);
		g_assert_cmpstr(result.workspace ? result.workspace->name : NULL,
				==, s->workspace);
		g_assert_cmpstr(result.problem, ==, s->problem);
		g_assert_cmpint(result.is_ambiguous, ==, s->second && s->problem);
	}
	config_unref(config);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("authenticate", workspaces_are_found_by_the_key);
	return g_test_run();
}
