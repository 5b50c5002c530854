#ifndef DECIDE_STEER_H
#define DECIDE_STEER_H

#include <stdbool.h>
#include <stdint.h>

#include "document/document_defs.h"

/**
 * @file
 * Steering: decides which region serves a caller block, and limits how fast
 * that changes.
 *
 * A caller block is hashed to a fixed point in [0, 1). The regions' shares are
 * consecutive subintervals, so that a shift moves only the blocks between an
 * old and a new boundary. The boundaries move towards their targets at a rate
 * that keeps the traffic moved within any window under the cap, including
 * callers that still use a look-up response cached before the window. No I/O,
 * no locking.
 */

/** Boundaries between the regions' intervals, in the document's order. */
struct steer_position {
	uint32_t region_count;
	/** upper bound of each region's interval, in [0, 1] */
	double bound[DOCUMENT_REGIONS_MAX];
	double target[DOCUMENT_REGIONS_MAX]; /**< of `bound` */
	double rate_per_ms; /**< fraction of traffic that may move per ms */
	int64_t advanced_ms;
	int64_t paused_until_ms; /**< no planned shift before this time */
};

/**
 * Sets the target from the document. The current boundaries stay, unless the
 * number of regions differs: then they are set to the target.
 *
 * @param steering NULL: the region `from` serves all its callers.
 * @param from index of the callers' region.
 */
void steer_set_target(struct steer_position *position, const struct document *doc,
		      const struct doc_steering *steering, uint32_t from);

/** Sets the boundaries to the target at once: for a fleet's first document. */
void steer_move_to_target(struct steer_position *position, int64_t now_ms);

/**
 * Copies a peer's boundaries, for an entry VM that has just started.
 *
 * @param bound the peer's boundaries; rejected unless they are ascending and
 * end at 1.
 * @return whether the boundaries were accepted.
 */
bool steer_adopt(struct steer_position *position, const double *bound,
		 uint32_t region_count, int64_t now_ms);

/**
 * Moves the boundaries towards the target as far as the cap allows.
 *
 * After a suspension of the process, no more than STEER_STEP_MAX_MS count.
 *
 * @return the fraction of traffic that moved.
 */
double steer_advance(struct steer_position *position, int64_t now_ms);

/** Pauses planned shifts, after a failover, until it is out of the window. */
void steer_pause(struct steer_position *position, int64_t until_ms);

/** @return whether the boundaries have reached the target. */
bool steer_is_settled(const struct steer_position *position);

/**
 * @param point the block's point, see steer_block_point().
 * @param usable bit mask: bit i is set if region i can serve the service now.
 * @return the region that serves the block, or -1 if none is usable.
 */
int steer_region_at(const struct steer_position *position, double point,
		    uint64_t usable);

/** @return the block's point for a service, in [0, 1). */
double steer_block_point(const char *block, const char *service);

/** Longest time, in ms, that a call of steer_advance() takes into account. */
#define STEER_STEP_MAX_MS 1000

#endif
