#ifndef DECIDE_RANK_H
#define DECIDE_RANK_H

#include <stdint.h>

/**
 * @file
 * Order of preference among entry VMs for a caller block, by rendezvous
 * hashing: a VM that comes or goes changes the answer only for its own blocks.
 */

struct rank_candidate {
	uint64_t name_hash;	 /**< rank_hash() of the VM's name */
	uint32_t failure_domain; /**< any number that is equal within one */
	uint32_t index;		 /**< the caller's own number for the VM */
};

/** @return a hash of a name or block. */
uint64_t rank_hash(const char *text);

/**
 * Puts the best candidates first; the second comes from another failure domain
 * than the first where there is one.
 *
 * @param chosen receives up to `chosen_max` values of `index`.
 * @return how many were chosen.
 */
uint32_t rank_choose(const struct rank_candidate *candidates, uint32_t count,
		     uint64_t block_hash, uint32_t *chosen, uint32_t chosen_max);

#endif
