#ifndef DECIDE_QUOTA_CHOICE_H
#define DECIDE_QUOTA_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Chooses the VM that coordinates the quotas of workspaces. VMs with the same
 * list choose the same one, and a VM that joins or leaves changes the choice
 * only if it is chosen itself. No I/O, no locking.
 */

struct quota_candidate {
	uint64_t hash;
	uint32_t weight; /**< processor share */
	bool takes_part;
	bool excluded; /**< did not answer this VM */
};

/** No VM takes part. */
#define QUOTA_CHOICE_NONE UINT32_MAX

struct quota_choice {
	uint32_t index; /**< the coordinator, or QUOTA_CHOICE_NONE */
	bool displaced; /**< the first choice is excluded */
};

/** Chooses among the VMs with the highest weight that are not excluded. */
struct quota_choice quota_choose(const struct quota_candidate *vms,
				 uint32_t count);

#endif
