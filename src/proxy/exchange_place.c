#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "decide/cold_share.h"
#include "decide/place.h"
#include "proxy/belief.h"
#include "proxy/exchange_internal.h"

/* Servers of one service that are weighed; the largest service known has a few
 * hundred. */
#define CANDIDATES_MAX 1024

/* Part of the time to spare that may be spent waiting: what other entry VMs sent
 * in the last moments is in no report. Less urgent routes give way first. */
#define WAIT_SHARE_URGENT 0.8
#define WAIT_SHARE_OTHER 0.65
/* Part of the time until this process ends that a request taken while it stops
 * may be expected to need. */
#define STOP_USED 0.8
/* Reports of waiting requests count this long. */
#define REPORT_FRESH_MS 1000
/* Part of the bound on a region's shift that one second may use; the bound
 * holds for windows of two seconds. */
#define SHIFT_USED_PER_S 0.2

/* The loop has one thread: one set of rows serves every decision. */
static struct place_candidate candidates[CANDIDATES_MAX];
static struct server *candidate_servers[CANDIDATES_MAX];

bool exchange_has_tried(const struct exchange *e, const struct server *server)
{
	uint32_t i;

	for (i = 0; i < e->tried_count; i++)
		if (e->tried[i] == server)
			return true;
	return false;
}

/* Before answers tell: the operator's target is met with some room. */
static uint32_t guess_ms(const struct route *route)
{
	return route->target_latency_ms / 2;
}

struct route_state *exchange_route_state(const struct exchange *e)
{
	GHashTable *states = e->proxy->route_states;
	struct route_state *state = g_hash_table_lookup(states, e->route->name);

	if (!state) {
		state = g_new0(struct route_state, 1);
		service_time_init(&state->time, guess_ms(e->route));
		g_hash_table_insert(states, g_strdup(e->route->name), state);
	}
	return state;
}

struct service_state *exchange_service_state(const struct exchange *e)
{
	GHashTable *states = e->proxy->service_states;
	struct service_state *state =
		g_hash_table_lookup(states, e->service->name);

	if (!state) {
		state = g_new0(struct service_state, 1);
		service_time_init(&state->time, guess_ms(e->route));
		g_hash_table_insert(states, g_strdup(e->service->name), state);
	}
	return state;
}

struct retry_share_rule exchange_retry_rule(const struct exchange *e)
{
	const struct bounds *bounds = &e->proxy->bounds;
	struct retry_share_rule rule = {
		.ratio = bounds->retry_ratio,
		.extra = bounds->retry_extra,
		.window_ms = bounds->retry_window_ms,
		.vm_count = MAX(vms_all(e->proxy->vms)->len, 1),
	};

	return rule;
}

static bool in_home(const struct route *route, const struct server *server)
{
	uint32_t i;

	if (!route->home_region_count)
		return true;
	for (i = 0; server->region && i < route->home_region_count; i++)
		if (!strcmp(route->home_regions[i], server->region))
			return true;
	return false;
}

/* Whether a cold server may get one more request from this VM. */
static bool bears_one_more(const struct exchange *e,
			   const struct server *server, int64_t now_ms)
{
	const struct bounds *bounds = &e->proxy->bounds;
	const GPtrArray *all = vms_all(e->proxy->vms);
	static struct cold_vm rows[CANDIDATES_MAX];
	uint32_t self = UINT32_MAX;
	uint32_t gap_ms;
	guint i;

	if (server->cold_until_ms <= now_ms)
		return true;
	for (i = 0; i < all->len && i < CANDIDATES_MAX; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		rows[i].hash = vm->hash;
		rows[i].near = vm->region == server->region;
		if (!strcmp(vm->name, e->proxy->settings->name))
			self = i;
	}
	if (self == UINT32_MAX)
		return false;
	gap_ms = cold_share_gap_ms(rows, i, self, server->hash,
				   e->service->cold_per_s * bounds->cold_factor +
					   bounds->cold_extra);
	return gap_ms && now_ms - server->cold_sent_ms >= gap_ms;
}

