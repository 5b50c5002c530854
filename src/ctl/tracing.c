#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "ctl/ctl_defs.h"

/**
 * @file
 * The command that tells the story of one request from the logs of many entry
 * VMs: its own lines, and what they believed of its servers around that time.
 */

/* What changed a belief of the servers in this time before the request's end
 * may have decided it. */
#define AROUND_MS 5000
#define LINE_BYTES 4096

struct log_entry {
	int64_t at_ms;
	char *file_name;
	char *text;
};

static void entry_free(gpointer data)
{
	struct log_entry *entry = data;

	g_free(entry->file_name);
	g_free(entry->text);
	g_free(entry);
}

/* @return the line's time in ms, or -1: it is no line of the log. */
static int64_t time_of(const char *line)
{
	char *end;
	double seconds = g_ascii_strtod(line, &end);

	return end != line && *end == ' ' && seconds > 0
		       ? (int64_t)(seconds * (double)MS_PER_S)
		       : -1;
}

/* @return the value of " key=" in a line, or NULL; freed by the caller. */
static char *value_of(const char *line, const char *key)
{
	char *pattern = g_strdup_printf(" %s=", key);
	const char *at = strstr(line, pattern);
	char *value = NULL;

	if (at) {
		at += strlen(pattern);
		value = g_strndup(at, strcspn(at, " \n"));
	}
	g_free(pattern);
	return value;
}

static bool has_value(const char *line, const char *key, const char *value)
{
	char *found = value_of(line, key);
	bool same = found && !strcmp(found, value);

	g_free(found);
	return same;
}

static void keep(GPtrArray *entries, const char *file_name, const char *line)
{
	struct log_entry *entry = g_new0(struct log_entry, 1);

	entry->at_ms = time_of(line);
	entry->file_name = g_path_get_basename(file_name);
	entry->text = g_strdup(line);
	g_ptr_array_add(entries, entry);
}

/* Calls `take` with each line of a file; "-" is standard input. */
static bool each_line(const char *file_name,
		      void (*take)(void *context, const char *file_name,
				   const char *line),
		      void *context)
{
	bool is_input = !strcmp(file_name, "-");
	FILE *file = is_input ? stdin : fopen(file_name, "r");
	char line[LINE_BYTES];

	if (!file) {
		ctl_fail(CTL_FAILED, "%s: %s", file_name, strerror(errno));
		return false;
	}
	while (fgets(line, sizeof(line), file))
		if (time_of(line) >= 0)
			take(context, file_name, line);
	if (!is_input)
		fclose(file);
	return true;
}

struct trace {
	const char *request;
	GPtrArray *entries;
	GHashTable *servers; /* that the request was sent to */
	int64_t first_ms;
	int64_t last_ms;
};

static void take_request(void *context, const char *file_name, const char *line)
{
	struct trace *trace = context;
	int64_t at_ms = time_of(line);
	char *server;

	if (!has_value(line, "request", trace->request))
		return;
	keep(trace->entries, file_name, line);
	trace->first_ms = trace->first_ms ? MIN(trace->first_ms, at_ms) : at_ms;
	trace->last_ms = MAX(trace->last_ms, at_ms);
	server = value_of(line, "server");
	if (server && strcmp(server, "-"))
		g_hash_table_add(trace->servers, server);
	else
		g_free(server);
}

static void take_server(void *context, const char *file_name, const char *line)
{
	struct trace *trace = context;
	int64_t at_ms = time_of(line);
	char *server = value_of(line, "server");
	char *request = value_of(line, "request");

	if (server && !request && g_hash_table_contains(trace->servers, server) &&
	    at_ms >= trace->first_ms - AROUND_MS &&
	    at_ms <= trace->last_ms + AROUND_MS)
		keep(trace->entries, file_name, line);
	g_free(server);
	g_free(request);
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct log_entry *left = *(struct log_entry *const *)a;
	const struct log_entry *right = *(struct log_entry *const *)b;

	return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

static bool read_files(const struct ctl *ctl, struct trace *trace)
{
	int i;

	for (i = 1; i < ctl->arg_count; i++)
		if (!each_line(ctl->args[i], take_request, trace))
			return false;
	/* standard input cannot be read twice: it tells of the request only */
	for (i = 1; i < ctl->arg_count; i++)
		if (strcmp(ctl->args[i], "-") &&
		    !each_line(ctl->args[i], take_server, trace))
			return false;
	return true;
}

enum ctl_exit ctl_trace(struct ctl *ctl)
{
	struct trace trace = { .request = ctl->args[0] };
	enum ctl_exit code = CTL_FAILED;
	guint i;

	trace.entries = g_ptr_array_new_with_free_func(entry_free);
	trace.servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!read_files(ctl, &trace))
		goto out;
	if (!trace.entries->len) {
		ctl_fail(CTL_FAILED, "no line of request \"%s\"", trace.request);
		goto out;
	}
	g_ptr_array_sort(trace.entries, compare_entries);
	for (i = 0; i < trace.entries->len; i++) {
		const struct log_entry *entry =
			g_ptr_array_index(trace.entries, i);

		printf("%+6" PRId64 " ms  %s  %s", entry->at_ms - trace.first_ms,
		       entry->file_name, strchr(entry->text, ' ') + 1);
	}
	code = CTL_DONE;
out:
	g_hash_table_destroy(trace.servers);
	g_ptr_array_unref(trace.entries);
	return code;
}
