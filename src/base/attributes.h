#ifndef BASE_ATTRIBUTES_H
#define BASE_ATTRIBUTES_H

/**
 * @file
 * Function attributes that let the compiler check a contract.
 */

#define MUST_USE __attribute__((warn_unused_result))
#define PRINTF_LIKE(text, first) __attribute__((format(printf, text, first)))

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

#endif
