#include "console/change.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "console/auth.h"
#include "console/html.h"
#include "document/diff.h"
#include "document/document.h"
#include "document/edit.h"
#include "store/publish.h"

#define SHARE_PREFIX "share:"
#define NUMBER_PREFIX "number:"

/** Parses a non-negative integer. @return -1 for anything else. */
static json_int_t parse_number(const char *text)
{
	char *end;
	gint64 value = g_ascii_strtoll(text, &end, 10);

	return *text && !*end && value >= 0 ? value : -1;
}

static const char *apply_shares(json_t *doc, const struct form *form)
{
	json_t *shares = json_object();
	const char *problem;
	int i;

	for (i = 0; i < form->field_count; i++) {
		const struct mg_header *field = &form->fields[i];

		if (!g_str_has_prefix(field->name, SHARE_PREFIX) ||
		    !*field->value || !strcmp(field->value, "0"))
			continue;
		json_object_set_new(shares, field->name + strlen(SHARE_PREFIX),
				    json_integer(parse_number(field->value)));
	}
	problem = edit_set_shares(doc, form_get(form, "service"),
				  form_get(form, "from"), shares);
	if (!problem && *form_get(form, "cap"))
		problem = edit_set_move_cap(
			doc, form_get(form, "service"), form_get(form, "from"),
			(uint32_t)parse_number(form_get(form, "cap")),
			(uint32_t)parse_number(form_get(form, "window_ms")));
	json_decref(shares);
	return problem;
}

static const char *apply_service(json_t *doc, const struct form *form)
{
	const char *problem = NULL;
	int i;

	for (i = 0; i < form->field_count && !problem; i++) {
		const struct mg_header *field = &form->fields[i];

		if (g_str_has_prefix(field->name, NUMBER_PREFIX))
			problem = edit_set_service_number(
				doc, form_get(form, "name"),
				field->name + strlen(NUMBER_PREFIX),
				parse_number(field->value));
	}
	return problem;
}

const char *change_apply(json_t *doc, const struct form *form)
{
	const char *change = form_get(form, "change");
	bool leaving = !strcmp(form_get(form, "leaving"), "yes");

	if (!strcmp(change, "backend"))
		return edit_set_backend_leaving(doc, form_get(form, "name"),
						leaving);
	if (!strcmp(change, "entry"))
		return edit_set_entry_leaving(doc, form_get(form, "name"),
					      leaving);
	if (!strcmp(change, "shares"))
		return apply_shares(doc, form);
	if (!strcmp(change, "link"))
		return edit_set_link_capacity(
			doc, form_get(form, "from"), form_get(form, "to"),
			(uint32_t)parse_number(form_get(form, "mbit_per_s")));
	if (!strcmp(change, "service"))
		return apply_service(doc, form);
	return "unknown kind of change";
}

json_t *change_read_document(struct console *console,
			     struct mg_connection *connection,
			     const char *operator_name)
{
	enum store_result result;
	json_t *doc = NULL;
	GString *page;

	result = publish_read_document(&console->store, &doc);
	if (doc)
		return doc;
	page = html_page_begin("No document", operator_name);
	html_append_raw(page, "<p class=\"bad\">");
	html_append_text(page, "%s",
			 result == STORE_OK
				 ? "The store has no document yet. Publish the first "
				   "one with auburnreachctl publish."
				 : "The store does not answer. The published document "
				   "stays in force; try again later.");
	html_append_raw(page, "</p>");
	html_page_send(connection, 503, page);
	return NULL;
}

static uint64_t get_version(json_t *doc)
{
	return (uint64_t)json_integer_value(json_object_get(doc, "version"));
}

/** Copies the fields that describe the change into the next form. */
static void copy_form_fields(GString *page, const struct form *form)
{
	int i;

	for (i = 0; i < form->field_count; i++)
		if (strcmp(form->fields[i].name, "token") != 0 &&
		    strcmp(form->fields[i].name, "base_version") != 0 &&
		    strcmp(form->fields[i].name, "comment") != 0)
			html_append_hidden_input(page, form->fields[i].name,
						 form->fields[i].value);
}

static void append_publish_form(struct console *console, GString *page,
				const char *operator_name,
				const struct form *form, uint64_t base_version)
{
	char *token = auth_form_token(console, operator_name);
	char base[24];

	g_snprintf(base, sizeof(base), "%" PRIu64, base_version);
	html_form_begin(page, "/publish", token);
	copy_form_fields(page, form);
	html_append_hidden_input(page, "base_version", base);
	html_append_input(page, "Reason", "comment", "text",
			  form_get(form, "comment"));
	html_form_end(page, "Publish");
	g_free(token);
}

static bool append_errors(GString *page, json_t *doc, const char *problem)
{
	struct schema_errors errors = schema_errors_new();
	struct document *checked = NULL;
	bool is_valid;

	if (problem)
		schema_add_error(&errors, "change", "%s", problem);
	else
		checked = document_from_json(doc, &errors);
	is_valid = checked;
	if (!is_valid) {
		html_append_raw(page, "<p class=\"bad\">");
		html_append_text(page, "This change cannot be published:\n%s",
				 errors.text->str);
		html_append_raw(page, "</p>");
	}
	document_free(checked);
	schema_errors_clear(&errors);
	return is_valid;
}

