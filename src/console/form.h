#ifndef CONSOLE_FORM_H
#define CONSOLE_FORM_H

#include <civetweb.h>
#include <stdbool.h>

/** @file The fields of a form that an operator sent. */

struct form {
	char *text; /**< owns what the fields point to; freed by the caller */
	struct mg_header fields[64];
	int field_count;
};

/** Reads a form. @return false once the request has been refused. */
bool form_read(struct mg_connection *connection, struct form *form);

/** @return a field's value, or "". */
const char *form_get(const struct form *form, const char *name);

#endif