/* Whether new requests of this route may go to the server at all. */
static bool is_open(const struct exchange *e, const struct server *server)
{
	return server_usable(server) && in_home(e->route, server) &&
	       !g_hash_table_contains(e->proxy->evacuated,
				      server->failure_domain);
}

static void view_server(const struct proxy *proxy, const struct server *server,
			struct spill_view *view, int64_t now_ms)
{
	if (!server_usable(server) || server->cold_until_ms > now_ms ||
	    g_hash_table_contains(proxy->evacuated, server->failure_domain))
		return;
	if (server->region != proxy->region) {
		view->far_slots += server->load.slots;
		view->far_load += load_estimate(&server->load, now_ms);
		return;
	}
	view->near_slots += server->load.slots;
	if (now_ms - server->load.reported_ms < REPORT_FRESH_MS)
		view->near_waiting += server->load.waiting;
}

void exchange_choose_side(struct exchange *e)
{
	const struct proxy *proxy = e->proxy;
	const GPtrArray *list = servers_of(proxy->servers, e->service->name);
	struct service_state *state = exchange_service_state(e);
	int64_t now_ms = proxy_now_ms(proxy);
	struct spill_view view = {
		.region_vms = MAX(vms_in(proxy->vms, proxy->region), 1),
		.domain_share = topology_share(&proxy->topology, proxy->region),
		.fast_ms = state->time.fast_ms,
		.uneven = e->route->sticky,
	};
	guint i;

	/* the share is the service's: a route that must stay in some regions
	 * says nothing about it */
	if (e->route->home_region_count)
		return;
	for (i = 0; i < list->len; i++)
		view_server(proxy, g_ptr_array_index(list, i), &view, now_ms);
	spill_request(&state->spill, &view,
		      proxy->bounds.shift_max * SHIFT_USED_PER_S, now_ms);
	e->away = spill_goes_away(&state->spill, e->object_hash);
}

static uint32_t collect(const struct exchange *e, int64_t now_ms)
{
	const GPtrArray *list = servers_of(e->proxy->servers, e->service->name);
	const uint32_t region_vms =
		MAX(vms_in(e->proxy->vms, e->proxy->region), 1);
	uint32_t count = 0;
	guint i;

	for (i = 0; i < list->len && count < CANDIDATES_MAX; i++) {
		struct server *server = g_ptr_array_index(list, i);
		struct place_candidate *row = &candidates[count];

		if (exchange_has_tried(e, server) || !is_open(e, server))
			continue;
		candidate_servers[count] = server;
		row->server_hash = server->hash;
		row->slots = server->load.slots;
		row->load = load_estimate(&server->load, now_ms);
		row->full = server->load.own >=
			    load_own_max(server->load.slots, region_vms);
		row->path_ms = server->path_ms;
		row->near = server->region == e->proxy->region;
		row->known = e->has_object &&
			     warmth_known(&e->proxy->warmth, e->object_hash,
					  server->hash, now_ms);
		row->cold = server->cold_until_ms > now_ms;
		row->missing = server->missing;
		row->avoid = server_avoided(server, now_ms);
		row->barred = !bears_one_more(e, server, now_ms);
		count++;
	}
	return count;
}

/* Longest wait at a server after which the answer still comes in the route's
 * target time. Callers of less urgent routes give way first. */
static uint32_t wait_max_ms(const struct exchange *e, uint32_t service_ms)
{
	uint32_t target_ms = e->route->target_latency_ms;
	uint32_t room_ms;

	if (e->returning_after_ms >= target_ms)
		return 0;
	target_ms -= e->returning_after_ms;
	room_ms = target_ms > service_ms ? target_ms - service_ms : 0;
	return (uint32_t)(room_ms * (e->route->most_urgent ? WAIT_SHARE_URGENT
							   : WAIT_SHARE_OTHER));
}

