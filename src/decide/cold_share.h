#ifndef DECIDE_COLD_SHARE_H
#define DECIDE_COLD_SHARE_H

#include <stdint.h>

#include "decide/sender_rank.h"

/**
 * @file
 * Decides which entry VMs may send requests to a cold backend server, that is
 * one in its start-up phase, and how often.
 *
 * Load pattern: the servers of a failure domain restart together and crash if
 * all entry VMs send them full load at once. A cold server can handle only a
 * few requests per second from the whole fleet, so only the entry VMs that are
 * ranked first may send any; or, where a VM is assigned to the server, this VM
 * alone. No I/O, no locking.
 */

/**
 * Fraction of the limit that is used. The rest is a margin for periods in which
 * entry VMs have different lists of live VMs.
 */
#define COLD_SHARE_SAFETY_FACTOR 0.6

/**
 * @param rank of this entry VM at the server.
 * @param limit_per_s requests per second that the fleet may send to the server.
 * @return minimum interval between two requests of this VM, in ms; 0 if it must
 * not send any.
 */
uint32_t cold_share_min_interval_ms(const struct sender_rank *rank,
				    double limit_per_s);

#endif
