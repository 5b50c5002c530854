#ifndef ENTRY_EXPLAIN_H
#define ENTRY_EXPLAIN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/attributes.h"

/**
 * @file
 * Why recent requests went where they did. Bounded: new ones replace the
 * oldest. Every function may be called from any thread.
 */

#define EXPLAIN_TEXT_BYTES 384

struct explain;

struct explain *explain_new(void);
void explain_free(struct explain *explain);

/** Adds one sentence to what is known of a request, and logs it. */
void explain_add(struct explain *explain, const char *request_id,
		 const char *format, ...) PRINTF_LIKE(3, 4);

/** @return whether the request is remembered; `text` says why it went so. */
bool explain_find(struct explain *explain, const char *request_id, char *text,
		  size_t text_bytes);

#endif
