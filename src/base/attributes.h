#ifndef BASE_ATTRIBUTES_H
#define BASE_ATTRIBUTES_H

/**
 * @file
 * Function attributes for compiler checks, and the size of arrays.
 */

#define MUST_USE __attribute__((warn_unused_result))
/** Checks printf arguments; both are parameter positions, from 1. */
#define PRINTF_LIKE(text, first) __attribute__((format(printf, text, first)))

/** @return the number of elements of an array (not of a pointer). */
#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

#endif
