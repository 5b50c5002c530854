#include <stdlib.h>
#include <xxhash.h>

#include "base/clock.h"
#include "decide/place.h"
#include "fleet_model_internal.h"

/**
 * @file
 * Placement policies of the fleet model, and the views of its entry VMs.
 */

/* As in the entry VM: a second may use a fifth of the bound on a region's
 * shift, and a wait may use this part of the time to spare. */
#define SHIFT_MAX_PER_S 0.03
#define WAIT_SHARE 0.7
#define REPORT_MAX_AGE_MS 1000

bool fleet_cache_access(struct fleet_server *server, uint64_t object,
			uint32_t capacity)
{
	GList *link = server->objects.head;
	uint64_t *copy;

	while (link && *(uint64_t *)link->data != object)
		link = link->next;
	if (link) {
		g_queue_unlink(&server->objects, link);
		g_queue_push_head_link(&server->objects, link);
		return true;
	}
	copy = g_new(uint64_t, 1);
	*copy = object;
	g_queue_push_head(&server->objects, copy);
	if (g_queue_get_length(&server->objects) > capacity)
		g_free(g_queue_pop_tail(&server->objects));
	return false;
}

static void sum_region_loads(const struct fleet *fleet, const struct fleet_vm *vm,
			     struct spillover_view *view)
{
	uint32_t i;

	for (i = 0; i < fleet->server_count; i++) {
		const struct fleet_server *server = &fleet->servers[i];
		const struct load_view *load = &vm->loads[i];

		if (server->is_lost)
			continue;
		if (server->region != vm->region) {
			view->remote_slots += fleet->pattern->slots;
			view->remote_load += load_estimate(load, fleet->now_ms);
			continue;
		}
		view->local_slots += fleet->pattern->slots;
		if (fleet->now_ms - load->reported_ms < REPORT_MAX_AGE_MS)
			view->local_waiting += load->waiting;
	}
}

/** Counts the request. @return whether it is to run in another region. */
static bool should_spill_over(struct fleet *fleet, struct fleet_vm *vm,
			      uint64_t object)
{
	const struct fleet_pattern *pattern = fleet->pattern;
	struct spillover_view view = {
		.region_vms = pattern->regions[vm->region].vms,
		.domain_share = 1.0 / pattern->region_count,
		.fast_ms = vm->run_times.fast_ms,
		.uneven = true,
	};

	sum_region_loads(fleet, vm, &view);
	spillover_count_request(&vm->spillover, &view, SHIFT_MAX_PER_S,
				fleet->now_ms);
	return spillover_is_remote(&vm->spillover, object);
}

static bool place_auburnreach(struct fleet *fleet, struct fleet_call *call)
{
	static struct place_candidate candidates[FLEET_REGIONS_MAX * 400];
	const struct fleet_pattern *pattern = fleet->pattern;
	struct fleet_vm *vm = &fleet->vms[call->vm];
	struct place_request request = {
		.object_hash = call->object,
		.sticky = true,
		.remote = should_spill_over(fleet, vm, call->object),
		.typical_ms = (uint32_t)vm->run_times.typical_ms,
		.slow_ms = (uint32_t)vm->run_times.slow_ms,
		.wait_max_ms = vm->run_times.typical_ms < pattern->target_ms
				       ? (uint32_t)(WAIT_SHARE *
						    (pattern->target_ms -
						     vm->run_times.typical_ms))
				       : 0,
		.remaining_ms = pattern->timeout_ms,
	};
	const uint32_t region_vms = pattern->regions[vm->region].vms;
	struct place_choice choice;
	uint32_t i;

	for (i = 0; i < fleet->server_count; i++) {
		const struct fleet_server *server = &fleet->servers[i];

		candidates[i] = (struct place_candidate){
			.server_hash = server->hash,
			.slots = pattern->slots,
			.load = load_estimate(&vm->loads[i], fleet->now_ms),
			.own_limit_reached =
				vm->loads[i].own_requests >=
				load_max_own_requests(pattern->slots, region_vms),
			.local = server->region == vm->region,
			.rtt_ms = server->region == vm->region ? 1
							       : pattern->rtt_ms,
			.cached = object_cache_contains(&vm->object_cache,
							call->object, server->hash,
							fleet->now_ms),
			.excluded = server->is_lost,
		};
	}
	choice = place_choose(candidates, fleet->server_count, &request);
	call->server = choice.index;
	return choice.result == PLACE_SEND;
}

static double hash_score(const struct fleet_server *server, uint64_t object)
{
	uint64_t pair[2] = { object, server->hash };

	return (double)XXH3_64bits(pair, sizeof(pair));
}

