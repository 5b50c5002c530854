#ifndef CONSOLE_CONSOLE_DEFS_H
#define CONSOLE_CONSOLE_DEFS_H

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "base/schema.h"
#include "store/store_defs.h"

/**
 * @file
 * Types shared by the console's modules.
 */

#define CONSOLE_PROGRAM "auburnreach-console"

struct console_operator {
	char *name;
	char *password_hash;
};

struct console_settings {
	char *listen;
	char *certificate;
	char *store;
	char *entry;
	struct console_operator *operators;
	uint32_t operator_count;
};

struct console {
	struct console_settings settings;
	struct store store;
	char *secret; /**< signs form tokens; random for each process */
};

extern const struct schema console_settings_schema;

#endif
