#include "platform/workspace_codec.h"

#include "fleet/config.h"
#include "platform/config_codec.h"
#include "unit/test.h"
#include "workspace/keys.h"

#define ROUTE(name, prefix, kind, more)                                          \
	"\"" name "\":{\"Host\":\"a.example\",\"Prefix\":\"" prefix              \
	"\",\"Kind\":\"" kind "\",\"TimeoutMs\":1200,\"TargetLatencyMs\":600,\"" \
	"Priority\":2,\"Service\":\"reg\",\"MaxAttempts\":2" more "}"
#define CONFIG(routes, more)                                                        \
	"{\"Version\":\"00000001\",\"Routes\":{" routes "},\"Services\":"           \
	"{\"reg\":{\"HealthPath\":\"/\",\"MaxConns\":8,\"ColdStartS\":0,"           \
	"\"ColdPerS\":1}},\"Limits\":{\"MaxHeaderBytes\":16384,"                    \
	"\"MaxBodyBytes\":9,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}" more \
	"}"
#define LOOK ROUTE("look", "/look/", "idempotent", "")
#define TENANTS(entries) CONFIG(LOOK, ",\"Tenants\":{" entries "}")

static const char *problem;

static struct config *decode(const char *text)
{
	return config_decode(text, strlen(text), &problem);
}

static int64_t find(const struct config *config, const char *key)
{
	return workspace_keys_find(config->keys,
				   workspace_key_hash(key, strlen(key)));
}

static void workspaces_are_decoded(void)
{
	struct config *config = decode(
		TENANTS("\"dairy\":{\"ApiKeys\":[\"k1\",\"k2\",\"k1\"],"
			"\"Priority\":0,\"HomeRegions\":[\"fyn\",\"jyl\"],"
			"\"RatePerS\":12.5,\"Burst\":30},\"mill\":{\"ApiKeys\":"
			"[\"k3\"]}"));
	const struct workspace *dairy;
	const struct workspace *mill;

	g_assert_nonnull(config);
	g_assert_true(config->has_workspaces);
	g_assert_cmpuint(config->workspace_count, ==, 2);
	dairy = &config->workspaces[find(config, "k2")];
	mill = &config->workspaces[find(config, "k3")];
	g_assert_cmpint(find(config, "k1"), ==, find(config, "k2"));
	g_assert_cmpint(find(config, "k4"), ==, -1);
	g_assert_cmpstr(dairy->name, ==, "dairy");
	g_assert_true(dairy->has_priority);
	g_assert_cmpuint(dairy->priority, ==, 0);
	g_assert_cmpuint(dairy->home_region_count, ==, 2);
	g_assert_cmpstr(dairy->home_regions[1], ==, "jyl");
	g_assert_cmpfloat(dairy->rate_per_s, ==, 12.5);
	g_assert_cmpfloat(dairy->burst, ==, 30);
	g_assert_cmpstr(mill->name, ==, "mill");
	g_assert_false(mill->has_priority);
	g_assert_cmpuint(mill->home_region_count, ==, 0);
	g_assert_cmpfloat(mill->rate_per_s, ==, 0);
	config_unref(config);
}

/* Guards against a table without entries that opens the routes to everybody. */
static void empty_table_of_workspaces_is_one(void)
{
	struct config *config = decode(TENANTS(""));

	g_assert_true(config->has_workspaces);
	g_assert_cmpint(find(config, "k1"), ==, -1);
	config_unref(config);
	config = decode(CONFIG(LOOK, ""));
	g_assert_false(config->has_workspaces);
	g_assert_null(config->keys);
	config_unref(config);
}

struct malformed {
	const char *text;
	const char *problem; /* a part of the message */
};

/* Guards against a configuration that opens, closes or attributes requests in
 * another way than its author meant: the one before must stay in force. The
 * message must show no key. */
