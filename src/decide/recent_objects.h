#ifndef DECIDE_RECENT_OBJECTS_H
#define DECIDE_RECENT_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The objects that a backend server has cached, as known to the only VM that
 * sends to it: those of the last requests. No I/O, no locking.
 */

/** Servers cache the last 10 to 15 objects. */
#define RECENT_OBJECTS_MAX 10

/** All zeros: none. */
struct recent_objects {
	uint64_t hashes[RECENT_OBJECTS_MAX]; /**< most recent first */
	uint32_t count;
};

/** Records that a request for the object was sent to the server. */
void recent_objects_record(struct recent_objects *objects, uint64_t object_hash);

bool recent_objects_contain(const struct recent_objects *objects,
			    uint64_t object_hash);

#endif
