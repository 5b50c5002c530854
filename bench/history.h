#ifndef BENCH_HISTORY_H
#define BENCH_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * @file
 * Checks the verdicts reported to callers against the runs that backend servers
 * journaled.
 */

struct history {
	const char *killed_home; /**< entry VM that was killed, or NULL */
	int64_t killed_ms;	 /**< time since the load began */
	GHashTable *runs_by_key; /**< idempotency key -> run count */
	GHashTable *used_keys;	 /**< idempotency keys that callers sent */
	uint64_t run_lines;
	uint64_t operations;
	uint64_t orders;
	uint64_t ran_once;
	uint64_t ran_twice;	     /**< ran more than once: a violation */
	uint64_t never_ran;	     /**< did not run, RAN was not reported */
	uint64_t ran_unconfirmed;    /**< ran; MAY_HAVE_RUN reported, not RAN */
	uint64_t told_ran_but_never; /**< a violation */
	uint64_t told_not_run_but_ran; /**< told NOT_RUN only: a violation */
	uint64_t wrong_responses;      /**< another caller's, or incomplete */
	uint64_t failed; /**< operations without a successful response */
	uint64_t lost_with_home;  /**< of `failed`: orders in progress at their
				   * home when it was killed, whose caller was
				   * told MAY_HAVE_RUN; no other VM can know
				   * more */
	uint64_t stray_runs;	  /**< keys run that no caller sent */
	uint64_t malformed_lines; /**< lines that cannot be parsed */
};

void history_init(struct history *history);
void history_clear(struct history *history);

/** Adds one line of a backend server's journal. */
void history_add_run(struct history *history, const char *line);

/** Adds one line of the callers' history. All runs must be added before. */
void history_add_operation(struct history *history, const char *line);

/** Counts keys that ran but no caller sent. Call after all lines were added. */
void history_finish(struct history *history);

/** @return the number of violated guarantees. */
uint64_t history_count_violations(const struct history *history);

#endif
