#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include <stdint.h>

/**
 * @file
 * Ranks entry VMs for a caller block by rendezvous hashing: adding or removing
 * a VM changes the result only for the blocks assigned to that VM.
 */

struct rank_candidate {
	uint64_t name_hash;	 /**< rank_hash() of the VM's name */
	uint32_t failure_domain; /**< equal for all VMs of one domain */
	uint32_t index;		 /**< the VM's number, returned as the result */
};

/** @return the hash of a VM name, server name or caller block. */
uint64_t rank_hash(const char *text);

/**
 * Chooses the best candidates for a block, best first. The second one is in
 * another failure domain than the first, if there is one.
 *
 * @param chosen receives up to `chosen_max` values of `index`.
 * @return the number of chosen candidates.
 */
uint32_t rank_choose(const struct rank_candidate *candidates, uint32_t count,
		     uint64_t block_hash, uint32_t *chosen, uint32_t chosen_max);

#endif
