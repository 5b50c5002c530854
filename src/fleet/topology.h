#ifndef FLEET_TOPOLOGY_H
#define FLEET_TOPOLOGY_H

#include <stdint.h>

/**
 * @file
 * Failure domains and their regions. Returned names are interned, so equal
 * names are equal pointers.
 */

struct topology_domain {
	char *name;
	char *region;
};

struct topology {
	struct topology_domain *domains;
	uint32_t domain_count;
};

/** @return the interned name of a failure domain's region; NULL: unknown. */
const char *topology_region(const struct topology *topology,
			    const char *failure_domain);

/** @return the fraction of all failure domains that is in a region. */
double topology_region_share(const struct topology *topology, const char *region);

#endif
