#ifndef DECIDE_RECENT_OBJECTS_H
#define DECIDE_RECENT_OBJECTS_H

#include <stdint.h>

/**
 * @file
 * The objects of the last requests to a backend server, in order, as known to
 * the only VM that sends to it. How many of them the server has cached is
 * estimated by decide/cache_depth. No I/O, no locking.
 */

/** More than servers were seen to cache: 10 to 15 at some services, 27 and more
 * at others. */
#define RECENT_OBJECTS_MAX 48
/** Position of an object that is not among them. */
#define RECENT_OBJECTS_ABSENT UINT32_MAX

/** All zeros: none. */
struct recent_objects {
	uint64_t hashes[RECENT_OBJECTS_MAX]; /**< most recent first */
	uint32_t count;
};

/** Records that a request for the object was sent to the server. */
void recent_objects_record(struct recent_objects *objects, uint64_t object_hash);

/** Records that the server refused a request for the object, so that it did not
 * load it. */
void recent_objects_remove(struct recent_objects *objects, uint64_t object_hash);

/** @return the number of other objects that were requested since, or
 * RECENT_OBJECTS_ABSENT. */
uint32_t recent_objects_position(const struct recent_objects *objects,
				 uint64_t object_hash);

#endif
