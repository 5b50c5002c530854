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
	uint32_t others_max; /**< VMs of other regions that are named too */
	bool cut_off;	     /**< also names VMs that are cut off */
};

/**
 * Leaves out VMs that are cut off while others are left. If under half of the
 * region's VMs are left, as many of other regions as are missing up to a half
 * share their load: each VM that is lost moves a small part of the callers.
 */
struct naming naming_choose(const struct naming_counts *counts);

#endif
