#include "fleet/config.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "workspace/keys.h"

struct config *config_new(uint32_t service_count, uint32_t route_count)
{
	struct config *config = calloc(1, sizeof(*config));

	if (!config)
		return NULL;
	config->references = 1;
	config->services = calloc(service_count + 1, sizeof(struct service));
	config->routes = calloc(route_count + 1, sizeof(struct route));
	if (!config->services || !config->routes) {
		config_unref(config);
		return NULL;
	}
	config->service_count = service_count;
	config->route_count = route_count;
	return config;
}

bool config_add_workspaces(struct config *config, uint32_t count)
{
	config->has_workspaces = true;
	config->workspaces = calloc((size_t)count + 1, sizeof(struct workspace));
	config->keys = workspace_keys_new();
	if (!config->workspaces || !config->keys)
		return false;
	config->workspace_count = count;
	return true;
}

static int compare_prefixes(const void *left, const void *right)
{
	const struct route *a = left;
	const struct route *b = right;

	if (a->prefix_bytes != b->prefix_bytes)
		return a->prefix_bytes < b->prefix_bytes ? 1 : -1;
	return strcmp(a->prefix, b->prefix);
}

static const char *check_parts(const struct route *route)
{
	uint64_t weight = 0;
	uint32_t i;

	if (!route->part_count)
		return "a route has no service";
	for (i = 0; i < route->part_count; i++) {
		if (!route->parts[i].service)
			return "a route names an unknown service";
		weight += route->parts[i].weight;
	}
	return weight ? NULL : "the weights of a route add up to 0";
}

/* @param field set to the invalid field. */
static const char *check_route(const struct route *route, enum config_field *field)
{
	*field = CONFIG_HOST;
	if (!route->host || !*route->host)
		return "a route has no host";
	*field = CONFIG_PREFIX;
	if (!route->prefix || *route->prefix != '/' ||
	    route->prefix[route->prefix_bytes - 1] != '/')
		return "a route's prefix must begin and end with a slash";
	*field = CONFIG_TIMEOUT;
	if (!route->timeout_ms)
		return "a route's timeout is 0";
	*field = CONFIG_ATTEMPTS_MAX;
	if (!route->attempts_max)
		return "a route allows no attempt";
	*field = route->is_split ? CONFIG_SPLIT : CONFIG_SERVICE;
	return check_parts(route);
}

/* Marks the routes that share no service with a route of higher priority. */
static void find_top_priorities(struct config *config)
{
	uint32_t *highest =
		calloc((size_t)config->service_count + 1, sizeof(*highest));
	struct route *route;
	size_t service;
	uint32_t i;
	uint32_t k;

	if (!highest)
		return;
	memset(highest, 0xff, config->service_count * sizeof(*highest));
	for (i = 0; i < config->route_count; i++) {
		route = &config->routes[i];
		for (k = 0; k < route->part_count; k++) {
			service = (size_t)(route->parts[k].service -
					   config->services);
			highest[service] = MIN(highest[service], route->priority);
		}
	}
	for (i = 0; i < config->route_count; i++) {
		route = &config->routes[i];
		route->is_top_priority = true;
		for (k = 0; k < route->part_count; k++) {
			service = (size_t)(route->parts[k].service -
					   config->services);
			if (highest[service] < route->priority)
				route->is_top_priority = false;
		}
	}
	free(highest);
}

const char *config_finalize(struct config *config, struct config_place *place)
{
	enum config_field field;
	const char *problem;
	uint32_t i;

	for (i = 0; i < config->route_count; i++) {
		struct route *route = &config->routes[i];

		route->prefix_bytes =
			route->prefix ? (uint32_t)strlen(route->prefix) : 0;
		problem = check_route(route, &field);
		if (problem && place)
			*place = (struct config_place){ CONFIG_ROUTES,
							route->name, field };
		if (problem)
			return problem;
		if (route->kind == ROUTE_UPLOAD || route->kind == ROUTE_DOWNLOAD)
			config->has_large_bodies = true;
	}
	find_top_priorities(config);
	qsort(config->routes, config->route_count, sizeof(struct route),
	      compare_prefixes);
	return NULL;
}

struct config *config_ref(struct config *config)
{
	config->references++;
	return config;
}

static void free_strings(char **strings, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		free(strings[i]);
	free(strings);
}

static void route_clear(struct route *route)
{
	free(route->name);
	free(route->host);
	free(route->prefix);
	free(route->parts);
	free_strings(route->home_regions, route->home_region_count);
}

static void workspace_clear(struct workspace *workspace)
{
	free(workspace->name);
	free_strings(workspace->home_regions, workspace->home_region_count);
}

void config_unref(struct config *config)
{
	uint32_t i;

	if (!config || --config->references)
		return;
	for (i = 0; i < config->service_count; i++) {
		free(config->services[i].name);
		free(config->services[i].health_path);
	}
	for (i = 0; i < config->route_count; i++)
		route_clear(&config->routes[i]);
	for (i = 0; i < config->workspace_count; i++)
		workspace_clear(&config->workspaces[i]);
	workspace_keys_free(config->keys);
	free(config->workspaces);
	free(config->services);
	free(config->routes);
	free(config);
}

const struct service *config_find_service(const struct config *config,
					  const char *name)
{
	uint32_t i;

	for (i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	return NULL;
}

const struct route *config_find_route(const struct config *config,
				      const char *host, const char *path)
{
	uint32_t i;

	for (i = 0; i < config->route_count; i++) {
		const struct route *route = &config->routes[i];

		if (!strncmp(path, route->prefix, route->prefix_bytes) &&
		    !strcasecmp(host, route->host))
			return route;
	}
	return NULL;
}

const struct route_part *config_select_route_part(const struct route *route,
						  uint64_t hash)
{
	uint64_t weight_sum = 0;
	uint64_t offset;
	uint32_t i;

	for (i = 0; i < route->part_count; i++)
		weight_sum += route->parts[i].weight;
	if (!weight_sum)
		return &route->parts[0]; /* config_finalize() rejects it */
	offset = hash % weight_sum;
	for (i = 0; i + 1 < route->part_count; i++) {
		if (offset < route->parts[i].weight)
			break;
		offset -= route->parts[i].weight;
	}
	return &route->parts[i];
}
