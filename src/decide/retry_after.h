#ifndef DECIDE_RETRY_AFTER_H
#define DECIDE_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Decides when a refused caller may come back. Pure functions.
 */

/** What is known when a request is refused. */
struct retry_after_facts {
	uint32_t wait_ms; /**< until there is room; 0: unknown */
	/** Nothing is taken earlier than `wait_ms`, which is no estimate. */
	bool is_stated;
	bool elsewhere; /**< another VM can handle the request at once */
};

/** Bounds between which a value is drawn at random, so that callers refused
 * together don't come back at the same time. */
struct retry_after_range {
	uint32_t min_ms;
	uint32_t end_ms; /**< above `min_ms`; not part of the range */
};

/** @return the range for a refusal. */
struct retry_after_range retry_after_range(const struct retry_after_facts *facts);

#endif
