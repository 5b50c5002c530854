#ifndef NET_STATUS_LINE_H
#define NET_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Validates the status code of a response by its text. The parser accepts every
 * number up to 999, with any number of digits.
 */

/** "HTTP/1.1 200" and the byte behind it. */
#define STATUS_LINE_BYTES 13

/** The first bytes of a response; all zero before the first one. */
struct status_line {
	char text[STATUS_LINE_BYTES];
	uint32_t bytes;
};

/** Adds the next bytes of a response; those behind the status are ignored. */
void status_line_add(struct status_line *line, const char *data, size_t bytes);

/**
 * @return whether the status has three digits and is the one of a response (200
 * to 599) or of an interim response that is skipped (100 to 199 except 101).
 */
bool status_line_is_valid(const struct status_line *line);

#endif
