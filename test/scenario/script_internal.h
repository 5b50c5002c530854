#ifndef TEST_SCENARIO_SCRIPT_INTERNAL_H
#define TEST_SCENARIO_SCRIPT_INTERNAL_H

#include "scenario/world.h"

/**
 * @file
 * What the commands of the scenarios' language share.
 */

#define WORDS_MAX 16

/** One line of a scenario, and the words that the pattern's stars matched. */
struct line {
	struct world *world;
	const char *file_name;
	int number;
	char *words[WORDS_MAX];
	int word_count;
	const char *stars[WORDS_MAX];
};

/** Fails the test at this line. */
void script_fail(const struct line *line, const char *what);

/** What the word matched by a star names. */
struct world_entry *script_entry(struct line *line, int star);
struct world_server *script_server(struct line *line, int star);
struct world_order *script_order(struct line *line, int star);

void script_expect_runs(struct line *line);
void script_expect_at_most_once(struct line *line);
void script_expect_told(struct line *line);
void script_expect_status(struct line *line);
void script_expect_server_ran(struct line *line);
void script_expect_read_told(struct line *line);
void script_expect_read_attempts(struct line *line);

#endif
