#ifndef TEST_UNIT_FIXTURE_H
#define TEST_UNIT_FIXTURE_H

#include "document/document.h"
#include "unit/test.h"

/**
 * @file
 * A small valid document shared by several test programs.
 */

#define FIXTURE_TEXT                                                          \
	"{\"version\":1,\"lookup_ttl_ms\":2000,"                              \
	"\"regions\":[{\"name\":\"fyn\",\"failure_domains\":[\"fyn-a\","      \
	"\"fyn-b\"]},{\"name\":\"jylland\",\"failure_domains\":[\"jyl-a\"]}," \
	"{\"name\":\"sjaelland\",\"failure_domains\":[\"sja-a\"]}],"          \
	"\"links\":[{\"from\":\"fyn\",\"to\":\"jylland\"}],"                  \
	"\"services\":[{\"name\":\"cleft\",\"path_prefix\":\"/cleft\"}],"     \
	"\"backends\":[{\"name\":\"c1\",\"service\":\"cleft\","               \
	"\"failure_domain\":\"fyn-a\",\"address\":\"127.0.0.1:7101\","        \
	"\"slots\":3},{\"name\":\"c2\",\"service\":\"cleft\","                \
	"\"failure_domain\":\"jyl-a\",\"address\":\"127.0.0.1:7102\"}],"      \
	"\"steering\":[{\"service\":\"cleft\",\"from\":\"fyn\",\"shares\":["  \
	"{\"to\":\"fyn\",\"permille\":1000}],\"move_cap_permille\":100,"      \
	"\"window_ms\":8000}]}"

/** @return the fixture as a new JSON value. */
static inline json_t *fixture_json(void)
{
	json_t *value = json_loads(FIXTURE_TEXT, 0, NULL);

	g_assert_nonnull(value);
	return value;
}

/** @return a validated document. Takes ownership of `value`. */
static inline struct document *fixture_document(json_t *value)
{
	struct schema_errors errors = schema_errors_new();
	struct document *doc = document_from_json(value, &errors);

	if (!doc)
		g_error("%s", errors.text->str);
	schema_errors_clear(&errors);
	json_decref(value);
	return doc;
}

#endif
