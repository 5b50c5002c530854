#include "document/current.h"
#include "document/diff.h"
#include "document/edit.h"
#include "unit/fixture.h"

/** Expects the value to be rejected with an error that contains `part`. */
static void assert_rejected(json_t *value, const char *part)
{
	struct schema_errors errors = schema_errors_new();

	g_assert_null(document_from_json(value, &errors));
	assert_contains(errors.text->str, part);
	schema_errors_clear(&errors);
	json_decref(value);
}

/** Splits fyn's callers between fyn and another region, in thousandths. */
static void set_shares(json_t *value, const char *other, int own, int others)
{
	json_t *shares = json_pack("{s:i,s:i}", "fyn", own, other, others);

	edit_set_shares(value, "cleft", "fyn", shares);
	json_decref(shares);
}

static json_t *first_item(json_t *value, const char *list)
{
	return json_array_get(json_object_get(value, list), 0);
}

/* "/cleft" must not match "/cleftx": prefixes end at a path segment. */
static void parses_fixture(void)
{
	struct document *doc = fixture_document(fixture_json());

	g_assert_cmpint(document_region_index(doc, "jylland"), ==, 1);
	g_assert_cmpint(document_region_index_of_domain(doc, "fyn-b"), ==, 0);
	g_assert_cmpint(document_region_index_of_domain(doc, "nowhere"), ==, -1);
	g_assert_nonnull(document_find_service_for_path(doc, "/cleft/x?y=1"));
	g_assert_nonnull(document_find_service_for_path(doc, "/cleft"));
	g_assert_null(document_find_service_for_path(doc, "/cleftx"));
	document_free(doc);
}

static void reports_each_invalid_field(void)
{
	json_t *value = fixture_json();

	json_object_set_new(first_item(value, "backends"), "service",
			    json_string("mill"));
	assert_rejected(value, "backends[0].service: \"mill\" is not a service");
	value = fixture_json();
	json_object_set_new(first_item(value, "backends"), "failure_domain",
			    json_string("moon"));
	assert_rejected(value, "backends[0].failure_domain: \"moon\"");
	value = fixture_json();
	json_object_set_new(first_item(value, "backends"), "name",
			    json_string("c2"));
	assert_rejected(value, "\"c2\" is used twice");
	value = fixture_json();
	json_object_set_new(first_item(value, "services"), "path_prefix",
			    json_string("/v1/x"));
	assert_rejected(value, "is reserved by the system");
	value = fixture_json();
	set_shares(value, "jylland", 500, 400);
	assert_rejected(value, "the shares sum to 900");
	value = fixture_json();
	set_shares(value, "sjaelland", 500, 500);
	assert_rejected(value, "\"sjaelland\" has no backend server");
	value = fixture_json();
	json_object_set_new(first_item(value, "links"), "to", json_string("fyn"));
	assert_rejected(value, "is linked to itself");
}

/* Malformed JSON and wrong types must yield errors, not a crash. */
static void rejects_malformed_text(void)
{
	static const char *const texts[] = {
		"",
		"null",
		"[]",
		"{",
		"{\"version\":1e400}",
		"\"x\"",
		"{\"version\":\"1\"}",
		"{\"regions\":[[[[]]]]}",
		"{\"version\":1,\"regions\":[{\"name\":\"a\\u0000b\"}]}",
	};
	struct schema_errors errors;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(texts); i++) {
		errors = schema_errors_new();
		g_assert_null(document_parse(texts[i], strlen(texts[i]), &errors));
		g_assert_cmpuint(errors.count, >, 0);
		schema_errors_clear(&errors);
	}
}

/* Paths name list items rather than indexes, and the version is left out. */
static void matches_list_items_by_name(void)
{
	json_t *old_value = fixture_json();
	json_t *new_value = fixture_json();
	json_t *found;
	char *text;

	json_object_set_new(new_value, "version", json_integer(9));
	g_assert_null(edit_set_backend_leaving(new_value, "c1", true));
	g_assert_null(edit_set_entry_leaving(new_value, "e1", true));
	found = diff_documents(old_value, new_value);
	text = diff_to_text(found);
	assert_contains(text, "backends[c1].leaving: (absent) -> true");
	assert_contains(text, "leaving_entries: (absent) -> [\"e1\"]");
	g_assert_cmpuint(json_array_size(found), ==, 2);
	g_free(text);
	json_decref(found);
	json_decref(old_value);
	json_decref(new_value);
}

/* "backends[c10]" is not part of "backends[c1]", despite the common prefix. */
static void detects_overlapping_paths(void)
{
	json_t *mine = json_pack("[{s:s},{s:s}]", "path", "backends[c1].slots",
				 "path", "steering[cleft/fyn].shares[fyn]");
	json_t *theirs = json_pack("[{s:s},{s:s},{s:s},{s:s}]", "path",
				   "backends[c1]", "path", "backends[c10].slots",
				   "path", "backends[c1].slots", "path",
				   "steering[cleft/fyn].shares[fyn].permille");
	json_t *found = diff_conflicts(mine, theirs);

	g_assert_cmpuint(json_array_size(found), ==, 3);
	json_decref(found);
	json_decref(theirs);
	json_decref(mine);
}

static void edits_report_missing_items(void)
{
	json_t *value = fixture_json();

	g_assert_nonnull(edit_set_backend_leaving(value, "none", true));
	g_assert_nonnull(edit_set_entry_leaving(value, "none", false));
	g_assert_nonnull(edit_set_move_cap(value, "cleft", "jylland", 1, 100));
	g_assert_nonnull(edit_set_link_capacity(value, "fyn", "sjaelland", 1));
	g_assert_nonnull(edit_set_service_number(value, "mill", "deadline_ms", 1));
	json_decref(value);
}

static enum current_result offer(struct current *current, uint64_t version)
{
	json_t *value = fixture_json();
	enum current_result result;
	char *text;

	json_object_set_new(value, "version", json_integer((json_int_t)version));
	text = json_dumps(value, JSON_COMPACT);
	result = current_apply(current, text, (uint32_t)strlen(text), "test");
	free(text);
	json_decref(value);
	return result;
}

/*
 * A delayed or repeated document must not replace the active one, and one that
 * is replaced must not be freed while a reader still uses it.
 */
static void rejects_versions_not_newer(void)
{
	struct current *current = current_new(NULL, NULL);
	struct current_document *held;

	g_assert_null(current_get(current));
	g_assert_cmpint(offer(current, 5), ==, CURRENT_APPLIED);
	held = current_get(current);
	g_assert_cmpint(offer(current, 5), ==, CURRENT_NOT_NEWER);
	g_assert_cmpint(offer(current, 4), ==, CURRENT_NOT_NEWER);
	g_assert_cmpint(offer(current, 6), ==, CURRENT_APPLIED);
	g_assert_cmpint(current_apply(current, "{}", 2, "test"), ==,
			CURRENT_INVALID);
	g_assert_cmpuint(current_version(current), ==, 6);
	/* a referenced document stays valid after it has been replaced */
	g_assert_cmpuint(held->doc->version, ==, 5);
	current_unref(held);
	current_free(current);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("document", parses_fixture);
	ADD_TEST("document", reports_each_invalid_field);
	ADD_TEST("document", rejects_malformed_text);
	ADD_TEST("document", matches_list_items_by_name);
	ADD_TEST("document", detects_overlapping_paths);
	ADD_TEST("document", edits_report_missing_items);
	ADD_TEST("document", rejects_versions_not_newer);
	return g_test_run();
}
