#ifndef BASE_NUMBER_H
#define BASE_NUMBER_H

#include <stdint.h>

/** @file Checked conversions of numbers that come from outside. */

/**
 * Converts a number to 32 bits; a plain cast is undefined outside of them.
 *
 * @return the number without its fraction; 0 for a negative number and for NaN,
 * UINT32_MAX for one that is too large.
 */
static inline uint32_t u32_from_double(double number)
{
	if (!(number > 0))
		return 0;
	return number >= (double)UINT32_MAX ? UINT32_MAX : (uint32_t)number;
}

/** The same for an integer. */
static inline uint32_t u32_from_int(int64_t number)
{
	if (number < 0)
		return 0;
	return number > UINT32_MAX ? UINT32_MAX : (uint32_t)number;
}

#endif
