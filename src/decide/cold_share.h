#ifndef DECIDE_COLD_SHARE_H
#define DECIDE_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Which entry VMs may send to a cold backend server, and how often.
 *
 * Load pattern: the servers of a failure domain come back together, cold, and
 * crash when all entry VMs fill them at once. A cold server bears few requests
 * a second over the whole fleet, so each is served by a few entry VMs that all
 * agree on by rendezvous hashing, those of its region first. Pure.
 */

struct cold_vm {
	uint64_t hash;
	bool near; /**< in the server's region */
};

/** Part of the bound that is used: lists of live VMs may differ for a while. */
#define COLD_SHARE_USED 0.6

/**
 * @param self_index this entry VM in `vms`.
 * @param bound_per_s requests in any second that the fleet may send.
 * @return shortest time between two requests of this VM in ms; 0: it may not
 * send at all.
 */
uint32_t cold_share_gap_ms(const struct cold_vm *vms, uint32_t count,
			   uint32_t self_index, uint64_t server_hash,
			   double bound_per_s);

#endif
