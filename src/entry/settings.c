#include "entry/settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"

#define PLACE(member) .offset = offsetof(struct settings, member)
#define NAME(member, key_, help_)                                    \
	{                                                            \
		.key = key_, .kind = FIELD_NAME, PLACE(member),      \
		.required = true, .min = 1, .max = 64, .help = help_ \
	}
#define ADDRESS(member, key_, help_)                                 \
	{                                                            \
		.key = key_, .kind = FIELD_ADDRESS, PLACE(member),   \
		.required = true, .min = 1, .max = 64, .help = help_ \
	}
#define TEXT(member, key_, help_)                                          \
	{                                                                  \
		.key = key_, .kind = FIELD_TEXT, PLACE(member), .max = 64, \
		.help = help_                                              \
	}
#define U32(member, key_, min_, max_, fallback_, help_)                     \
	{                                                                   \
		.key = key_, .kind = FIELD_U32, PLACE(member), .min = min_, \
		.max = max_, .fallback = fallback_, .help = help_           \
	}

static const struct field settings_fields[] = {
	NAME(name, "name", "this entry VM's name, unique in the fleet"),
	NAME(failure_domain, "failure_domain", "where this VM stands"),
	ADDRESS(listen, "listen", "IP:port for callers and operators"),
	{ .key = "address",
	  .kind = FIELD_ADDRESS,
	  PLACE(address),
	  .max = 64,
	  .help = "IP:port that callers use; as \"listen\" if absent" },
	ADDRESS(peer_listen, "peer_listen", "IP:port for other entry VMs"),
	{ .key = "peer_address",
	  .kind = FIELD_ADDRESS,
	  PLACE(peer_address),
	  .max = 64,
	  .help = "IP:port that peers use; as \"peer_listen\" if absent" },
	TEXT(peer_public_key, "peer_public_key",
	     "the fleet's public key, from \"auburnreachctl keygen\""),
	TEXT(peer_secret_key, "peer_secret_key", "the fleet's secret key"),
	{ .key = "seeds",
	  .kind = FIELD_ADDRESSES,
	  PLACE(seeds),
	  .count_offset = offsetof(struct settings, seed_count),
	  .max = 1024,
	  .help = "peer addresses to begin with" },
	ADDRESS(store, "store", "IP:port of the platform's store"),
	TEXT(log_level, "log_level", "error, warn, info or debug"),
	U32(store_timeout_ms, "store_timeout_ms", 10, 60000, 1000,
	    "longest time of one call to the store, in ms"),
	U32(threads, "threads", 4, 2000, 64,
	    "callers' connections served at the same time"),
	U32(keep_alive_ms, "keep_alive_ms", 0, 600000, 2000,
	    "time an idle connection of a caller is kept, in ms"),
	U32(heartbeat_ms, "heartbeat_ms", 50, 10000, 1000,
	    "time between heartbeats to peers, in ms"),
	U32(probe_ms, "probe_ms", 100, 60000, 1000,
	    "time between probes of a backend server, in ms"),
	U32(orders_max, "orders_max", 100, 10000000, 100000,
	    "order keys remembered"),
	U32(order_answer_bytes_max, "order_answer_bytes_max", 0, 1073741824,
	    8388608, "bytes of order answers kept for repeats"),
	U32(leave_spread_ms, "leave_spread_ms", 0, 600000, 4000,
	    "time for peers to hear of a planned stop, in ms"),
	U32(leave_max_ms, "leave_max_ms", 100, 3600000, 60000,
	    "longest time of a planned stop, in ms"),
	{ .key = "test_seams",
	  .kind = FIELD_BOOL,
	  PLACE(test_seams),
	  .help = "true: tests may cut messages between peers" },
};

const struct shape settings_shape = {
	.fields = settings_fields,
	.field_count = ARRAY_SIZE(settings_fields),
	.size = sizeof(struct settings),
};

#define KEY_TEXT_BYTES 40

static void replace_empty(char **text, const char *with)
{
	if (*text && **text)
		return;
	free(*text);
	*text = strdup(with);
}

static void check_keys(const struct settings *settings,
		       struct shape_errors *errors)
{
	size_t public_bytes = strlen(settings->peer_public_key);
	size_t secret_bytes = strlen(settings->peer_secret_key);

	if (!public_bytes && !secret_bytes)
		return;
	if (public_bytes != KEY_TEXT_BYTES)
		shape_error(errors, "peer_public_key",
			    "has %zu characters; a key has %u; make one with "
			    "\"auburnreachctl keygen\"",
			    public_bytes, KEY_TEXT_BYTES);
	if (secret_bytes != KEY_TEXT_BYTES)
		shape_error(errors, "peer_secret_key",
			    "has %zu characters; a key has %u; make one with "
			    "\"auburnreachctl keygen\"",
			    secret_bytes, KEY_TEXT_BYTES);
}

bool settings_read(struct settings *settings, const char *file_name,
		   struct shape_errors *errors)
{
	if (!shape_read_file(&settings_shape, file_name, settings, errors))
		return false;
	replace_empty(&settings->address, settings->listen);
	replace_empty(&settings->peer_address, settings->peer_listen);
	replace_empty(&settings->log_level, "info");
	if (log_level_from_name(settings->log_level) < 0)
		shape_error(errors, "log_level",
			    "\"%s\" is not a level; use error, warn, info or "
			    "debug",
			    settings->log_level);
	check_keys(settings, errors);
	return !errors->count;
}