static void malformed_workspaces_are_rejected(void)
{
	static const struct malformed malformed[] = {
		{ CONFIG(LOOK, ",\"Tenants\":null"), "Tenants: not an object" },
		{ CONFIG(LOOK, ",\"Tenants\":[]"), "Tenants" },
		{ TENANTS("\"a\":7"), "Tenants.a: not an object" },
		{ TENANTS("\"a\":{\"ApiKeys\":\"SECRET\"}"),
		  "Tenants.a.ApiKeys: not a list" },
		{ TENANTS("\"a\":{\"ApiKeys\":[7]}"), "not a string" },
		{ TENANTS("\"a\":{\"ApiKeys\":[\"SECRET\",\"\"]}"), "empty" },
		{ TENANTS("\"a\":{\"ApiKeys\":[\"SECRET\"]},"
			  "\"b\":{\"ApiKeys\":[\"SECRET\"]}"),
		  "Tenants.b.ApiKeys: another tenant" },
		{ TENANTS("\"a\":{\"Priority\":-1}"), "Priority" },
		{ TENANTS("\"a\":{\"Priority\":\"1\"}"), "Priority" },
		{ TENANTS("\"a\":{\"RatePerS\":-0.5}"), "RatePerS" },
		{ TENANTS("\"a\":{\"RatePerS\":true}"), "RatePerS" },
		{ TENANTS("\"a\":{\"Burst\":[]}"), "Burst" },
		{ TENANTS("\"a\":{\"HomeRegions\":\"fyn\"}"), "HomeRegions" },
		{ TENANTS("\"a\":{\"HomeRegions\":[1]}"), "HomeRegions" },
		{ TENANTS("\"a\":{},\"a\":{}"), "JSON" },
		{ TENANTS("\"\":{}"), "name" },
		{ TENANTS("\" a\":{}"), "name" },
		{ TENANTS("\"a \":{}"), "name" },
		{ TENANTS("\"a\\r\\nX: y\":{}"), "Tenants.-: the name" },
		{ TENANTS("\"a\\tb\":{}"), "name" },
		{ TENANTS("\"a\\u007f\":{}"), "name" },
		{ CONFIG(ROUTE("look", "/l/", "download", ",\"AllowAnonymous\":1"),
			 ""),
		  "route" },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(malformed); i++) {
		if (decode(malformed[i].text))
			g_error("accepted: %s", malformed[i].text);
		if (!strstr(problem, malformed[i].problem))
			g_error("%s: %s", problem, malformed[i].text);
		g_assert_null(strstr(problem, "SECRET"));
	}
}

/* Guards against an upload that runs twice. */
static void kinds_of_routes_are_decoded(void)
{
	struct config *config =
		decode(CONFIG(LOOK "," ROUTE("get", "/get/", "download",
					     ",\"AllowAnonymous\":true") "," //
			      ROUTE("put", "/put/", "upload",
				    ",\"AllowAnonymous\":false") ","	      //
			      ROUTE("buy", "/buy/", "non_idempotent", "") "," //
			      ROUTE("odd", "/odd/", "Download", ""),
			      ""));
	const struct route *route;

	g_assert_nonnull(config);
	g_assert_true(config->has_large_bodies);
	route = config_find_route(config, "a.example", "/look/");
	g_assert_cmpint(route->kind, ==, ROUTE_IDEMPOTENT);
	g_assert_true(route->idempotent);
	g_assert_false(route->allows_anonymous);
	route = config_find_route(config, "a.example", "/get/");
	g_assert_cmpint(route->kind, ==, ROUTE_DOWNLOAD);
	g_assert_true(route->idempotent);
	g_assert_true(route->allows_anonymous);
	route = config_find_route(config, "a.example", "/put/");
	g_assert_cmpint(route->kind, ==, ROUTE_UPLOAD);
	g_assert_false(route->idempotent);
	g_assert_false(route->allows_anonymous);
	route = config_find_route(config, "a.example", "/buy/");
	g_assert_cmpint(route->kind, ==, ROUTE_ORDER);
	g_assert_false(route->idempotent);
	route = config_find_route(config, "a.example", "/odd/");
	g_assert_cmpint(route->kind, ==, ROUTE_ORDER);
	g_assert_false(route->idempotent);
	config_unref(config);
	config = decode(CONFIG(LOOK, ""));
	g_assert_false(config->has_large_bodies);
	config_unref(config);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("workspace_codec", workspaces_are_decoded);
	ADD_TEST("workspace_codec", empty_table_of_workspaces_is_one);
	ADD_TEST("workspace_codec", malformed_workspaces_are_rejected);
	ADD_TEST("workspace_codec", kinds_of_routes_are_decoded);
	return g_test_run();
}
