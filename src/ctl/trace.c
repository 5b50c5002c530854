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
 * The trace command: collects a request's lines from the logs of many entry
 * VMs, with the lines about its servers around that time.
 */

/*
 * Lines about the request's servers are collected from this long before its
 * first line until this long after its last: a change in the known state of a
 * server may explain how the request was routed.
 */
#define SERVER_LINES_MARGIN_MS 5000
#define LINE_BYTES 4096

struct log_entry {
	int64_t at_ms;
	char *file_name;
	char *text;
};

static void log_entry_free(gpointer data)
{
	struct log_entry *entry = data;

	g_free(entry->file_name);
	g_free(entry->text);
	g_free(entry);
}

/** @return the line's time in ms, or -1 if it is not a log line. */
static int64_t parse_time_ms(const char *line)
{
	char *end;
	double seconds = g_ascii_strtod(line, &end);

	return end != line && *end == ' ' && seconds > 0
		       ? (int64_t)(seconds * (double)MS_PER_S)
		       : -1;
}

/** @return the value of " key=" in a line, freed by the caller, or NULL. */
static char *find_value(const char *line, const char *key)
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
	char *found = find_value(line, key);
	bool same = found && !strcmp(found, value);

	g_free(found);
	return same;
}

static void add_entry(GPtrArray *entries, const char *file_name, const char *line)
{
	struct log_entry *entry = g_new0(struct log_entry, 1);

	entry->at_ms = parse_time_ms(line);
	entry->file_name = g_path_get_basename(file_name);
	entry->text = g_strdup(line);
	g_ptr_array_add(entries, entry);
}

/** Calls `handle_line` with each log line of a file; "-" is standard input. */
static bool for_each_line(const char *file_name,
			  void (*handle_line)(void *context, const char *file_name,
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
		if (parse_time_ms(line) >= 0)
			handle_line(context, file_name, line);
	if (!is_input)
		fclose(file);
	return true;
}

struct trace {
	const char *request;
	GPtrArray *entries;
	GHashTable *servers; /* ids of servers that the request was sent to */
	int64_t first_ms;
	int64_t last_ms;
};

static void collect_request_line(void *context, const char *file_name,
				 const char *line)
{
	struct trace *trace = context;
	int64_t at_ms = parse_time_ms(line);
	char *server;

	if (!has_value(line, "request", trace->request))
		return;
	add_entry(trace->entries, file_name, line);
	trace->first_ms = trace->first_ms ? MIN(trace->first_ms, at_ms) : at_ms;
	trace->last_ms = MAX(trace->last_ms, at_ms);
	server = find_value(line, "server");
	if (server && strcmp(server, "-"))
		g_hash_table_add(trace->servers, server);
	else
		g_free(server);
}

static void collect_server_line(void *context, const char *file_name,
				const char *line)
{
	struct trace *trace = context;
	int64_t at_ms = parse_time_ms(line);
	char *server = find_value(line, "server");
	char *request = find_value(line, "request");

	if (server && !request && g_hash_table_contains(trace->servers, server) &&
	    at_ms >= trace->first_ms - SERVER_LINES_MARGIN_MS &&
	    at_ms <= trace->last_ms + SERVER_LINES_MARGIN_MS)
		add_entry(trace->entries, file_name, line);
	g_free(server);
	g_free(request);
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct log_entry *left = *(struct log_entry *const *)a;
	const struct log_entry *right = *(struct log_entry *const *)b;

	return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

static bool collect_lines(const struct ctl *ctl, struct trace *trace)
{
	int i;

	for (i = 1; i < ctl->arg_count; i++)
		if (!for_each_line(ctl->args[i], collect_request_line, trace))
			return false;
	/* standard input cannot be read twice: only request lines come from it */
	for (i = 1; i < ctl->arg_count; i++)
		if (strcmp(ctl->args[i], "-") &&
		    !for_each_line(ctl->args[i], collect_server_line, trace))
			return false;
	return true;
}

enum ctl_exit ctl_trace(struct ctl *ctl)
{
	struct trace trace = { .request = ctl->args[0] };
	enum ctl_exit code = CTL_FAILED;
	guint i;

	trace.entries = g_ptr_array_new_with_free_func(log_entry_free);
	trace.servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!collect_lines(ctl, &trace))
		goto out;
	if (!trace.entries->len) {
		ctl_fail(CTL_FAILED, "no log line has request \"%s\"",
			 trace.request);
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
