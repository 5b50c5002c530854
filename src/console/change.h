#ifndef CONSOLE_CHANGE_H
#define CONSOLE_CHANGE_H

#include "console/console_defs.h"
#include "console/form.h"

/**
 * @file
 * What an operator submits: reviewed first, then published.
 */

/**
 * Applies a form's change to a document's JSON value.
 *
 * @return NULL, or why it cannot be applied.
 */
const char *change_apply(json_t *doc, const struct form *form);

/** Answers POST /review: the differences and what is wrong with them. */
void change_review(struct console *console, struct mg_connection *connection,
		   const char *operator_name, const struct form *form);

/** Answers POST /publish: publishes, or shows what conflicts. */
void change_publish(struct console *console, struct mg_connection *connection,
		    const char *operator_name, const struct form *form);

/** Reads the store's document. @return NULL after an answer was sent. */
json_t *change_read(struct console *console, struct mg_connection *connection,
		    const char *operator_name);

#endif
