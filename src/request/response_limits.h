#ifndef REQUEST_RESPONSE_LIMITS_H
#define REQUEST_RESPONSE_LIMITS_H

#include <stdbool.h>
#include <stddef.h>

#include "net/buffer_account.h"

/**
 * @file
 * How much of each response this VM holds. While all responses together take
 * much of its memory, it is less, so that servers wait for slow callers.
 */

/** A quarter of the smallest VM's memory, which is 112 MB. */
#define RESPONSES_BYTES_MANY (28 * 1024 * 1024)
/** Responses that have begun need some more beyond it. */
#define RESPONSES_BYTES_MAX (40 * 1024 * 1024)

static inline bool response_limits_are_lowered(void)
{
	return buffer_account_bytes() > RESPONSES_BYTES_MANY;
}

/** @return whether no further request should be taken. */
static inline bool response_limits_are_reached(void)
{
	return buffer_account_bytes() > RESPONSES_BYTES_MAX;
}

/** @return the size up to which a response is buffered until it is complete. */
static inline size_t response_limits_buffered_max(void)
{
	return response_limits_are_lowered() ? 16 * 1024 : 256 * 1024;
}

/** @return the unsent bytes to a caller at which reading from its server
 * pauses. */
static inline size_t response_limits_unsent_max(void)
{
	return response_limits_are_lowered() ? 32 * 1024 : 512 * 1024;
}

#endif
