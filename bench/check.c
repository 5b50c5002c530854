#include <argtable2.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "bench_defs.h"
#include "history.h"

/**
 * @file
 * Checks a history written by the load command against servers' journals.
 */

#define JOURNALS_MAX 256

typedef void (*add_line_fn)(struct history *history, const char *line);

static bool read_lines(struct history *history, const char *file_name,
		       add_line_fn add_line)
{
	FILE *file = fopen(file_name, "r");
	char *line = NULL;
	size_t size = 0;
	ssize_t bytes;

	if (!file) {
		fprintf(stderr, BENCH_PROGRAM " check: cannot read %s\n",
			file_name);
		return false;
	}
	while ((bytes = getline(&line, &size, file)) > 0) {
		if (line[bytes - 1] == '\n')
			line[bytes - 1] = '\0';
		add_line(history, line);
	}
	free(line);
	fclose(file);
	return true;
}

static void print_history(const struct history *history)
{
	printf("operations=%" PRIu64 " failed=%" PRIu64
	       " wrong_answers=%" PRIu64 " lost_with_home=%" PRIu64 "\n",
	       history->operations, history->failed, history->wrong_responses,
	       history->lost_with_home);
	printf("orders=%" PRIu64 " once=%" PRIu64 " twice=%" PRIu64
	       " never=%" PRIu64 " ran_but_told_may_have_run=%" PRIu64 "\n",
	       history->orders, history->ran_once, history->ran_twice,
	       history->never_ran, history->ran_unconfirmed);
	printf("told_ran_but_never=%" PRIu64 " told_not_run_but_ran=%" PRIu64
	       " stray_runs=%" PRIu64 " malformed_lines=%" PRIu64 "\n",
	       history->told_ran_but_never, history->told_not_run_but_ran,
	       history->stray_runs, history->malformed_lines);
	printf("broken_promises=%" PRIu64 "\n",
	       history_count_violations(history));
}

int bench_check(int argc, char **argv)
{
	struct arg_file *callers_file =
		arg_file1("o", "history", "FILE",
			  "operations of the callers, from load -o");
	struct arg_file *journals =
		arg_filen(NULL, NULL, "JOURNAL", 1, JOURNALS_MAX,
			  "journals of what the servers ran");
	struct arg_str *killed = arg_str0(NULL, "killed", "NAME",
					  "entry VM that was killed, if any");
	struct arg_int *killed_ms =
		arg_int0(NULL, "killed-ms", "MS",
			 "time of the kill, after the load began");
	struct arg_end *end = arg_end(8);
	void *table[] = { callers_file, killed, killed_ms, journals, end };
	struct history history;
	int code = 2;
	int i;

	history_init(&history);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, BENCH_PROGRAM " check");
		goto out;
	}
	history.killed_home = killed->count ? killed->sval[0] : NULL;
	history.killed_ms = killed_ms->count ? killed_ms->ival[0] : 0;
	for (i = 0; i < journals->count; i++)
		if (!read_lines(&history, journals->filename[i], history_add_run))
			goto out;
	if (!read_lines(&history, callers_file->filename[0],
			history_add_operation))
		goto out;
	history_finish(&history);
	print_history(&history);
	code = history_count_violations(&history) ? 1 : 0;
out:
	history_clear(&history);
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
