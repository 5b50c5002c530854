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
 * The live entry VMs, as registered in the store. Loop's thread only.
 */

/** Prefix of all keys that entry VMs write to the store. */
#define FLEET_KEY_PREFIX "auburnreach/"
/** An entry VM's key is this prefix followed by its name. */
#define VMS_KEY_PREFIX FLEET_KEY_PREFIX "vm/"

struct vm {
	char *name;
	char *address;		    /**< "IP:port" for callers' requests */
	char *status_address;	    /**< "IP:port" for operators; "": none */
	const char *failure_domain; /**< interned */
	const char *region;	    /**< interned; NULL: unknown domain */
	uint64_t hash;
	struct sockaddr_in relay;     /**< where it serves reads of the store */
	int64_t relay_unfit_until_ms; /**< see vms_mark_relay_unfit() */
	bool has_relay;
	bool cut_off; /**< it says that it can connect to no backend server */
	struct sockaddr_in handoff; /**< where it takes requests of other VMs */
	bool has_handoff;	    /**< false for builds that do not */
	uint32_t weight;	    /**< its processor share; 0: unknown */
	uint32_t link_mbps;	    /**< of its network link; 0: unknown */
};

/** What a VM registers in the store. */
struct vm_entry {
	const char *address; /**< "IP:port" for callers' requests */
	const char *failure_domain;
	const char *relay_address; /**< serves reads of the store; "": nowhere */
	const char *status_address;  /**< status and metrics; "": nowhere */
	const char *handoff_address; /**< takes requests of other VMs; "" or
				      * NULL: nowhere */
	uint32_t weight;    /**< processor share, thousandths of a core */
	bool cut_off;	    /**< can connect to no backend server */
	uint32_t link_mbps; /**< of its network link; 0: unknown */
};

struct vms;

struct vms *vms_new(const struct topology *topology);
void vms_free(struct vms *vms);

/** @return the JSON text to register for this VM, which the caller frees; NULL
 * on error. */
MUST_USE char *vms_encode_entry(const struct vm_entry *entry);

/** Adds or replaces a VM. Text that is invalid is logged once, counted and
 * ignored: what was known of the VM holds. */
void vms_put(struct vms *vms, const char *name, const char *text, size_t bytes);
void vms_remove(struct vms *vms, const char *name);

/** @return a number that rises with each change of the list. */
uint64_t vms_generation(const struct vms *vms);

/** @return all live VMs, as pointers to struct vm. */
const GPtrArray *vms_all(const struct vms *vms);

/**
 * Selects the VM of a failure domain that reads from the store for the others.
 * VMs with the same list select the same one.
 *
 * @param failure_domain interned.
 * @return the relay, or NULL.
 */
const struct vm *vms_select_relay(const struct vms *vms,
				  const char *failure_domain, int64_t now_ms);

/** Leaves a VM out of the choice of a relay until `until_ms`, or until it
 * registers again. */
void vms_mark_relay_unfit(struct vms *vms, const char *name, int64_t until_ms);

/** @return the number of live VMs that say they are cut off. */
uint32_t vms_count_cut_off(const struct vms *vms);

/** @return the number of live VMs in a region (an interned name). */
uint32_t vms_count_in_region(const struct vms *vms, const char *region);

#endif
