#ifndef CONSOLE_AUTH_H
#define CONSOLE_AUTH_H

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
const char *auth_require_operator(const struct console *console,
				  struct mg_connection *connection);

/** @return a token for the operator's forms, freed by the caller. */
char *auth_form_token(const struct console *console, const char *operator_name);

/**
 * @return whether a form was submitted from one of the console's own pages, by
 * its token and the headers that name its origin. Logs a failed check.
 */
bool auth_is_own_form(const struct console *console,
		      struct mg_connection *connection,
		      const char *operator_name, const struct form *form);

/** @return the hash of a password, freed by the caller, or NULL. */
char *auth_hash_password(const char *password);

#endif
