#ifndef FLEET_CONFIG_H
#define FLEET_CONFIG_H

#include "base/attributes.h"
#include "fleet/config_defs.h"

/**
 * @file
 * Construction, validation and lookup of configurations, and their reference
 * counts. Loop's thread only.
 */

/** @return an empty configuration with one reference, or NULL. */
struct config *config_new(uint32_t service_count, uint32_t route_count);

/** Makes requests need a key. @return false if out of memory. */
MUST_USE bool config_add_workspaces(struct config *config, uint32_t count);

/**
 * Validates a decoded configuration, sorts its routes and sets their derived
 * fields.
 *
 * @param place set to the invalid part; its name belongs to the configuration.
 * NULL is allowed.
 * @return NULL, or a static text that says what is invalid.
 */
MUST_USE const char *config_finalize(struct config *config,
				     struct config_place *place);

/** Adds a reference. */
struct config *config_ref(struct config *config);
/** Drops a reference; the last one frees the configuration. NULL is allowed. */
void config_unref(struct config *config);

/** @return the service of that name, or NULL. */
const struct service *config_find_service(const struct config *config,
					  const char *name);

/**
 * @param host without a port; case-insensitive.
 * @param path may be followed by a query.
 * @return the route with the longest prefix, or NULL.
 */
const struct route *config_find_route(const struct config *config,
				      const char *host, const char *path);

/** @return the part of a route for requests with this hash, by weight. */
const struct route_part *config_select_route_part(const struct route *route,
						  uint64_t hash);

#endif
