#include "entry/settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/schema_fields.h"

static const struct field settings_fields[] = {
	SCHEMA_NAME(settings, name, "name", true,
		    "this entry VM's name, unique in the fleet"),
	SCHEMA_NAME(settings, failure_domain, "failure_domain", true,
		    "failure domain of this VM"),
	SCHEMA_ADDRESS(settings, listen, "listen", true,
		       "IP:port for callers and operators"),
	SCHEMA_ADDRESS(settings, address, "address", false,
		       "IP:port that callers use; \"listen\" if absent"),
	SCHEMA_ADDRESS(settings, peer_listen, "peer_listen", true,
		       "IP:port for other entry VMs"),
	SCHEMA_ADDRESS(settings, peer_address, "peer_address", false,
		       "IP:port that peers use; \"peer_listen\" if absent"),
	SCHEMA_TEXT(settings, peer_public_key, "peer_public_key", false, 64,
		    "the fleet's public key, from \"auburnreachctl keygen\""),
	SCHEMA_TEXT(settings, peer_secret_key, "peer_secret_key", false, 64,
		    "the fleet's secret key"),
	SCHEMA_LIST(settings, seeds, seed_count, "seeds", FIELD_ADDRESSES, 0,
		    1024, NULL, "peer addresses to begin with"),
	SCHEMA_ADDRESS(settings, store, "store", true,
		       "IP:port of the platform's store"),
	SCHEMA_TEXT(settings, log_level, "log_level", false, 64,
		    "error, warn, info or debug"),
	SCHEMA_U32(settings, store_timeout_ms, "store_timeout_ms", 10, 60000,
		   1000, "longest time of one call to the store, in ms"),
	SCHEMA_U32(settings, threads, "threads", 4, 2000, 64,
		   "callers' connections served at the same time"),
	SCHEMA_U32(settings, keep_alive_ms, "keep_alive_ms", 0, 600000, 2000,
		   "time an idle connection of a caller is kept, in ms"),
	SCHEMA_U32(settings, heartbeat_ms, "heartbeat_ms", 50, 10000, 1000,
		   "time between heartbeats to peers, in ms"),
	SCHEMA_U32(settings, probe_ms, "probe_ms", 100, 60000, 1000,
		   "time between probes of a backend server, in ms"),
	SCHEMA_U32(settings, orders_max, "orders_max", 100, 10000000, 100000,
		   "order keys remembered"),
	SCHEMA_U32(settings, order_answer_bytes_max, "order_answer_bytes_max",
		   0, 1073741824, 8388608,
		   "bytes of order responses kept for duplicates"),
	SCHEMA_U32(settings, leave_spread_ms, "leave_spread_ms", 0, 600000,
		   4000, "time for peers to learn of a graceful stop, in ms"),
	SCHEMA_U32(settings, leave_max_ms, "leave_max_ms", 100, 3600000, 60000,
		   "longest time to stop gracefully, in ms"),
	SCHEMA_BOOL(settings, test_seams, "test_seams", false,
		    "true: tests may cut traffic between peers"),
};

const struct schema settings_schema = SCHEMA_OF(settings, settings_fields);

#define KEY_TEXT_CHARS 40

static void set_if_empty(char **text, const char *value)
{
	if (*text && **text)
		return;
	free(*text);
	*text = strdup(value);
}

static void check_peer_keys(const struct settings *settings,
			    struct schema_errors *errors)
{
	size_t public_bytes = strlen(settings->peer_public_key);
	size_t secret_bytes = strlen(settings->peer_secret_key);

	if (!public_bytes && !secret_bytes)
		return;
	if (public_bytes != KEY_TEXT_CHARS)
		schema_add_error(errors, "peer_public_key",
				 "has %zu characters; a key has %u; make one with "
				 "\"auburnreachctl keygen\"",
				 public_bytes, KEY_TEXT_CHARS);
	if (secret_bytes != KEY_TEXT_CHARS)
		schema_add_error(errors, "peer_secret_key",
				 "has %zu characters; a key has %u; make one with "
				 "\"auburnreachctl keygen\"",
				 secret_bytes, KEY_TEXT_CHARS);
}

bool settings_read(struct settings *settings, const char *file_name,
		   struct schema_errors *errors)
{
	if (!schema_read_file(&settings_schema, file_name, settings, errors))
		return false;
	set_if_empty(&settings->address, settings->listen);
	set_if_empty(&settings->peer_address, settings->peer_listen);
	set_if_empty(&settings->log_level, "info");
	if (log_level_from_name(settings->log_level) < 0)
		schema_add_error(errors, "log_level",
				 "\"%s\" is not a level; use error, warn, info or "
				 "debug",
				 settings->log_level);
	check_peer_keys(settings, errors);
	return !errors->count;
}
