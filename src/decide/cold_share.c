#include "decide/cold_share.h"

#include <xxhash.h>

#include "base/clock.h"

static uint64_t rendezvous_score(uint64_t vm_hash, uint64_t server_hash)
{
	uint64_t pair[2] = { vm_hash, server_hash };

	return XXH3_64bits(pair, sizeof(pair));
}

uint32_t cold_share_min_interval_ms(const struct cold_share_vm *vms,
				    uint32_t count, uint32_t self_index,
				    uint64_t server_hash, double limit_per_s)
{
	const uint32_t allowed =
		(uint32_t)(limit_per_s * COLD_SHARE_SAFETY_FACTOR);
	uint64_t self_score = rendezvous_score(vms[self_index].hash, server_hash);
	uint32_t ahead = 0;
	uint32_t i;

	if (!allowed)
		return 0;
	if (count <= allowed)
		return (uint32_t)MS_PER_S / (allowed / count);
	for (i = 0; i < count; i++) {
		if (i == self_index)
			continue;
		if (vms[i].local != vms[self_index].local)
			ahead += vms[i].local;
		else
			ahead += rendezvous_score(vms[i].hash, server_hash) >
				 self_score;
	}
	return ahead < allowed ? (uint32_t)MS_PER_S : 0;
}
