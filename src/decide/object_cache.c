#include "decide/object_cache.h"

#include <xxhash.h>

static uint64_t pair_hash(uint64_t object_hash, uint64_t server_hash)
{
	uint64_t hashes[2] = { object_hash, server_hash };

	return XXH3_64bits(hashes, sizeof(hashes));
}

void object_cache_record(struct object_cache *object_cache, uint64_t object_hash,
			 uint64_t server_hash, int64_t now_ms)
{
	uint64_t pair = pair_hash(object_hash, server_hash);

	object_cache->entries[pair % OBJECT_CACHE_ENTRIES].pair = pair;
	object_cache->entries[pair % OBJECT_CACHE_ENTRIES].answered_ms = now_ms;
}

bool object_cache_contains(const struct object_cache *object_cache,
			   uint64_t object_hash, uint64_t server_hash,
			   int64_t now_ms)
{
	uint64_t pair = pair_hash(object_hash, server_hash);

	return object_cache->entries[pair % OBJECT_CACHE_ENTRIES].pair == pair &&
	       now_ms - object_cache->entries[pair % OBJECT_CACHE_ENTRIES].answered_ms <
		       OBJECT_CACHE_TTL_MS;
}