static void log_choice(const struct exchange *e,
		       const struct place_choice *choice, uint32_t count,
		       const struct place_request *request, const char *why_again)
{
	static const struct place_candidate nobody;
	bool sent = choice->verdict == PLACE_SEND;
	const struct server *server =
		sent ? candidate_servers[choice->index] : NULL;
	const struct place_candidate *row =
		sent ? &candidates[choice->index] : &nobody;
	const struct service_state *state = exchange_service_state(e);
	int64_t reported_ms = server ? server->load.reported_ms : 0;

	log_info("place",
		 "request is %s request=%s route=%s service=%s "
		 "object=%016" PRIx64 " server=%s load=%u slots=%u near=%d "
		 "report_age_ms=%" PRId64 " known=%d wait_ms=%u away=%d "
		 "away_share=%.2f rate_per_s=%.1f fast_ms=%.0f typical_ms=%u "
		 "slow_ms=%u wait_max_ms=%u candidates=%u list_age_ms=%" PRId64
		 " left_ms=%u must_end=%d again=%s",
		 sent ? "sent" : "not placed", e->id, e->route->name,
		 e->service->name, e->object_hash, server ? server->id : "-",
		 row->load, row->slots, row->near,
		 reported_ms ? proxy_now_ms(e->proxy) - reported_ms : -1,
		 row->known, choice->wait_ms, e->away, state->spill.away,
		 state->spill.rate_per_s, state->time.fast_ms,
		 request->typical_ms, request->slow_ms, request->wait_max_ms,
		 count, belief_servers_age_ms(e->proxy->belief),
		 request->time_left_ms, request->must_end,
		 why_again ? why_again : "-");
}

static uint32_t time_left_ms(int64_t until_ms, int64_t now_ms)
{
	return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static const char *refusal_text(const struct place_choice *choice,
				const struct place_request *request)
{
	if (choice->verdict == PLACE_NO_SERVER)
		return "no-server";
	return request->must_end ? "stopping" : "no-room";
}

/* A run that takes a little longer than usual is to end as well. */
static void must_end_in(struct place_request *request, uint32_t stop_ms)
{
	uint32_t usable_ms = (uint32_t)(stop_ms * STOP_USED);

	if (usable_ms < request->time_left_ms) {
		request->must_end = true;
		request->time_left_ms = usable_ms;
	}
}

struct server *exchange_place(struct exchange *e, const char *why_again,
			      const char **refusal)
{
	int64_t now_ms = proxy_now_ms(e->proxy);
	uint32_t count = collect(e, now_ms);
	const struct service_time *time = &exchange_route_state(e)->time;
	struct place_request request = {
		.object_hash = e->object_hash,
		.sticky = e->route->sticky && e->has_object,
		.away = e->away,
		.typical_ms = (uint32_t)time->typical_ms,
		.slow_ms = (uint32_t)time->slow_ms,
		.wait_max_ms = wait_max_ms(e, (uint32_t)time->typical_ms),
		.time_left_ms = time_left_ms(e->deadline_ms, now_ms),
	};
	struct place_choice choice;
	struct server *server;

	if (e->proxy->stopping)
		must_end_in(&request,
			    time_left_ms(e->proxy->stops_at_ms, now_ms));
	choice = place_choose(candidates, count, &request);
	log_choice(e, &choice, count, &request, why_again);
	if (choice.verdict != PLACE_SEND) {
		e->wait_ms = choice.wait_ms;
		*refusal = refusal_text(&choice, &request);
		return NULL;
	}
	server = candidate_servers[choice.index];
	e->known_there = candidates[choice.index].known;
	e->expected_ms = choice.wait_ms + candidates[choice.index].path_ms +
			 request.typical_ms;
	if (server->cold_until_ms > now_ms)
		server->cold_sent_ms = now_ms;
	e->tried[e->tried_count++] = server_hold(server);
	return server;
}
