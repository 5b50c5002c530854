#include "decide/warmth.h"

#include <xxhash.h>

static uint64_t pair_hash(uint64_t object_hash, uint64_t server_hash)
{
	uint64_t hashes[2] = { object_hash, server_hash };

	return XXH3_64bits(hashes, sizeof(hashes));
}

void warmth_note(struct warmth *warmth, uint64_t object_hash,
		 uint64_t server_hash, int64_t now_ms)
{
	uint64_t pair = pair_hash(object_hash, server_hash);

	warmth->entries[pair % WARMTH_ENTRIES].pair = pair;
	warmth->entries[pair % WARMTH_ENTRIES].answered_ms = now_ms;
}

bool warmth_known(const struct warmth *warmth, uint64_t object_hash,
		  uint64_t server_hash, int64_t now_ms)
{
	uint64_t pair = pair_hash(object_hash, server_hash);

	return warmth->entries[pair % WARMTH_ENTRIES].pair == pair &&
	       now_ms - warmth->entries[pair % WARMTH_ENTRIES].answered_ms <
		       WARMTH_MS;
}
