#ifndef CONSOLE_CHANGE_H
#define CONSOLE_CHANGE_H

#include "console/console_defs.h"
#include "console/form.h"

/**
 * @file
 * Reviews and publishes the changes that operators submit in forms.
 */

/**
 * Applies a form's change to a document's JSON value.
 *
 * @return NULL on success, or a static text with the reason for the failure.
 */
const char *change_apply(json_t *doc, const struct form *form);

/** Handles POST /review: sends the differences and any validation errors. */
void change_review(struct console *console, struct mg_connection *connection,
		   const char *operator_name, const struct form *form);

/** Handles POST /publish: publishes, or sends the conflicting changes. */
void change_publish(struct console *console, struct mg_connection *connection,
		    const char *operator_name, const struct form *form);

/**
 * Reads the store's document.
 *
 * @return a new JSON value, or NULL after sending an error page.
 */
json_t *change_read_document(struct console *console,
			     struct mg_connection *connection,
			     const char *operator_name);

#endif
