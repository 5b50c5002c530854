#include "decide/assign.h"

#include <math.h>
#include <stdlib.h>

#include "decide/rendezvous.h"

/* A VM's bound on servers, as a multiple of its share by weight. Without room
 * above the share, each server that comes or goes would push others from VM to
 * VM. */
#define SERVERS_MAX_FACTOR 1.25

static int compare_vms(const void *a, const void *b)
{
	const struct assign_vm *left = a;
	const struct assign_vm *right = b;

	if (left->score != right->score)
		return left->score > right->score ? -1 : 1;
	return left->hash < right->hash ? -1 : left->hash > right->hash;
}

static int compare_servers(const void *a, const void *b)
{
	const struct assign_server *left = a;
	const struct assign_server *right = b;

	return left->hash < right->hash ? -1 : left->hash > right->hash;
}

/* Sorts the VMs that are used to the front. @return their number. */
static uint32_t choose_vms(uint64_t group_hash, struct assign_vm *vms,
			   uint32_t vm_count, uint32_t server_count)
{
	uint32_t used = (server_count + ASSIGN_SERVERS_PER_VM - 1) /
			ASSIGN_SERVERS_PER_VM;
	double weights = 0;
	uint32_t i;

	used = used < vm_count ? used : vm_count;
	for (i = 0; i < vm_count; i++)
		vms[i].score =
			rendezvous_score(group_hash, vms[i].hash, vms[i].weight);
	qsort(vms, vm_count, sizeof(*vms), compare_vms);
	for (i = 0; i < used; i++)
		weights += vms[i].weight;
	for (i = 0; i < used; i++) {
		vms[i].server_count = 0;
		vms[i].servers_max =
			(uint32_t)ceil(SERVERS_MAX_FACTOR * server_count *
				       vms[i].weight / weights);
	}
	return used;
}

static struct assign_vm *choose_vm(uint64_t server_hash, struct assign_vm *vms,
				   uint32_t used)
{
	struct assign_vm *best = NULL;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < used; i++) {
		double score;

		if (vms[i].server_count >= vms[i].servers_max)
			continue;
		score = rendezvous_score(server_hash, vms[i].hash, vms[i].weight);
		if (best && score <= best_score)
			continue;
		best = &vms[i];
		best_score = score;
	}
	return best;
}

void assign_servers(uint64_t group_hash, struct assign_vm *vms, uint32_t vm_count,
		    struct assign_server *servers, uint32_t server_count)
{
	uint32_t used = choose_vms(group_hash, vms, vm_count, server_count);
	uint32_t i;

	qsort(servers, server_count, sizeof(*servers), compare_servers);
	for (i = 0; i < server_count; i++) {
		struct assign_vm *vm = choose_vm(servers[i].hash, vms, used);

		servers[i].vm = vm ? vm->index : ASSIGN_NONE;
		if (vm)
			vm->server_count++;
	}
}

uint32_t assign_object(uint64_t object_hash,
		       const struct assign_target *targets, uint32_t count)
{
	uint32_t best = ASSIGN_NONE;
	double best_score = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		double score;

		if (targets[i].excluded || targets[i].weight <= 0)
			continue;
		score = rendezvous_score(object_hash, targets[i].hash,
					 targets[i].weight);
		if (best != ASSIGN_NONE && score <= best_score)
			continue;
		best = i;
		best_score = score;
	}
	return best;
}
