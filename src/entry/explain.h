#ifndef ENTRY_EXPLAIN_H
#define ENTRY_EXPLAIN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/attributes.h"

/**
 * @file
 * Keeps, for recent requests, the reasons for how each was routed. The memory
 * is bounded: a new request replaces an older one. Every function may be called
 * from any thread.
 */

#define EXPLAIN_TEXT_BYTES 384

struct explain;

struct explain *explain_new(void);
void explain_free(struct explain *explain);

/** Appends one sentence to a request's explanation, and logs it. */
void explain_add(struct explain *explain, const char *request_id,
		 const char *format, ...) PRINTF_LIKE(3, 4);

/**
 * Copies a request's explanation.
 *
 * @return false if the request is not remembered; `text` is unchanged then.
 */
bool explain_find(struct explain *explain, const char *request_id, char *text,
		  size_t text_bytes);

#endif
