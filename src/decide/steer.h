#ifndef DECIDE_STEER_H
#define DECIDE_STEER_H

#include <stdbool.h>
#include <stdint.h>

#include "document/document_defs.h"

/**
 * @file
 * Which region serves a caller block, and how fast that may change.
 *
 * A caller block has a fixed point in [0, 1). The regions' shares are
 * consecutive intervals of it, so that a shift moves only the blocks between
 * an old and a new boundary. A position moves towards its target at a rate that
 * keeps what callers see move within any window under the cap, look-up answers
 * that they cached before the window included. Pure: no I/O, no locks.
 */

/** Boundaries between the regions' intervals, in the document's order. */
struct steer_position {
	uint32_t region_count;
	/** upper end of each region's interval, in [0, 1] */
	double bound[DOCUMENT_REGIONS_MAX];
	double target[DOCUMENT_REGIONS_MAX];
	double rate_per_ms; /**< largest fraction moved in a millisecond */
	int64_t advanced_ms;
	int64_t hold_until_ms; /**< no planned move before this time */
};

/**
 * Sets the target from the document; the position stays where it is.
 *
 * @param steering NULL: the region `from` serves all its callers.
 * @param from index of the callers' region.
 */
void steer_set_target(struct steer_position *position, const struct document *doc,
		      const struct doc_steering *steering, uint32_t from);

/** Puts the position on its target at once: for a fleet's first document. */
void steer_jump(struct steer_position *position, int64_t now_ms);

/**
 * Starts where a peer is, for an entry VM that has just started.
 *
 * @param bound the peer's boundaries; refused unless they rise to 1.
 * @return whether the boundaries were taken.
 */
bool steer_adopt(struct steer_position *position, const double *bound,
		 uint32_t region_count, int64_t now_ms);

/**
 * Moves towards the target as far as the cap allows by now.
 *
 * A pause of the process earns no allowance beyond STEER_STEP_MAX_MS.
 * @return the fraction of traffic that moved.
 */
double steer_advance(struct steer_position *position, int64_t now_ms);

/** A failover moved traffic: planned moves wait until it left the window. */
void steer_hold(struct steer_position *position, int64_t until_ms);

/** @return whether the position has reached its target. */
bool steer_settled(const struct steer_position *position);

/**
 * @param point the block's point in [0, 1).
 * @param usable bit i set: region i can serve the service now.
 * @return the region that serves the block, or -1 when none is usable.
 */
int steer_region_at(const struct steer_position *position, double point,
		    uint64_t usable);

/** @return the block's fixed point for a service, in [0, 1). */
double steer_point(const char *block, const char *service);

/** Longest time, in ms, that one call of steer_advance() accounts for. */
#define STEER_STEP_MAX_MS 1000

#endif
