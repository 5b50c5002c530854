#ifndef SOAK_JUDGE_INTERNAL_H
#define SOAK_JUDGE_INTERNAL_H

#include "judge.h"

/** @file Declarations shared by the source files of the judge. */

/** A VM that is told to stop exits within this time. */
#define JUDGE_STOP_MS 6000

struct judge_state {
	const struct evidence *evidence;
	uint32_t violations;
	const char *invariant; /**< of the last violation */
	uint32_t line_count;   /**< lines printed of it */
};

/**
 * Counts a violation and prints the first ones of each invariant.
 *
 * @param record the request; NULL: none.
 * @param detail more text for the line; NULL: none.
 */
void judge_report(struct judge_state *j, const char *invariant,
		  const struct call_record *record, const char *detail);

/** @return whether an event cuts VMs off from all backend servers. */
bool judge_is_cut(const struct soak_event *event);

/** @return whether the request came early in the stop of its VM and went on
 * until its end. */
bool judge_outlasted_stop(const struct evidence *evidence,
			  const struct call_record *record);

/** Checks that VMs lost no request that they had taken. */
void judge_check_lost(struct judge_state *j);

/** Checks what callers got while VMs were cut off, and afterwards. */
void judge_check_cuts(struct judge_state *j);

#endif
