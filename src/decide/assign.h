#ifndef DECIDE_ASSIGN_H
#define DECIDE_ASSIGN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Assigns the backend servers of a service to entry VMs of their failure
 * domain, and objects to servers.
 *
 * Load pattern: many VMs each receive a few of the requests, so that none of
 * them knows the load of a server, and a server is sent more than its slots
 * while others are idle. With one sender for a server, that VM knows the load
 * exactly.
 *
 * Every VM computes the same result from the same lists, in whatever order they
 * are, and a VM or server that comes or goes moves few others. No I/O, no
 * locking.
 */

#define ASSIGN_NONE UINT32_MAX

/** Servers for each VM that is used: few VMs have more servers to choose from,
 * many VMs share the work of forwarding. */
#define ASSIGN_SERVERS_PER_VM 4

struct assign_vm {
	uint64_t hash;
	uint32_t weight; /**< its processor share, not 0 */
	uint32_t index;	 /**< of the caller's, returned in `vm` */
	/* set by assign_servers() */
	double score;
	uint32_t servers_max;
	uint32_t server_count;
};

struct assign_server {
	uint64_t hash;
	uint32_t index; /**< of the caller's */
	uint32_t vm;	/**< set to the VM's `index`, or ASSIGN_NONE */
};

/**
 * Assigns servers of one service and failure domain to VMs of that domain.
 * Sorts both lists.
 *
 * @param group_hash of the service and the failure domain.
 */
void assign_servers(uint64_t group_hash, struct assign_vm *vms, uint32_t vm_count,
		    struct assign_server *servers, uint32_t server_count);

/** A server of an object's service. Objects are mapped to servers, not to VMs:
 * when VMs come or go, other VMs send to the server that has the object
 * cached. */
struct assign_target {
	uint64_t hash;
	double weight; /**< its slots; 0: it is not usable */
	bool excluded;
};

/** @return the index of the object's server, or ASSIGN_NONE. */
uint32_t assign_object(uint64_t object_hash,
		       const struct assign_target *targets, uint32_t count);

#endif
