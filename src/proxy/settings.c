#include "proxy/settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/schema_fields.h"
#include "fleet/vms.h"

#define DOMAINS_MAX 256
#define BOUNDS_TEXT_MAX 8192

static const struct field domain_fields[] = {
	SCHEMA_NAME(topology_domain, name, "name", true,
		    "a failure domain's name"),
	SCHEMA_NAME(topology_domain, region, "region", true,
		    "the failure domain's region"),
};

static const struct schema domain_schema =
	SCHEMA_OF(topology_domain, domain_fields);

static const struct field settings_fields[] = {
	SCHEMA_NAME(proxy_settings, name, "name", true,
		    "this entry VM's name, unique in the fleet"),
	SCHEMA_NAME(proxy_settings, region, "region", true, "region of this VM"),
	SCHEMA_NAME(proxy_settings, failure_domain, "failure_domain", true,
		    "failure domain of this VM"),
	SCHEMA_LIST(proxy_settings, domains, domain_count, "failure_domains",
		    FIELD_OBJECTS, 1, DOMAINS_MAX, &domain_schema,
		    "every failure domain with its region"),
	SCHEMA_ADDRESS(proxy_settings, request_address, "request_address", true,
		       "IP:port for callers' requests"),
	SCHEMA_ADDRESS(proxy_settings, ready_address, "ready_address", true,
		       "IP:port for the platform's readiness checks"),
	SCHEMA_ADDRESS(proxy_settings, directory_address, "directory_address",
		       false, "IP:port for the directory; none if absent"),
	SCHEMA_ADDRESS(proxy_settings, metrics_address, "metrics_address",
		       false, "IP:port for metrics; none if absent"),
	SCHEMA_ADDRESS(proxy_settings, relay_address, "relay_address", false,
		       "IP:port where other VMs of the failure domain read this "
		       "VM's copy of the store; none if absent"),
	SCHEMA_ADDRESS(proxy_settings, handoff_address, "handoff_address", false,
		       "IP:port where other VMs hand off requests to this one; "
		       "none if absent"),
	SCHEMA_ADDRESS(proxy_settings, store_address, "store_address", true,
		       "IP:port of the platform's store"),
	SCHEMA_U32(proxy_settings, store_history_s, "store_history_s", 1, 3600,
		   20, "s for which the store keeps its history of changes"),
	SCHEMA_U32(proxy_settings, pipelined_requests, "pipelined_requests", 1, 64,
		   8, "requests of a caller's connection in progress at a time"),
	SCHEMA_TEXT(proxy_settings, bounds, "bounds", false, BOUNDS_TEXT_MAX,
		    "the deployment's bounds, as name=value joined by commas"),
	SCHEMA_TEXT(proxy_settings, cpu_share, "cpu_share", false, 32,
		    "this VM's share of a processor in cores, a decimal number; 1 "
		    "if absent"),
	SCHEMA_TEXT(proxy_settings, link_mbps, "link_mbps", false, 32,
		    "this VM's network link in Mbit/s, a decimal number; not "
		    "known if absent"),
	SCHEMA_BOOL(proxy_settings, first_start, "first_start", false,
		    "the whole fleet starts for the first time: no caller is "
		    "waiting yet, and this VM waits until it knows its relay"),
	SCHEMA_TEXT(proxy_settings, log_level, "log_level", false, 64,
		    "error, warn, info or debug"),
};

const struct schema proxy_settings_schema =
	SCHEMA_OF(proxy_settings, settings_fields);

/* @return a decimal number of the settings, multiplied and within bounds. */
static uint32_t get_decimal(const char *text, double absent, double factor)
{
	double value = text && *text ? g_ascii_strtod(text, NULL) : absent;

	return (uint32_t)(CLAMP(value * factor, 0, 1000000) + 0.5);
}

char *proxy_settings_encode_entry(const struct proxy_settings *settings,
				  bool cut_off)
{
	const struct vm_entry entry = {
		.address = settings->request_address,
		.failure_domain = settings->failure_domain,
		.relay_address = settings->relay_address,
		.status_address = settings->metrics_address,
		.handoff_address = settings->handoff_address,
		/* in thousandths of a core, at least one */
		.weight = MAX(get_decimal(settings->cpu_share, 1, 1000), 1),
		.link_mbps = get_decimal(settings->link_mbps, 0, 1),
		.cut_off = cut_off,
	};

	return vms_encode_entry(&entry);
}

bool proxy_settings_read(struct proxy_settings *settings, const char *file_name,
			 struct schema_errors *errors)
{
	if (!schema_read_file(&proxy_settings_schema, file_name, settings, errors))
		return false;
	if (!*settings->log_level) {
		free(settings->log_level);
		settings->log_level = strdup("info");
	}
	if (log_level_from_name(settings->log_level) < 0)
		schema_add_error(errors, "log_level",
				 "\"%s\" is not a log level; use error, warn, info or "
				 "debug",
				 settings->log_level);
	return !errors->count;
}
