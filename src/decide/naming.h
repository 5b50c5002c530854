#ifndef DECIDE_NAMING_H
#define DECIDE_NAMING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Decides which entry VMs the directory names to a caller: live ones of its
 * region, without those that are cut off from all backend servers. No I/O.
 */

/** Numbers of live entry VMs. */
struct naming_counts {
	uint32_t region;       /**< in the caller's region */
	uint32_t region_sound; /**< of these, not cut off */
	uint32_t all;
	uint32_t all_sound;
};

struct naming {
	bool other_regions; /**< also names VMs of other regions */
	bool cut_off;	    /**< also names VMs that are cut off */
};

/**
 * Leaves out VMs that are cut off while others are left. If under half of the
 * region's VMs are left, VMs of other regions share their load.
 */
struct naming naming_choose(const struct naming_counts *counts);

#endif
