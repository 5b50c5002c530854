#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl/ctl_defs.h"
#include "document/diff.h"
#include "document/document.h"
#include "document/edit.h"
#include "store/publish.h"

/**
 * @file
 * Commands that validate, compare and publish the document.
 */

/** Reads a document file. @return a new value, or NULL after printing errors. */
static json_t *read_document_file(const char *file_name)
{
	struct schema_errors errors = schema_errors_new();
	GError *error = NULL;
	json_t *value = NULL;
	gsize text_bytes;
	char *text;

	if (g_file_get_contents(file_name, &text, &text_bytes, &error)) {
		value = schema_parse(text, text_bytes, DOCUMENT_BYTES_MAX,
				     &errors);
		g_free(text);
	} else {
		schema_add_error(&errors, file_name, "%s", error->message);
		g_error_free(error);
	}
	if (!value)
		fprintf(stderr, CTL_PROGRAM ": %s", errors.text->str);
	schema_errors_clear(&errors);
	return value;
}

static void print_errors(const struct ctl *ctl, const struct schema_errors *errors)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:b,s:i,s:s}", "valid", 0, "count",
					 (int)errors->count, "errors",
					 errors->text->str));
	else
		fprintf(stderr,
			CTL_PROGRAM ": the document is not valid (%u errors)\n"
				    "%s",
			errors->count, errors->text->str);
}

enum ctl_exit ctl_check(struct ctl *ctl)
{
	struct schema_errors errors = schema_errors_new();
	json_t *value = read_document_file(ctl->args[0]);
	enum ctl_exit code = CTL_USAGE;
	struct document *doc;

	if (!value)
		goto out;
	doc = document_from_json(value, &errors);
	if (!doc) {
		print_errors(ctl, &errors);
		goto out;
	}
	code = CTL_DONE;
	if (ctl->json)
		ctl_print_json(json_pack("{s:b}", "valid", 1));
	else
		printf("valid: %u regions, %u services, %u backend servers\n",
		       doc->region_count, doc->service_count, doc->backend_count);
	document_free(doc);
out:
	json_decref(value);
	schema_errors_clear(&errors);
	return code;
}

/** @return the store's document, or NULL after printing an error. */
static json_t *read_stored_document(struct ctl *ctl)
{
	json_t *value;

	if (publish_read_document(&ctl->store, &value) != STORE_OK) {
		ctl_fail(CTL_FAILED, "the store does not answer");
		return NULL;
	}
	if (!value)
		ctl_fail(CTL_FAILED, "the store has no document; publish "
				     "one first");
	return value;
}

enum ctl_exit ctl_show(struct ctl *ctl)
{
	json_t *value = read_stored_document(ctl);

	if (!value)
		return CTL_FAILED;
	ctl_print_json(value);
	return CTL_DONE;
}

static void print_diff(const struct ctl *ctl, json_t *differences)
{
	char *text;

	if (ctl->json) {
		ctl_print_json(json_incref(differences));
		return;
	}
	text = diff_to_text(differences);
	printf("%s", *text ? text : "no differences\n");
	g_free(text);
}

enum ctl_exit ctl_diff(struct ctl *ctl)
{
	struct schema_errors errors = schema_errors_new();
	json_t *file = read_document_file(ctl->args[0]);
	struct document *doc = NULL;
	json_t *stored = NULL;
	json_t *full, *differences;
	enum ctl_exit code = CTL_USAGE;

	if (!file)
		goto out;
	doc = document_from_json(file, &errors);
	if (!doc) {
		print_errors(ctl, &errors);
		goto out;
	}
	code = CTL_FAILED;
	stored = read_stored_document(ctl);
	if (!stored)
		goto out;
	full = document_to_json(doc); /* with the defaults that the file omits */
	differences = diff_documents(stored, full);
	print_diff(ctl, differences);
	json_decref(differences);
	json_decref(full);
	code = CTL_DONE;
out:
	document_free(doc);
	json_decref(stored);
	json_decref(file);
	schema_errors_clear(&errors);
	return code;
}

/** @return the version active on the given entry VM; 0 if not known. */
static uint64_t read_fleet_version(struct ctl *ctl)
{
	json_t *status;
	uint64_t version;

	if (!ctl->entry)
		return 0;
	status = ctl_query_entry(ctl, "/v1/status", true);
	version =
		(uint64_t)json_integer_value(json_object_get(status, "version"));
	json_decref(status);
	return version;
}

static enum ctl_exit report_result(struct ctl *ctl, enum publish_result result,
				   const struct publication *publication,
				   const struct schema_errors *errors)
{
	char *text;

	switch (result) {
	case PUBLISH_DONE:
		if (ctl->json)
			ctl_print_json(
				json_pack("{s:I}", "version",
					  (json_int_t)publication->version));
		else
			printf("published version=%" PRIu64 "\n",
			       publication->version);
		return CTL_DONE;
	case PUBLISH_INVALID:
		print_errors(ctl, errors);
		return CTL_USAGE;
	case PUBLISH_CONFLICT:
		text = diff_to_text(publication->conflict);
		ctl_fail(CTL_FAILED,
			 "another version was published first; nothing was "
			 "written.\nChanged since version %" PRIu64 ":\n%s"
			 "Merge these into your document, set its version and "
			 "publish again.",
			 publication->base_version, text);
		g_free(text);
		return CTL_FAILED;
	case PUBLISH_UNREACHABLE:
		return ctl_fail(CTL_FAILED, "the store does not answer; "
					    "nothing was written");
	default:
		return ctl_fail(CTL_FAILED,
				"the store did not confirm the publication, "
				"which may have succeeded; see \"history\" "
				"before you publish again");
	}
}

