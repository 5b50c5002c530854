#ifndef ASSIGN_ASSIGNMENT_H
#define ASSIGN_ASSIGNMENT_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Which entry VM is assigned to which backend servers, and to which VM the
 * requests for an object go. Every VM computes the same from the lists of VMs
 * and servers; nothing is exchanged. Loop's thread only. All functions allow
 * NULL, for which no VM is assigned.
 */

struct assignment;

/** @return an assignment that the caller frees, or NULL. */
struct assignment *assignment_new(struct proxy *proxy);
void assignment_free(struct assignment *assignment);

/** @return whether servers are assigned to VMs: the configuration in force asks
 * for it, and this VM takes requests of others. */
bool assignment_is_on(const struct assignment *assignment);

/** What an object's VM is looked up by. */
struct assignment_query {
	const char *service;
	const char *region;	    /**< interned */
	const char *failure_domain; /**< interned; preferred if it has a usable
				     * server; NULL: any of the region */
	uint64_t object_hash;
};

/**
 * @return the VM that is assigned to the object, possibly this one; NULL if
 * there is none. Valid until the list of VMs changes.
 */
const struct vm *assignment_find_vm(struct assignment *assignment,
				    const struct assignment_query *query);

/** @return the listed servers of a service that are assigned to this VM, usable
 * or not, as pointers to struct server; NULL if servers are not assigned. Valid
 * until the lists of VMs or servers change. */
const GPtrArray *assignment_own_servers(struct assignment *assignment,
					const char *service);

/** @return whether this VM is the one assigned to a server. */
bool assignment_is_own_server(struct assignment *assignment,
			      const struct server *server);

/** Leaves a VM to which requests could not be handed off out for `ms`. */
void assignment_avoid_vm(struct assignment *assignment, const char *vm_name,
			 uint32_t ms);

#endif
