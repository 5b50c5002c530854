#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "base/schema.h"

/**
 * @file
 * The daemon's settings, read from a JSON file.
 */

struct settings {
	char *name;
	char *failure_domain;
	char *listen;
	char *address;
	char *peer_listen;
	char *peer_address;
	char *peer_public_key;
	char *peer_secret_key;
	char **seeds;
	uint32_t seed_count;
	char *store;
	char *log_level;
	uint32_t store_timeout_ms;
	uint32_t threads;
	uint32_t keep_alive_ms;
	uint32_t heartbeat_ms;
	uint32_t probe_ms;
	uint32_t orders_max;
	uint32_t order_answer_bytes_max;
	uint32_t leave_spread_ms;
	uint32_t leave_max_ms;
	bool test_seams;
};

extern const struct schema settings_schema;

/**
 * Reads a settings file, fills in defaults and checks the values.
 *
 * @param settings must be zeroed; to be freed by schema_clear(&settings_schema,
 * ...) in any case.
 * @return whether the settings are valid; if not, `errors` lists what to fix.
 */
bool settings_read(struct settings *settings, const char *file_name,
		   struct schema_errors *errors);

#endif
