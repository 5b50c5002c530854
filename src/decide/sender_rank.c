#include "decide/sender_rank.h"

#include <xxhash.h>

static uint64_t rendezvous_score(uint64_t vm_hash, uint64_t server_hash)
{
	uint64_t pair[2] = { vm_hash, server_hash };

	return XXH3_64bits(pair, sizeof(pair));
}

struct sender_rank sender_rank_compute(const struct sender_vm *vms,
				       uint32_t count, uint32_t self_index,
				       uint64_t server_hash)
{
	uint64_t self_score = rendezvous_score(vms[self_index].hash, server_hash);
	struct sender_rank rank = { .local = vms[self_index].local };
	uint32_t i;

	for (i = 0; i < count; i++) {
		rank.local_count += vms[i].local;
		rank.other_count += !vms[i].local;
		if (i != self_index && vms[i].local == rank.local)
			rank.position +=
				rendezvous_score(vms[i].hash, server_hash) >
				self_score;
	}
	return rank;
}

uint32_t sender_rank_ahead(const struct sender_rank *rank)
{
	if (rank->kind == SENDER_NONE)
		return UINT32_MAX;
	return rank->position + (rank->local ? 0 : rank->local_count);
}
