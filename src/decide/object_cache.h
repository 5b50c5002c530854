#ifndef DECIDE_OBJECT_CACHE_H
#define DECIDE_OBJECT_CACHE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Tracks which backend servers probably have which objects cached: a server
 * that has recently responded to a request for an object runs the next one
 * faster. A hash table of fixed size, in which a new pair of object and server
 * overwrites another one with the same index. No I/O, no locking.
 */

#define OBJECT_CACHE_ENTRIES 4096
/** Time after which a server may have evicted the object. */
#define OBJECT_CACHE_TTL_MS 15000

struct object_cache {
	struct {
		uint64_t pair;
		int64_t answered_ms;
	} entries[OBJECT_CACHE_ENTRIES];
};

/** Records that the server responded to a request for the object. */
void object_cache_record(struct object_cache *object_cache, uint64_t object_hash,
			 uint64_t server_hash, int64_t now_ms);
/** @return whether the server probably still has the object cached. */
bool object_cache_contains(const struct object_cache *object_cache,
			   uint64_t object_hash, uint64_t server_hash,
			   int64_t now_ms);

#endif
