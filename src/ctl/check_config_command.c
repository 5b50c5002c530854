#include <glib.h>
#include <stdio.h>

#include "ctl/ctl_defs.h"
#include "platform/check/config_check.h"

/**
 * @file
 * The command that checks a configuration of the platform before it is sent.
 */

/* Reads a file. @return false after an error message. */
static bool read_file(const char *file_name, char **text, gsize *bytes)
{
	GError *error = NULL;

	if (g_file_get_contents(file_name, text, bytes, &error))
		return true;
	ctl_fail(CTL_USAGE, "%s", error->message);
	g_error_free(error);
	return false;
}

/* The parser's own message is not shown: it quotes the text, which may be a key. */
static const char *describe(const json_error_t *error)
{
	return json_error_code(error) == json_error_duplicate_key
		       ? "a name stands twice in an object"
		       : "not JSON";
}

/* @return a new value, or NULL; `error` then says where. */
static json_t *parse_file(const char *file_name, json_error_t *error,
			  bool *readable)
{
	json_t *value = NULL;
	gsize bytes;
	char *text;

	*readable = read_file(file_name, &text, &bytes);
	if (!*readable)
		return NULL;
	value = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, error);
	g_free(text);
	return value;
}

static void print_lines(const struct findings *findings)
{
	guint i;

	for (i = 0; i < findings->items->len; i++) {
		const struct finding *finding =
			g_ptr_array_index(findings->items, i);

		printf("%s %s: %s\n", finding_severity_name(finding->severity),
		       *finding->path ? finding->path : "-", finding->text);
	}
	printf("errors=%u warnings=%u changes=%u\n",
	       findings->counts[FINDING_ERROR], findings->counts[FINDING_WARNING],
	       findings->counts[FINDING_CHANGE]);
}

static void print_json(const struct findings *findings)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < findings->items->len; i++) {
		const struct finding *finding =
			g_ptr_array_index(findings->items, i);

		json_array_append_new(list, json_pack("{s:s,s:s,s:s}", "severity",
						      finding_severity_name(
							      finding->severity),
						      "path", finding->path,
						      "text", finding->text));
	}
	ctl_print_json(list);
}

/* Entry VMs reject what is not JSON, so that this is an error of the document. */
static struct findings *check(json_t *document, const json_error_t *error,
			      json_t *in_force)
{
	struct findings *findings;

	if (document)
		return config_check(document, in_force);
	findings = findings_new();
	findings_add(findings, FINDING_ERROR, "", "line %d, column %d: %s",
		     error->line, error->column, describe(error));
	return findings;
}

enum ctl_exit ctl_check_config(struct ctl *ctl)
{
	enum ctl_exit code = CTL_USAGE;
	struct findings *findings;
	json_t *in_force = NULL;
	json_t *document;
	json_error_t error;
	bool readable;

	if (ctl->arg_count != 1)
		return ctl_fail(CTL_USAGE, "check-config needs one FILE");
	if (ctl->in_force) {
		in_force = parse_file(ctl->in_force, &error, &readable);
		if (readable && !in_force)
			ctl_fail(CTL_USAGE, "%s:%d:%d: %s", ctl->in_force,
				 error.line, error.column, describe(&error));
		if (!in_force)
			return CTL_USAGE;
	}
	document = parse_file(ctl->args[0], &error, &readable);
	if (!readable)
		goto out;
	findings = check(document, &error, in_force);
	if (ctl->json)
		print_json(findings);
	else
		print_lines(findings);
	code = findings->counts[FINDING_ERROR] ? CTL_FAILED : CTL_DONE;
	findings_free(findings);
out:
	json_decref(document);
	json_decref(in_force);
	return code;
}
