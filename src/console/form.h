#ifndef CONSOLE_FORM_H
#define CONSOLE_FORM_H

#include <civetweb.h>
#include <stdbool.h>

/**
 * @file
 * Reads the fields of a submitted form.
 */

struct form {
	char *text; /**< buffer that the fields point into; freed by the caller */
	struct mg_header fields[64];
	int field_count;
};

/** Reads a form. @return false after sending an error response. */
bool form_read(struct mg_connection *connection, struct form *form);

/** @return a field's value, or "" if it is absent. */
const char *form_get(const struct form *form, const char *name);

#endif
