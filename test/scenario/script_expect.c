#include "scenario/script_internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * @file
 * What a scenario expects, and the names in its lines.
 */

void script_fail(const struct line *line, const char *what)
{
	g_error("%s:%d: %s", line->file_name, line->number, what);
}

struct world_entry *script_entry(struct line *line, int star)
{
	return world_entry(line->world, line->stars[star]);
}

struct world_server *script_server(struct line *line, int star)
{
	return world_server(line->world, line->stars[star]);
}

struct world_order *script_order(struct line *line, int star)
{
	return world_order(line->world, line->stars[star]);
}

void script_expect_runs(struct line *line)
{
	if (script_order(line, 0)->runs != (uint32_t)atoi(line->stars[1]))
		g_error("%s:%d: order %s ran %u times", line->file_name,
			line->number, line->stars[0],
			script_order(line, 0)->runs);
}

void script_expect_at_most_once(struct line *line)
{
	if (script_order(line, 0)->runs > 1)
		script_fail(line, "the order ran more than once");
}

static const struct world_attempt *last_attempt(struct line *line)
{
	GArray *attempts = script_order(line, 0)->attempts;

	if (!attempts->len)
		script_fail(line, "the order was not attempted");
	return &g_array_index(attempts, struct world_attempt, attempts->len - 1);
}

void script_expect_told(struct line *line)
{
	const char *told = verdict_text(last_attempt(line)->verdict);

	if (strcmp(told, line->stars[1]) != 0)
		g_error("%s:%d: order %s was told %s", line->file_name,
			line->number, line->stars[0], told);
}

void script_expect_status(struct line *line)
{
	uint32_t status = last_attempt(line)->status;

	if (status != (uint32_t)atoi(line->stars[1]))
		g_error("%s:%d: order %s got status %u", line->file_name,
			line->number, line->stars[0], status);
}

void script_expect_server_ran(struct line *line)
{
	if (script_server(line, 0)->ran != (uint32_t)atoi(line->stars[1]))
		g_error("%s:%d: server %s ran %u requests", line->file_name,
			line->number, line->stars[0],
			script_server(line, 0)->ran);
}

void script_expect_read_told(struct line *line)
{
	if (strcmp(verdict_text(line->world->read_verdict), line->stars[0]) != 0)
		script_fail(line, "the request was told otherwise");
}

void script_expect_read_attempts(struct line *line)
{
	if (line->world->read_attempts != (uint32_t)atoi(line->stars[0]))
		g_error("%s:%d: %u attempts", line->file_name, line->number,
			line->world->read_attempts);
}
