#ifndef TEST_SCENARIO_SCRIPT_INTERNAL_H
#define TEST_SCENARIO_SCRIPT_INTERNAL_H

#include "scenario/sim.h"

/**
 * @file
 * State and helpers shared by the commands of the scenario language.
 */

#define WORDS_MAX 16

/** One line of a scenario; `args` are the words that match "*". */
struct line {
	struct sim *sim;
	const char *file_name;
	int number;
	char *words[WORDS_MAX];
	int word_count;
	const char *args[WORDS_MAX];
};

/** Fails the test, naming file and line. */
void script_fail(const struct line *line, const char *what);

/** @return the object that the argument names. */
struct sim_entry *script_entry_arg(struct line *line, int arg_index);
struct sim_server *script_server_arg(struct line *line, int arg_index);
struct sim_order *script_order_arg(struct line *line, int arg_index);

void script_expect_runs(struct line *line);
void script_expect_runs_at_most_once(struct line *line);
void script_expect_verdict(struct line *line);
void script_expect_status(struct line *line);
void script_expect_server_runs(struct line *line);
void script_expect_read_verdict(struct line *line);
void script_expect_read_attempts(struct line *line);

#endif
