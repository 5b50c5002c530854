#include "decide/rendezvous.h"

#include <math.h>
#include <xxhash.h>

double rendezvous_score(uint64_t key_hash, uint64_t node_hash, double weight)
{
	uint64_t pair[2] = { key_hash, node_hash };
	uint64_t hash = XXH3_64bits(pair, sizeof(pair));
	double unit = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;

	return -weight / log(unit);
}
