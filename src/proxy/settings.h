#ifndef PROXY_SETTINGS_H
#define PROXY_SETTINGS_H

#include <stdbool.h>

#include "base/schema.h"
#include "fleet/topology.h"

/** @file The entry VM's settings file. */

struct proxy_settings {
	char *name;
	char *region;
	char *failure_domain;
	struct topology_domain *domains;
	uint32_t domain_count;
	char *request_address;
	char *ready_address;
	char *directory_address;
	char *metrics_address;
	char *relay_address;
	char *handoff_address;
	char *store_address;
	uint32_t store_history_s;
	uint32_t pipelined_requests;
	char *bounds;
	char *cpu_share;
	char *link_mbps;
	char *log_level;
	bool first_start;
};

extern const struct schema proxy_settings_schema;

/**
 * @param cut_off whether this VM can connect to no backend server.
 * @return the entry to register for this VM, which the caller frees, or NULL.
 */
char *proxy_settings_encode_entry(const struct proxy_settings *settings,
				  bool cut_off);

/**
 * Reads and validates a settings file.
 *
 * @param settings zeroed; the caller frees it with
 * schema_clear(&proxy_settings_schema, ...) even on failure.
 * @return whether the settings are valid; if not, `errors` says what to
 * correct.
 */
bool proxy_settings_read(struct proxy_settings *settings, const char *file_name,
			 struct schema_errors *errors);

#endif
