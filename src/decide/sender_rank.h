#ifndef DECIDE_SENDER_RANK_H
#define DECIDE_SENDER_RANK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Ranks the entry VMs at a backend server that can take few requests from all
 * of them together. Rendezvous hashing: every VM computes the same order
 * without messages, and VMs that join or leave change it little. VMs of the
 * server's region come before the others. No I/O, no locking.
 */

struct sender_vm {
	uint64_t hash;
	bool local; /**< in the server's region */
};

/** Who sends to a server. */
enum sender_kind {
	SENDER_RANKED,	 /**< the VMs that are ranked first */
	SENDER_ASSIGNED, /**< this VM alone, which is assigned to the server */
	SENDER_NONE,	 /**< another VM alone */
};

/** Place of one entry VM among all at a server. */
struct sender_rank {
	enum sender_kind kind; /**< the rest is for SENDER_RANKED */
	bool local;
	uint32_t position;    /**< from 0, among VMs with the same `local` */
	uint32_t local_count; /**< VMs in the server's region */
	uint32_t other_count; /**< VMs in other regions */
};

struct sender_rank sender_rank_compute(const struct sender_vm *vms,
				       uint32_t count, uint32_t self_index,
				       uint64_t server_hash);

/** @return the number of VMs that come before this one; UINT32_MAX if it does
 * not send. */
uint32_t sender_rank_ahead(const struct sender_rank *rank);

#endif