/** Publishes a change to `base_version`. Takes ownership of `value`. */
static enum ctl_exit publish_value(struct ctl *ctl, json_t *value,
				   uint64_t base_version)
{
	struct schema_errors errors = schema_errors_new();
	struct publication publication = {
		.value = value,
		.base_version = base_version,
		.floor_version = read_fleet_version(ctl),
		.author = ctl->author,
		.comment = ctl->comment,
	};
	enum publish_result result =
		publish_document(&ctl->store, &publication, &errors);
	enum ctl_exit code = report_result(ctl, result, &publication, &errors);

	json_decref(publication.conflict);
	json_decref(publication.value);
	schema_errors_clear(&errors);
	return code;
}

enum ctl_exit ctl_publish(struct ctl *ctl)
{
	json_t *value = read_document_file(ctl->args[0]);
	json_t *stored = NULL;
	uint64_t base_version;

	if (!value)
		return CTL_USAGE;
	base_version =
		(uint64_t)json_integer_value(json_object_get(value, "version"));
	/* the first publication has no base version */
	if (publish_read_document(&ctl->store, &stored) == STORE_OK && !stored)
		base_version = 0;
	json_decref(stored);
	return publish_value(ctl, value, base_version);
}

static enum ctl_exit publish_edit(struct ctl *ctl, json_t *value,
				  const char *problem)
{
	uint64_t base_version =
		(uint64_t)json_integer_value(json_object_get(value, "version"));

	if (!problem)
		return publish_value(ctl, value, base_version);
	json_decref(value);
	return ctl_fail(CTL_FAILED, "%s", problem);
}

enum ctl_exit ctl_drain(struct ctl *ctl)
{
	json_t *value = read_stored_document(ctl);
	const char *name = ctl->args[0];
	const char *problem;

	if (!value)
		return CTL_FAILED;
	problem = edit_set_backend_leaving(value, name, !ctl->undo);
	if (problem)
		problem = edit_set_entry_leaving(value, name, !ctl->undo);
	return publish_edit(ctl, value, problem);
}

/** Parses "REGION=N" arguments. @return a new object, or NULL on error. */
static json_t *read_shares(const struct ctl *ctl)
{
	json_t *shares = json_object();
	char region[65];
	const char *equals;
	char *end;
	long share;
	int i;

	for (i = 2; i < ctl->arg_count; i++) {
		equals = strchr(ctl->args[i], '=');
		share = equals ? strtol(equals + 1, &end, 10) : -1;
		if (share < 0 || *end || end == equals + 1 ||
		    (size_t)(equals - ctl->args[i]) >= sizeof(region)) {
			ctl_fail(CTL_USAGE, "\"%s\" is not REGION=N",
				 ctl->args[i]);
			json_decref(shares);
			return NULL;
		}
		snprintf(region, sizeof(region), "%.*s",
			 (int)(equals - ctl->args[i]), ctl->args[i]);
		json_object_set_new(shares, region, json_integer(share));
	}
	return shares;
}

enum ctl_exit ctl_shift(struct ctl *ctl)
{
	json_t *shares = read_shares(ctl);
	const char *problem;
	json_t *value;

	if (!shares)
		return CTL_USAGE;
	value = read_stored_document(ctl);
	if (!value) {
		json_decref(shares);
		return CTL_FAILED;
	}
	problem = edit_set_shares(value, ctl->args[0], ctl->args[1], shares);
	json_decref(shares);
	return publish_edit(ctl, value, problem);
}

enum ctl_exit ctl_history(struct ctl *ctl)
{
	json_t *history = publish_read_history(&ctl->store);
	json_t *record;
	size_t i;

	if (!history)
		return ctl_fail(CTL_FAILED, "the store does not answer");
	if (ctl->json) {
		ctl_print_json(history);
		return CTL_DONE;
	}
	json_array_foreach (history, i, record) {
		time_t at = (time_t)(json_integer_value(
					     json_object_get(record, "unix_ms")) /
				     1000);
		char time_text[32];

		strftime(time_text, sizeof(time_text), "%Y-%m-%dT%H:%M:%SZ",
			 gmtime(&at));
		printf("version=%" JSON_INTEGER_FORMAT
		       " at=%s author=\"%s\" changes=%" JSON_INTEGER_FORMAT
		       " comment=\"%s\"\n",
		       json_integer_value(json_object_get(record, "version")),
		       time_text,
		       json_string_value(json_object_get(record, "author")),
		       json_integer_value(json_object_get(record, "change_count")),
		       json_string_value(json_object_get(record, "comment")));
	}
	json_decref(history);
	return CTL_DONE;
}

enum ctl_exit ctl_schema(struct ctl *ctl)
{
	json_t *schema = schema_to_json_schema(&document_schema);

	(void)ctl;
	json_object_set_new(
		schema, "$schema",
		json_string("https://json-schema.org/draft/2020-12/schema"));
	json_object_set_new(schema, "title", json_string("auburnreach document"));
	ctl_print_json(schema);
	return CTL_DONE;
}
