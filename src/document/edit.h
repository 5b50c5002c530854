#ifndef DOCUMENT_EDIT_H
#define DOCUMENT_EDIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Applies an operator's usual changes to a document's JSON value. Each function
 * returns NULL on success, or a static text that says what the document lacks.
 * The caller must still validate the changed document.
 */

/** Marks a backend server as leaving, or removes the mark. */
const char *edit_set_backend_leaving(json_t *doc, const char *name, bool leaving);

/** Adds an entry VM to the list of leaving ones, or removes it. */
const char *edit_set_entry_leaving(json_t *doc, const char *name, bool leaving);

/**
 * Sets which regions serve a service's callers in one region.
 *
 * @param shares object that maps a region's name to thousandths.
 */
const char *edit_set_shares(json_t *doc, const char *service, const char *from,
			    json_t *shares);

/**
 * Sets how much of a service's traffic from one region may move to other
 * regions in one window.
 */
const char *edit_set_move_cap(json_t *doc, const char *service, const char *from,
			      uint32_t cap_permille, uint32_t window_ms);

/** Sets a link's capacity. */
const char *edit_set_link_capacity(json_t *doc, const char *from,
				   const char *to, uint32_t mbit_per_s);

/** Sets a numeric field of a service, such as "deadline_ms". */
const char *edit_set_service_number(json_t *doc, const char *service,
				    const char *key, json_int_t value);

#endif
