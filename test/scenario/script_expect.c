#include "scenario/script_internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * @file
 * Expectations of the scenario language, and look-up of the names in a line.
 */

void script_fail(const struct line *line, const char *what)
{
	g_error("%s:%d: %s", line->file_name, line->number, what);
}

struct sim_entry *script_entry_arg(struct line *line, int arg_index)
{
	return sim_find_entry(line->sim, line->args[arg_index]);
}

struct sim_server *script_server_arg(struct line *line, int arg_index)
{
	return sim_find_server(line->sim, line->args[arg_index]);
}

struct sim_order *script_order_arg(struct line *line, int arg_index)
{
	return sim_get_order(line->sim, line->args[arg_index]);
}

void script_expect_runs(struct line *line)
{
	if (script_order_arg(line, 0)->run_count != (uint32_t)atoi(line->args[1]))
		g_error("%s:%d: order %s ran %u times", line->file_name,
			line->number, line->args[0],
			script_order_arg(line, 0)->run_count);
}

void script_expect_runs_at_most_once(struct line *line)
{
	if (script_order_arg(line, 0)->run_count > 1)
		script_fail(line, "the order ran more than once");
}

static const struct sim_attempt *last_attempt(struct line *line)
{
	GArray *attempts = script_order_arg(line, 0)->attempts;

	if (!attempts->len)
		script_fail(line, "the order has no attempt yet");
	return &g_array_index(attempts, struct sim_attempt, attempts->len - 1);
}

void script_expect_verdict(struct line *line)
{
	const char *actual = verdict_text(last_attempt(line)->verdict);

	if (strcmp(actual, line->args[1]) != 0)
		g_error("%s:%d: order %s was reported as %s", line->file_name,
			line->number, line->args[0], actual);
}

void script_expect_status(struct line *line)
{
	uint32_t status = last_attempt(line)->status;

	if (status != (uint32_t)atoi(line->args[1]))
		g_error("%s:%d: order %s got status %u", line->file_name,
			line->number, line->args[0], status);
}

void script_expect_server_runs(struct line *line)
{
	if (script_server_arg(line, 0)->requests_run !=
	    (uint32_t)atoi(line->args[1]))
		g_error("%s:%d: server %s ran %u requests", line->file_name,
			line->number, line->args[0],
			script_server_arg(line, 0)->requests_run);
}

void script_expect_read_verdict(struct line *line)
{
	if (strcmp(verdict_text(line->sim->read_verdict), line->args[0]) != 0)
		script_fail(line,
			    "the request was reported with another verdict");
}

void script_expect_read_attempts(struct line *line)
{
	if (line->sim->read_attempts != (uint32_t)atoi(line->args[0]))
		g_error("%s:%d: the read took %u attempts", line->file_name,
			line->number, line->sim->read_attempts);
}