/* Policies used for comparison leave the region only if it has no server. */
static bool is_candidate(const struct fleet *fleet, const struct fleet_vm *vm,
			 uint32_t i, bool local_only)
{
	return !fleet->servers[i].is_lost &&
	       (!local_only || fleet->servers[i].region == vm->region);
}

static bool place_by_score(struct fleet *fleet, struct fleet_call *call,
			   bool local_only)
{
	const struct fleet_vm *vm = &fleet->vms[call->vm];
	double best = -1e300;
	bool found = false;
	uint32_t i;

	for (i = 0; i < fleet->server_count; i++) {
		uint32_t load = load_estimate(&vm->loads[i], fleet->now_ms);
		double score = hash_score(&fleet->servers[i], call->object);

		if (!is_candidate(fleet, vm, i, local_only))
			continue;
		if (fleet->policy == FLEET_LEAST_LOADED)
			score = -(double)load + score / 1e20;
		else if (fleet->policy == FLEET_HASH_OVERFLOW &&
			 load >= fleet->pattern->slots)
			score -= 1e20 * load;
		if (found && score <= best)
			continue;
		found = true;
		best = score;
		call->server = i;
	}
	return found;
}

bool fleet_place(struct fleet *fleet, struct fleet_call *call)
{
	if (fleet->policy == FLEET_AUBURNREACH)
		return place_auburnreach(fleet, call);
	return place_by_score(fleet, call, true) ||
	       place_by_score(fleet, call, false);
}

void fleet_finish_call(struct fleet *fleet, struct fleet_call *call,
		       bool responded)
{
	struct fleet_vm *vm = &fleet->vms[call->vm];
	struct fleet_server *server = &fleet->servers[call->server];
	uint32_t waiting = g_queue_get_length(&server->waiting);

	load_record_finished(&vm->loads[call->server]);
	if (responded) {
		load_record_report(&vm->loads[call->server], server->running,
				   waiting, fleet->now_ms);
		object_cache_record(&vm->object_cache, call->object,
				    server->hash, fleet->now_ms);
		if (!waiting)
			service_time_record(&vm->run_times,
					    fleet->now_ms - call->arrived_ms -
						    call->rtt_ms / 2);
	}
	g_free(call);
}

struct fleet *fleet_new(const struct fleet_pattern *pattern,
			enum fleet_policy policy, uint32_t seed)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	uint32_t r;
	uint32_t i;

	fleet->pattern = pattern;
	fleet->policy = policy;
	fleet->random = g_rand_new_with_seed(seed);
	fleet->steps = g_sequence_new(g_free);
	fleet->now_ms = FLEET_START_MS;
	fleet->last_quarter_ms = FLEET_START_MS + pattern->duration_ms * 3 / 4;
	for (r = 0; r < pattern->region_count; r++) {
		fleet->regions[r].first_server = fleet->server_count;
		fleet->regions[r].first_vm = fleet->vm_count;
		fleet->regions[r].arrivals_per_s =
			pattern->regions[r].requests_per_s;
		fleet->server_count += pattern->regions[r].servers;
		fleet->vm_count += pattern->regions[r].vms;
	}
	fleet->servers = g_new0(struct fleet_server, fleet->server_count + 1);
	fleet->vms = g_new0(struct fleet_vm, fleet->vm_count);
	for (r = 0; r < pattern->region_count; r++) {
		for (i = 0; i < pattern->regions[r].servers; i++)
			fleet->servers[fleet->regions[r].first_server + i].region =
				r;
		for (i = 0; i < pattern->regions[r].vms; i++)
			fleet->vms[fleet->regions[r].first_vm + i].region = r;
	}
	for (i = 0; i < fleet->server_count; i++)
		fleet->servers[i].hash =
			XXH3_64bits_withSeed(&i, sizeof(i), seed);
	for (i = 0; i < fleet->vm_count; i++) {
		fleet->vms[i].loads =
			g_new0(struct load_view, fleet->server_count + 1);
		service_time_init(&fleet->vms[i].run_times,
				  pattern->target_ms / 2);
	}
	return fleet;
}

static void free_step_call(gpointer data, gpointer context)
{
	(void)context;
	g_free(((struct fleet_step *)data)->call);
}

void fleet_free(struct fleet *fleet)
{
	uint32_t i;

	g_sequence_foreach(fleet->steps, free_step_call, NULL);
	g_sequence_free(fleet->steps);
	for (i = 0; i < fleet->server_count; i++) {
		g_queue_clear_full(&fleet->servers[i].waiting, g_free);
		g_queue_clear_full(&fleet->servers[i].objects, g_free);
	}
	for (i = 0; i < fleet->vm_count; i++)
		g_free(fleet->vms[i].loads);
	g_rand_free(fleet->random);
	g_free(fleet->servers);
	g_free(fleet->vms);
	g_free(fleet);
}
