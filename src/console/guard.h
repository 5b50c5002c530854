#ifndef CONSOLE_GUARD_H
#define CONSOLE_GUARD_H

#include <stdbool.h>

#include "console/console_defs.h"
#include "console/form.h"

/**
 * @file
 * Who may do what: operators' credentials, and posts from other sites.
 */

/**
 * Checks the credential of a request; answers 401 if it does not hold.
 *
 * @return the operator, owned by the settings, or NULL once answered.
 */
const char *guard_operator(const struct console *console,
			   struct mg_connection *connection);

/** @return a token for the operator's forms, which the caller frees. */
char *guard_token(const struct console *console, const char *operator_name);

/**
 * @return whether a post comes from one of the console's own forms.
 */
bool guard_own_form(const struct console *console,
		    struct mg_connection *connection, const char *operator_name,
		    const struct form *form);

/** @return a new hash of a password, or NULL; the caller frees it. */
char *guard_hash(const char *password);

#endif
