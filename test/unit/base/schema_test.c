#include "base/schema.h"
#include "unit/test.h"

struct item {
	char *name;
	uint32_t count;
};

struct sample {
	char *address;
	bool flag;
	uint64_t number;
	char **names;
	uint32_t name_count;
	struct item *items;
	uint32_t item_count;
	char **peers;
	uint32_t peer_count;
};

static const struct field item_fields[] = {
	{ .key = "name",
	  .kind = FIELD_NAME,
	  .offset = offsetof(struct item, name),
	  .required = true,
	  .min = 1,
	  .max = 8,
	  .help = "a name" },
	{ .key = "count",
	  .kind = FIELD_U32,
	  .offset = offsetof(struct item, count),
	  .max = 9,
	  .default_value = 4,
	  .help = "a count" },
};
static const struct schema item_schema = { item_fields, 2, sizeof(struct item) };

static const struct field sample_fields[] = {
	{ .key = "address",
	  .kind = FIELD_ADDRESS,
	  .offset = offsetof(struct sample, address),
	  .max = 64,
	  .help = "an address" },
	{ .key = "flag",
	  .kind = FIELD_BOOL,
	  .offset = offsetof(struct sample, flag),
	  .default_value = 1,
	  .help = "a flag" },
	{ .key = "number",
	  .kind = FIELD_U64,
	  .offset = offsetof(struct sample, number),
	  .max = 1ULL << 52,
	  .help = "a number" },
	{ .key = "names",
	  .kind = FIELD_NAMES,
	  .offset = offsetof(struct sample, names),
	  .count_offset = offsetof(struct sample, name_count),
	  .max = 2,
	  .help = "names" },
	{ .key = "items",
	  .kind = FIELD_OBJECTS,
	  .offset = offsetof(struct sample, items),
	  .count_offset = offsetof(struct sample, item_count),
	  .max = 3,
	  .schema = &item_schema,
	  .help = "items" },
	{ .key = "peers",
	  .kind = FIELD_ADDRESSES,
	  .offset = offsetof(struct sample, peers),
	  .count_offset = offsetof(struct sample, peer_count),
	  .max = 2,
	  .help = "addresses" },
};
static const struct schema sample_schema = { sample_fields, 6,
					     sizeof(struct sample) };

/** Reads text into `sample`. The caller clears `sample` and `errors`. */
static bool read_text(const char *text, struct sample *sample,
		      struct schema_errors *errors)
{
	json_t *value;
	bool read;

	memset(sample, 0, sizeof(*sample));
	*errors = schema_errors_new();
	value = schema_parse(text, strlen(text), 4096, errors);
	read = value && schema_read(&sample_schema, value, "", sample, errors);
	json_decref(value);
	return read;
}

static void reads_values_and_defaults(void)
{
	struct schema_errors errors;
	struct sample sample;

	g_assert_true(read_text("{\"address\":\"[::1]:80\",\"number\":7,"
				"\"peers\":[\"127.0.0.1:1\"],"
				"\"names\":[\"a\"],\"items\":[{\"name\":\"x\"},"
				"{\"name\":\"y\",\"count\":2}]}",
				&sample, &errors));
	g_assert_cmpstr(sample.address, ==, "[::1]:80");
	g_assert_true(sample.flag);
	g_assert_cmpuint(sample.number, ==, 7);
	g_assert_cmpuint(sample.item_count, ==, 2);
	g_assert_cmpstr(sample.peers[0], ==, "127.0.0.1:1");
	g_assert_cmpuint(sample.items[0].count, ==, 4);
	g_assert_cmpuint(sample.items[1].count, ==, 2);
	schema_clear(&sample_schema, &sample);
	schema_errors_clear(&errors);
}

static void reports_all_errors_at_once(void)
{
	struct schema_errors errors;
	struct sample sample;

	g_assert_false(
		read_text("{\"address\":\"here\",\"flag\":3,\"number\":-1,\"nmaes\":[],"
			  "\"names\":[\"a b\",1],\"items\":[{\"count\":10}]}",
			  &sample, &errors));
	g_assert_cmpuint(errors.count, ==, 8);
	assert_contains(errors.text->str, "nmaes: is not a known key");
	assert_contains(errors.text->str, "address: \"here\" is not an address");
	assert_contains(errors.text->str, "flag: must be true or false");
	assert_contains(errors.text->str, "number: -1 is out of range");
	assert_contains(errors.text->str, "names[0]: \"a b\" is not a name");
	assert_contains(errors.text->str, "names[1]: must be a string");
	assert_contains(errors.text->str, "items[0].name: is missing");
	assert_contains(errors.text->str, "items[0].count: 10 is out of range");
	schema_clear(&sample_schema, &sample);
	schema_errors_clear(&errors);
}

static void rejects_deep_large_and_duplicate_input(void)
{
	struct schema_errors errors;
	struct sample sample;
	char *deep = g_strnfill(3000, '[');

	g_assert_false(read_text(deep, &sample, &errors));
	schema_errors_clear(&errors);
	g_free(deep);
	g_assert_false(
		read_text("{\"names\":[\"a\",\"b\",\"c\"]}", &sample, &errors));
	assert_contains(errors.text->str, "names: has 3 items");
	schema_clear(&sample_schema, &sample);
	schema_errors_clear(&errors);
	g_assert_false(read_text("{\"number\":1,\"number\":2}", &sample, &errors));
	schema_errors_clear(&errors);
	errors = schema_errors_new();
	g_assert_null(schema_parse("{\"a\":1}", 7, 6, &errors));
	assert_contains(errors.text->str, "at most 6 are allowed");
	schema_errors_clear(&errors);
}

static void writes_all_fields(void)
{
	const char *text = "{\"items\":[{\"name\":\"x\",\"count\":2}],"
			   "\"names\":[\"n\"],\"flag\":false}";
	struct schema_errors errors;
	struct sample sample;
	json_t *value, *first;

	g_assert_true(read_text(text, &sample, &errors));
	value = schema_write(&sample_schema, &sample);
	first = json_array_get(json_object_get(value, "items"), 0);
	g_assert_cmpint(json_integer_value(json_object_get(first, "count")), ==,
			2);
	g_assert_true(json_is_false(json_object_get(value, "flag")));
	json_decref(value);
	schema_clear(&sample_schema, &sample);
	schema_errors_clear(&errors);
}

static void accepts_only_ip_port_addresses(void)
{
	static const char *const good[] = { "127.0.0.1:1", "[::1]:65535" };
	static const char *const bad[] = { "127.0.0.1",	  "127.0.0.1:0",
					   "127.0.0.1:x", "host:80",
					   "::1:80",	  "1.2.3.4:65536" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(good); i++)
		g_assert_true(schema_is_address(good[i]));
	for (i = 0; i < ARRAY_SIZE(bad); i++)
		g_assert_false(schema_is_address(bad[i]));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("schema", reads_values_and_defaults);
	ADD_TEST("schema", reports_all_errors_at_once);
	ADD_TEST("schema", rejects_deep_large_and_duplicate_input);
	ADD_TEST("schema", writes_all_fields);
	ADD_TEST("schema", accepts_only_ip_port_addresses);
	return g_test_run();
}
