#ifndef FLEET_VMS_H
#define FLEET_VMS_H

#include <glib.h>
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
};

struct vms;

struct vms *vms_new(const struct topology *topology);
void vms_free(struct vms *vms);

/** @return the text that an entry VM registers; the caller frees it. */
MUST_USE char *vms_entry_text(const char *address, const char *failure_domain);

void vms_put(struct vms *vms, const char *name, const char *text, size_t bytes);
void vms_remove(struct vms *vms, const char *name);

/** @return all live VMs, as pointers to struct vm. */
const GPtrArray *vms_all(const struct vms *vms);

/** @return the number of live VMs of a region (an interned name). */
uint32_t vms_in(const struct vms *vms, const char *region);

#endif
