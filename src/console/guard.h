#ifndef CONSOLE_GUARD_H
#define CONSOLE_GUARD_H

#include <stdbool.h>

#include "console/console_defs.h"
#include "console/form.h"

/**
 * @file
 * Authenticates operators and protects forms against cross-site requests.
 */

/**
 * Authenticates a request. If that fails, sends status 401; a wrong credential
 * also delays the calling thread.
 *
 * @return the operator's name, owned by the settings, or NULL after status 401.
 */
const char *guard_operator(const struct console *console,
			   struct mg_connection *connection);

/** @return a token for the operator's forms, freed by the caller. */
char *guard_token(const struct console *console, const char *operator_name);

/**
 * @return whether a form was submitted from one of the console's own pages, by
 * its token and the headers that name its origin. Logs a failed check.
 */
bool guard_own_form(const struct console *console,
		    struct mg_connection *connection, const char *operator_name,
		    const struct form *form);

/** @return the hash of a password, freed by the caller, or NULL. */
char *guard_hash(const char *password);

#endif
