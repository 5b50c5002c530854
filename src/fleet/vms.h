#ifndef FLEET_VMS_H
#define FLEET_VMS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attributes.h"
#include "fleet/topology.h"

/**
 * @file
 * The entry VMs that are alive, as they registered in the store. Loop's thread.
 */

/** Everything that entry VMs write to the store. */
#define FLEET_KEY_PREFIX "auburnreach/"
/** Keys of entry VMs: this prefix and the VM's name. */
#define VMS_KEY_PREFIX FLEET_KEY_PREFIX "vm/"

struct vm {
	char *name;
	char *address;		    /**< where callers send requests */
	const char *failure_domain; /**< interned */
	const char *region;	    /**< interned; NULL: unknown domain */
	uint64_t hash;
	struct sockaddr_in relay; /**< where it answers reads of the store */
	bool has_relay;
};

struct vms;

struct vms *vms_new(const struct topology *topology);
void vms_free(struct vms *vms);

/**
 * @param relay_address where this VM answers reads of the store; "": nowhere.
 * @return the text that an entry VM registers; the caller frees it.
 */
MUST_USE char *vms_entry_text(const char *address, const char *failure_domain,
			      const char *relay_address);

void vms_put(struct vms *vms, const char *name, const char *text, size_t bytes);
void vms_remove(struct vms *vms, const char *name);

/** @return all live VMs, as pointers to struct vm. */
const GPtrArray *vms_all(const struct vms *vms);

/**
 * Every VM of a failure domain chooses the same one while they see the same
 * list.
 *
 * @return the live VM of a failure domain (an interned name) that reads from
 * the store for the others, or NULL.
 */
const struct vm *vms_relay(const struct vms *vms, const char *failure_domain);

/** @return the number of live VMs of a region (an interned name). */
uint32_t vms_in(const struct vms *vms, const char *region);

#endif
