#ifndef DOCUMENT_EDIT_H
#define DOCUMENT_EDIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The changes that operators make most often, on a document's JSON value. Each
 * returns NULL, or a static text that says what the document lacks; the result
 * is still to be checked as a whole.
 */

/** Marks a backend server as leaving, or as staying. */
const char *edit_backend_leaving(json_t *doc, const char *name, bool leaving);

/** Lists an entry VM as leaving, or takes it off the list. */
const char *edit_entry_leaving(json_t *doc, const char *name, bool leaving);

/**
 * Sets the shares of a service's callers of one region.
 *
 * @param shares object of region name to thousandths.
 */
const char *edit_shares(json_t *doc, const char *service, const char *from,
			json_t *shares);

/** Sets the cap on moves of a service's callers of one region. */
const char *edit_cap(json_t *doc, const char *service, const char *from,
		     uint32_t cap_permille, uint32_t window_ms);

/** Sets a link's capacity. */
const char *edit_link(json_t *doc, const char *from, const char *to,
		      uint32_t mbit_per_s);

/** Sets a number of a service, such as "deadline_ms". */
const char *edit_service(json_t *doc, const char *service, const char *key,
			 json_int_t value);

#endif
