#ifndef BENCH_HISTORY_H
#define BENCH_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * @file
 * Decides whether what callers were told agrees with what backend servers ran.
 */

struct history {
	const char *killed_home; /**< entry VM that was killed, or NULL */
	int64_t killed_ms;	 /**< when, after the load began */
	GHashTable *runs;	 /**< key -> how often it ran */
	GHashTable *seen;	 /**< keys that callers used */
	uint64_t runs_read;
	uint64_t operations;
	uint64_t orders;
	uint64_t once;
	uint64_t twice;	    /**< ran more than once: a broken promise */
	uint64_t never;	    /**< did not run, and nobody said it did */
	uint64_t open;	    /**< ran, the caller heard at most MAY_HAVE_RUN */
	uint64_t false_ran; /**< told RAN, but did not run: broken */
	uint64_t false_not_run;	 /**< told NOT_RUN only, but ran: broken */
	uint64_t wrong;		 /**< another caller's answer, or not whole */
	uint64_t failed;	 /**< operations without a good answer */
	uint64_t lost_with_home; /**< of these: orders in progress at their home
				  * when it was killed, told MAY_HAVE_RUN; no
				  * other VM can know more */
	uint64_t stray;		 /**< runs of a key that no caller used */
	uint64_t malformed;	 /**< lines that could not be read */
};

void history_init(struct history *history);
void history_clear(struct history *history);

/** Reads one line of a backend server's journal. */
void history_read_run(struct history *history, const char *line);

/** Reads one line of the callers' history; all runs must be read before. */
void history_read_operation(struct history *history, const char *line);

/** Counts the runs of keys that no caller used; the last step. */
void history_finish(struct history *history);

/** @return the number of broken promises. */
uint64_t history_broken(const struct history *history);

#endif
