#include "check/config_rules.h"

#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "fleet/config.h"
#include "platform/config_path.h"

/* Longer refills make a burst an allowance for once rather than for peaks. */
#define BURST_REFILL_MAX_S 3600

static void add(struct findings *findings, enum finding_severity severity,
		enum config_table table, const char *name,
		enum config_field field, const char *format, ...)
	PRINTF_LIKE(6, 7);

static void add(struct findings *findings, enum finding_severity severity,
		enum config_table table, const char *name,
		enum config_field field, const char *format, ...)
{
	const struct config_place place = { table, name, field };
	char path[CONFIG_PATH_BYTES];
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	config_path_format(&place, path, sizeof(path));
	findings_add(findings, severity, path, "%s", text);
	g_free(text);
}

static bool contains(char *const *names, uint32_t count, const char *name)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return true;
	return false;
}

static void check_home_regions(enum config_table table, const char *name,
			       char *const *regions, uint32_t count,
			       struct findings *findings)
{
	uint32_t i;

	for (i = 1; i < count; i++)
		if (contains(regions, i, regions[i]))
			add(findings, FINDING_ERROR, table, name,
			    CONFIG_HOME_REGIONS, "region \"%s\" is named twice",
			    regions[i]);
}

/* Entry VMs choose a route by the host without its port. */
static void check_match(const struct config *config, const struct route *route,
			struct findings *findings)
{
	const struct route *chosen;

	if (strchr(route->host, ':')) {
		add(findings, FINDING_ERROR, CONFIG_ROUTES, route->name,
		    CONFIG_HOST,
		    "\"%s\" never matches: hosts are compared without the port",
		    route->host);
		return;
	}
	chosen = config_find_route(config, route->host, route->prefix);
	if (chosen != route)
		add(findings, FINDING_ERROR, CONFIG_ROUTES, route->name,
		    CONFIG_PREFIX,
		    "route \"%s\" has the same host \"%s\" and prefix \"%s\"; "
		    "one of the two never matches",
		    chosen->name, route->host, route->prefix);
}

static void check_parts(const struct route *route, struct findings *findings)
{
	uint32_t i;

	for (i = 0; i < route->part_count; i++)
		if (!route->parts[i].weight)
			add(findings, FINDING_WARNING, CONFIG_ROUTES,
			    route->name, CONFIG_SPLIT,
			    "service \"%s\" has weight 0 and gets no request",
			    route->parts[i].service->name);
}

static void check_route(const struct config *config, const struct route *route,
			struct findings *findings)
{
	check_match(config, route, findings);
	check_parts(route, findings);
	check_home_regions(CONFIG_ROUTES, route->name, route->home_regions,
			   route->home_region_count, findings);
	if (!route->target_latency_ms)
		add(findings, FINDING_WARNING, CONFIG_ROUTES, route->name,
		    CONFIG_TARGET_LATENCY,
		    "0 ms: requests are refused whenever they would wait");
	else if (route->target_latency_ms > route->timeout_ms)
		add(findings, FINDING_WARNING, CONFIG_ROUTES, route->name,
		    CONFIG_TARGET_LATENCY,
		    "%u ms is longer than the timeout of %u ms",
		    route->target_latency_ms, route->timeout_ms);
	if (route->allows_anonymous && !config->has_workspaces)
		add(findings, FINDING_WARNING, CONFIG_ROUTES, route->name,
		    CONFIG_ALLOWS_ANONYMOUS,
		    "has no effect: without %s no route needs a key",
		    config_table_name(CONFIG_WORKSPACES));
}

static bool is_named_by_route(const struct config *config,
			      const struct service *service)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < config->route_count; i++)
		for (k = 0; k < config->routes[i].part_count; k++)
			if (config->routes[i].parts[k].service == service)
				return true;
	return false;
}

static void check_service(const struct config *config,
			  const struct service *service, bool complete,
			  struct findings *findings)
{
	if (complete && !is_named_by_route(config, service))
		add(findings, FINDING_WARNING, CONFIG_SERVICES, service->name,
		    CONFIG_ENTRY, "no route names this service");
	if (service->cold_requests_per_s < 0)
		add(findings, FINDING_WARNING, CONFIG_SERVICES, service->name,
		    CONFIG_COLD_RATE, "%g is negative",
		    service->cold_requests_per_s);
	else if (service->cold_requests_per_s == 0 && service->cold_start_ms)
		add(findings, FINDING_WARNING, CONFIG_SERVICES, service->name,
		    CONFIG_COLD_RATE,
		    "0 requests/s for servers that are cold for %g s: they get "
		    "only what the fleet's bounds add",
		    (double)service->cold_start_ms / (double)MS_PER_S);
}

static bool shares_region(const struct workspace *workspace,
			  const struct route *route)
{
	uint32_t i;

	for (i = 0; i < workspace->home_region_count; i++)
		if (contains(route->home_regions, route->home_region_count,
			     workspace->home_regions[i]))
			return true;
	return false;
}

static void check_common_regions(const struct config *config,
				 const struct workspace *workspace,
				 struct findings *findings)
{
	uint32_t i;

	for (i = 0; i < config->route_count; i++) {
		const struct route *route = &config->routes[i];

		if (!workspace->home_region_count ||
		    !route->home_region_count || shares_region(workspace, route))
			continue;
		add(findings, FINDING_WARNING, CONFIG_WORKSPACES,
		    workspace->name, CONFIG_HOME_REGIONS,
		    "has no region in common with those of route \"%s\": this "
		    "workspace can never use the route",
		    route->name);
	}
}

static void check_quota(const struct workspace *workspace,
			struct findings *findings)
{
	const double rate_per_s = workspace->rate_per_s;
	const double burst = workspace->burst;
	const char *reason = NULL;

	if (burst <= 0)
		return;
	if (rate_per_s <= 0)
		reason = "there is no limit, so the burst has no effect";
	else if (burst > rate_per_s * BURST_REFILL_MAX_S)
		reason = "the burst is available again after over an hour only";
	if (reason)
		add(findings, FINDING_WARNING, CONFIG_WORKSPACES,
		    workspace->name, CONFIG_BURST, "%g with %s %g: %s", burst,
		    config_field_name(CONFIG_RATE), rate_per_s, reason);
}

void config_rules_check(const struct config *config, bool complete,
			struct findings *findings)
{
	uint32_t i;

	for (i = 0; i < config->service_count; i++)
		check_service(config, &config->services[i], complete, findings);
	for (i = 0; i < config->route_count; i++)
		check_route(config, &config->routes[i], findings);
	if (complete && config->has_workspaces && !config->workspace_count)
		add(findings, FINDING_WARNING, CONFIG_WORKSPACES, NULL,
		    CONFIG_ENTRY,
		    "is empty: every request that needs a key is rejected");
	for (i = 0; i < config->workspace_count; i++) {
		const struct workspace *workspace = &config->workspaces[i];

		check_home_regions(CONFIG_WORKSPACES, workspace->name,
				   workspace->home_regions,
				   workspace->home_region_count, findings);
		check_common_regions(config, workspace, findings);
		check_quota(workspace, findings);
	}
}
