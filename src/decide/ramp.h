#ifndef DECIDE_RAMP_H
#define DECIDE_RAMP_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The pace at which a backend server that has just started or recovered gets
 * requests: a window of requests in progress that follows how it answers.
 *
 * Load pattern: servers restart, or come back after failures, while callers
 * have requests for all their slots. They have no object cached and run slowly
 * at first; with all slots occupied at once, most responses are late. Some warm
 * up in a second, others stay slow, so no fixed time fits.
 *
 * Whoever selects servers takes ramp_window() for the slots of the server: it
 * gets its part of the requests by its window, and the rest goes to others. At
 * least one request may always be in progress, so that the window can grow. No
 * I/O, no locking.
 */

/** All zeros: the server is warm, and only its slots limit it. */
struct ramp {
	bool active;
	double window; /**< requests that may be in progress */
	/** Responses that are still to come from before the last halving or
	 * before the ramp began again. */
	uint32_t ignored;
	bool began_again; /**< since the last halving */
	int64_t began_ms;
	int64_t again_ms; /**< begins again from then; 0: does not */
	uint32_t responses;
	uint32_t halvings;
	uint32_t late; /**< responses that took over twice the usual */
};

enum ramp_result {
	RAMP_USUAL,  /**< as fast as usual */
	RAMP_FREE,   /**< as usual, and the server reports free slots */
	RAMP_SLOWER, /**< slower, but not by much */
	RAMP_LATE,   /**< took over twice the usual time */
	RAMP_REFUSED,
	RAMP_FAILED,
};

/**
 * The server has started or recovered.
 *
 * @param again_ms time until which it is cold or wants no requests: the ramp
 * begins again at the first response after it; 0: none.
 */
void ramp_begin(struct ramp *ramp, int64_t now_ms, int64_t again_ms);

/** @return what a response says of the server.
 *
 * @param usual_ms time that such a request takes at a warm server. */
enum ramp_result ramp_judge(int64_t elapsed_ms, double usual_ms);

/**
 * Adjusts the window.
 *
 * @param slots of the server.
 * @return whether the ramp has ended.
 */
bool ramp_record(struct ramp *ramp, enum ramp_result result, uint32_t slots,
		 int64_t now_ms);

/** @return whether the server started or recovered a short while ago, so that
 * objects move to it. */
bool ramp_has_joined(const struct ramp *ramp, int64_t now_ms);

/** @return the requests that may be in progress at once, at least 1. */
uint32_t ramp_window(const struct ramp *ramp, uint32_t slots);

#endif
