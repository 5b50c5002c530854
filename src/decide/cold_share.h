#ifndef DECIDE_COLD_SHARE_H
#define DECIDE_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Decides which entry VMs may send requests to a cold backend server, that is
 * one in its start-up phase, and how often.
 *
 * Load pattern: the servers of a failure domain restart together and crash if
 * all entry VMs send them full load at once. A cold server can handle only a
 * few requests per second from the whole fleet. Rendezvous hashing therefore
 * assigns a few entry VMs to each cold server, first those of its region, and
 * all entry VMs compute the same assignment. No I/O, no locking.
 */

struct cold_share_vm {
	uint64_t hash;
	bool local; /**< in the server's region */
};

/**
 * Fraction of the limit that is used. The rest is a margin for periods in which
 * entry VMs have different lists of live VMs.
 */
#define COLD_SHARE_SAFETY_FACTOR 0.6

/**
 * @param self_index index of this entry VM in `vms`.
 * @param limit_per_s requests per second that the fleet may send to the server.
 * @return minimum interval between two requests of this VM, in ms; 0 if it must
 * not send any.
 */
uint32_t cold_share_min_interval_ms(const struct cold_share_vm *vms,
				    uint32_t count, uint32_t self_index,
				    uint64_t server_hash, double limit_per_s);

#endif