void change_review(struct console *console, struct mg_connection *connection,
		   const char *operator_name, const struct form *form)
{
	json_t *stored = change_read_document(console, connection, operator_name);
	json_t *proposed, *differences;
	const char *problem;
	GString *page;

	if (!stored)
		return;
	proposed = json_deep_copy(stored);
	problem = change_apply(proposed, form);
	differences = diff_documents(stored, proposed);
	page = html_page_begin("Review", operator_name);
	html_append_differences(page, differences, operator_name);
	if (!append_errors(page, proposed, problem))
		html_append_raw(page, "<p>Go back and correct the form.</p>");
	else if (!json_array_size(differences))
		html_append_raw(page, "<p>This change makes no difference.</p>");
	else
		append_publish_form(console, page, operator_name, form,
				    get_version(stored));
	html_page_send(connection, 200, page);
	json_decref(differences);
	json_decref(proposed);
	json_decref(stored);
}

/** Sends a page of concurrent changes by other operators to these fields. */
static void send_conflicts(struct console *console,
			   struct mg_connection *connection,
			   const char *operator_name, const struct form *form,
			   json_t *conflicts, uint64_t version)
{
	GString *page = html_page_begin("Conflicting changes", operator_name);

	html_append_raw(page, "<p class=\"bad\">Another operator changed these "
			      "fields since you opened the form. Your change was "
			      "not published.</p>");
	html_append_differences(page, conflicts, "");
	html_append_raw(page, "<p>To put your change on top of theirs, publish "
			      "again.</p>");
	append_publish_form(console, page, operator_name, form, version);
	html_page_send(connection, 409, page);
}

static void send_outcome(struct mg_connection *connection,
			 const char *operator_name, enum publish_result result,
			 const struct publication *publication,
			 const struct schema_errors *errors)
{
	static const char *const texts[] = {
		[PUBLISH_INVALID] = "The document is not valid; nothing was "
				    "published.",
		[PUBLISH_CONFLICT] = "Another version was published first, so "
				     "yours was not published. Go back and "
				     "review your change again.",
		[PUBLISH_UNREACHABLE] = "The store does not answer; nothing "
					"was published.",
		[PUBLISH_UNKNOWN] = "The store did not confirm the publication; "
				    "it may have succeeded. Look at the history "
				    "before you publish again.",
	};
	GString *page = html_page_begin(result == PUBLISH_DONE ? "Published"
							       : "Not published",
					operator_name);

	if (result == PUBLISH_DONE) {
		html_append_raw(page, "<p class=\"good\">");
		html_append_text(page, "Version %" PRIu64 " is published. ",
				 publication->version);
		html_append_raw(page, "<a href=\"/\">Show where it is in force."
				      "</a></p>");
	} else {
		html_append_raw(page, "<p class=\"bad\">");
		html_append_text(page, "%s\n%s", texts[result],
				 errors->text->str);
		html_append_raw(page, "</p>");
	}
	html_page_send(connection, result == PUBLISH_DONE ? 200 : 409, page);
}

static void publish_change(struct console *console,
			   struct mg_connection *connection,
			   const char *operator_name, const struct form *form,
			   json_t *stored)
{
	struct schema_errors errors = schema_errors_new();
	struct publication publication = {
		.value = json_deep_copy(stored),
		.base_version = get_version(stored),
		.author = operator_name,
		.comment = form_get(form, "comment"),
	};
	enum publish_result result = PUBLISH_INVALID;
	const char *problem = change_apply(publication.value, form);

	if (problem)
		schema_add_error(&errors, "change", "%s", problem);
	else
		result = publish_document(&console->store, &publication, &errors);
	if (result == PUBLISH_DONE)
		log_info("console", "published version=%" PRIu64 " operator=%s",
			 publication.version, operator_name);
	send_outcome(connection, operator_name, result, &publication, &errors);
	json_decref(publication.conflict);
	json_decref(publication.value);
	schema_errors_clear(&errors);
}

void change_publish(struct console *console, struct mg_connection *connection,
		    const char *operator_name, const struct form *form)
{
	json_t *stored = change_read_document(console, connection, operator_name);
	json_t *proposed, *mine, *theirs, *conflicts;

	if (!stored)
		return;
	proposed = json_deep_copy(stored);
	change_apply(proposed, form);
	mine = diff_documents(stored, proposed);
	theirs = publish_read_changes_since(
		&console->store,
		g_ascii_strtoull(form_get(form, "base_version"), NULL, 10));
	conflicts = diff_conflicts(mine, theirs);
	if (json_array_size(conflicts))
		send_conflicts(console, connection, operator_name, form,
			       conflicts, get_version(stored));
	else
		publish_change(console, connection, operator_name, form, stored);
	json_decref(conflicts);
	json_decref(theirs);
	json_decref(mine);
	json_decref(proposed);
	json_decref(stored);
}
