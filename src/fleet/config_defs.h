#ifndef FLEET_CONFIG_DEFS_H
#define FLEET_CONFIG_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The operator's configuration as the data path reads it. It is immutable once
 * built; a request uses the same one from start to end.
 */

struct workspace_keys;

struct service {
	char *name;
	char *health_path;
	uint32_t connections_max; /**< per backend server, from all callers */
	uint32_t cold_start_ms;
	double cold_requests_per_s; /**< requests that a cold backend server can handle */
};

/** One service of a route and its share of the requests. */
struct route_part {
	const struct service *service;
	uint32_t weight;
};

/** Kinds of routes: what may be repeated, and how large bodies are. */
enum route_kind {
	ROUTE_ORDER,	  /**< runs at most once */
	ROUTE_IDEMPOTENT, /**< may run more than once */
	ROUTE_UPLOAD,	  /**< large request bodies; runs at most once */
	ROUTE_DOWNLOAD,	  /**< large responses; may run more than once */
};

/** Callers that are known by their keys and share a quota. */
struct workspace {
	char *name;
	bool has_priority;
	uint32_t priority;   /**< goes before the route's; 0: the highest */
	char **home_regions; /**< empty: any region */
	uint32_t home_region_count;
	double rate_per_s; /**< quota of all entry VMs together; 0: no limit */
	double burst; /**< requests that may come at once beyond the rate */
};

struct route {
	char *name;
	char *host;
	char *prefix; /**< begins and ends with a slash */
	uint32_t prefix_bytes;
	enum route_kind kind;
	bool idempotent;
	bool allows_anonymous; /**< needs no key, see `workspaces` */
	bool sticky; /**< an object's requests run faster at the same server */
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t priority;     /**< 0: the highest */
	bool is_top_priority;  /**< no route to its services outranks it */
	uint32_t attempts_max; /**< sends of one request, the first included */
	struct route_part *parts;
	uint32_t part_count;
	bool is_split;	     /**< its parts are a list in the configuration */
	char **home_regions; /**< empty: any region */
	uint32_t home_region_count;
};

/** Limits on requests and connections of callers. */
struct caller_limits {
	uint32_t head_bytes_max;
	uint64_t body_bytes_max;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

/** Tables of the configuration; `CONFIG_DOCUMENT` is the whole. */
enum config_table {
	CONFIG_DOCUMENT,
	CONFIG_SERVICES,
	CONFIG_ROUTES,
	CONFIG_LIMITS,
	CONFIG_WORKSPACES,
};

/** Fields of the configuration's tables. */
enum config_field {
	CONFIG_ENTRY, /**< no field: the entry itself */
	CONFIG_VERSION,
	CONFIG_HEALTH_PATH,
	CONFIG_CONNECTIONS_MAX,
	CONFIG_COLD_START,
	CONFIG_COLD_RATE,
	CONFIG_HOST,
	CONFIG_PREFIX,
	CONFIG_KIND,
	CONFIG_STICKY,
	CONFIG_TIMEOUT,
	CONFIG_TARGET_LATENCY,
	CONFIG_PRIORITY,
	CONFIG_ATTEMPTS_MAX,
	CONFIG_SERVICE,
	CONFIG_SPLIT,
	CONFIG_ALLOWS_ANONYMOUS,
	CONFIG_HOME_REGIONS,
	CONFIG_API_KEYS,
	CONFIG_RATE,
	CONFIG_BURST,
	CONFIG_HEAD_BYTES_MAX,
	CONFIG_BODY_BYTES_MAX,
	CONFIG_HEAD_TIMEOUT,
	CONFIG_IDLE_TIMEOUT,
	CONFIG_FIELD_COUNT,
};

/** A part of the configuration, to which a message refers. */
struct config_place {
	enum config_table table;
	const char *name; /**< of the table's entry; NULL: the table itself */
	enum config_field field;
};

struct config {
	uint32_t references; /**< loop's thread only */
	uint64_t version;
	struct service *services;
	uint32_t service_count;
	struct route *routes; /**< sorted, longest prefix first */
	uint32_t route_count;
	struct caller_limits limits;
	bool has_workspaces; /**< requests need a key of a workspace */
	struct workspace *workspaces;
	uint32_t workspace_count;
	struct workspace_keys *keys; /**< NULL unless `has_workspaces` */
	bool has_large_bodies; /**< some route is an upload or a download */
};

#endif
