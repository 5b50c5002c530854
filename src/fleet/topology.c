#include "fleet/topology.h"

#include <glib.h>
#include <string.h>

const char *topology_region(const struct topology *topology,
			    const char *failure_domain)
{
	uint32_t i;

	for (i = 0; i < topology->domain_count; i++)
		if (!strcmp(topology->domains[i].name, failure_domain))
			return g_intern_string(topology->domains[i].region);
	return NULL;
}

double topology_region_share(const struct topology *topology, const char *region)
{
	uint32_t in_region = 0;
	uint32_t i;

	for (i = 0; i < topology->domain_count; i++)
		in_region += !strcmp(topology->domains[i].region, region);
	return (double)in_region / topology->domain_count;
}
