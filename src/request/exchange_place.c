#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "decide/cold_share.h"
#include "decide/place.h"
#include "request/exchange_internal.h"
#include "request/exchange_own.h"
#include "sync/reach_watch.h"
#include "sync/sender.h"
#include "sync/server_limits.h"
#include "sync/store_sync.h"

/* Limit on the candidate servers of one service; the largest known service has
 * a few hundred. */
#define CANDIDATES_MAX 1024

/* Share of the slack before the target latency that a request may spend
 * waiting. The rest covers requests that other entry VMs sent since the last
 * load reports. Less urgent routes get a smaller share, so that they are
 * refused first. */
#define WAIT_SHARE_URGENT 0.8
#define WAIT_SHARE_OTHER 0.65
/* Share of the time until this process exits that a request accepted during
 * shutdown may be expected to need. */
#define SHUTDOWN_TIME_SHARE 0.8
/* Reported queue lengths are ignored after this time. */
#define REPORT_FRESH_MS 1000
/* Share of the bound on a region's shift used per second; the bound applies to
 * windows of two seconds. */
#define SHIFT_SHARE_PER_S 0.2

/* Static because all selections run on the event loop's only thread. */
static struct place_candidate candidates[CANDIDATES_MAX];
static struct server *candidate_servers[CANDIDATES_MAX];

bool exchange_has_tried(const struct exchange *e, const struct server *server)
{
	uint32_t i;

	for (i = 0; i < e->tried_count; i++)
		if (e->tried_servers[i] == server)
			return true;
	return false;
}

/* Initial estimate of the run time, until responses are measured. Half of the
 * operator's target leaves room for waiting. */
static uint32_t initial_estimate_ms(const struct route *route)
{
	return route->target_latency_ms / 2;
}

struct route_state *exchange_route_state(const struct exchange *e)
{
	GHashTable *states = e->proxy->route_states;
	struct route_state *state = g_hash_table_lookup(states, e->route->name);

	if (!state) {
		state = g_new0(struct route_state, 1);
		service_time_init(&state->time, initial_estimate_ms(e->route));
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
		service_time_init(&state->time, initial_estimate_ms(e->route));
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

uint32_t exchange_priority(const struct exchange *e)
{
	return e->workspace && e->workspace->has_priority ? e->workspace->priority
							  : e->route->priority;
}

static bool is_home_region(char *const *homes, uint32_t count, const char *region)
{
	uint32_t i;

	if (!count)
		return true;
	for (i = 0; region && i < count; i++)
		if (!strcmp(homes[i], region))
			return true;
	return false;
}

bool exchange_allows_region(const struct exchange *e, const char *region)
{
	const struct workspace *workspace = e->workspace;

	return is_home_region(e->route->home_regions,
			      e->route->home_region_count, region) &&
	       (!workspace ||
		is_home_region(workspace->home_regions,
			       workspace->home_region_count, region));
}

/* Whether this VM may send a request to the server now. Limits the rate only of
 * cold servers. */
static bool has_cold_allowance(const struct exchange *e, struct server *server,
			       int64_t now_ms)
{
	const struct bounds *bounds = &e->proxy->bounds;
	const struct sender_rank *rank;
	uint32_t interval_ms;

	if (server->cold_until_ms <= now_ms)
		return true;
	rank = sender_rank_at(e->proxy, server);
	if (!rank)
		return false;
	interval_ms = cold_share_min_interval_ms(
		rank, e->service->cold_requests_per_s * bounds->cold_factor +
			      bounds->cold_extra);
	return interval_ms && now_ms - server->cold_sent_ms >= interval_ms;
}

/* Whether the server accepts new requests of this route. */
static bool is_eligible(const struct exchange *e, const struct server *server)
{
	return server_is_usable(server) &&
	       exchange_allows_region(e, server->region) &&
	       !g_hash_table_contains(e->proxy->evacuated,
				      server->failure_domain);
}

static void add_to_view(const struct proxy *proxy, const struct server *server,
			struct spillover_view *view, int64_t now_ms)
{
	const uint32_t slots = server_limits_usable_slots(server, view->fast_ms);

	if (!server_is_usable(server) || server->cold_until_ms > now_ms ||
	    g_hash_table_contains(proxy->evacuated, server->failure_domain))
		return;
	if (server->region != proxy->region) {
		view->remote_slots += slots;
		view->remote_load += load_estimate(&server->load, now_ms);
		return;
	}
	view->local_slots += server->load.slots;
	view->local_unused_slots += server->load.slots - slots;
	if (now_ms - server->load.reported_ms < REPORT_FRESH_MS)
		view->local_waiting += server->load.waiting;
}

void exchange_choose_region(struct exchange *e)
{
	const struct proxy *proxy = e->proxy;
	const GPtrArray *list =
		servers_for_service(proxy->servers, e->service->name);
	struct service_state *state = exchange_service_state(e);
	int64_t now_ms = proxy_now_ms(proxy);
	struct spillover_view view = {
		.region_vms =
			MAX(vms_count_in_region(proxy->vms, proxy->region), 1),
		.domain_share =
			topology_region_share(&proxy->topology, proxy->region),
		.fast_ms = state->time.fast_ms,
		.uneven = e->route->sticky,
	};
	guint i;

	/* the spillover share belongs to the service: a route restricted to
	 * some regions is not counted */
	if (e->route->home_region_count)
		return;
	for (i = 0; i < list->len; i++)
		add_to_view(proxy, g_ptr_array_index(list, i), &view, now_ms);
	spillover_count_request(&state->spillover, &view,
				proxy->bounds.shift_max * SHIFT_SHARE_PER_S,
				now_ms);
	e->spilled_over = spillover_is_remote(&state->spillover, e->object_hash);
}

static uint32_t ms_until(int64_t until_ms, int64_t now_ms)
{
	return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static uint32_t collect_candidates(const struct exchange *e, int64_t now_ms)
{
	const GPtrArray *list =
		servers_for_service(e->proxy->servers, e->service->name);
	const uint32_t region_vms =
		MAX(vms_count_in_region(e->proxy->vms, e->proxy->region), 1);
	uint32_t count = 0;
	guint i;

	for (i = 0; i < list->len && count < CANDIDATES_MAX; i++) {
		struct server *server = g_ptr_array_index(list, i);
		struct place_candidate *candidate = &candidates[count];

		if (!is_eligible(e, server))
			continue;
		candidate_servers[count] = server;
		candidate->server_hash = server->hash;
		candidate->slots = server->load.slots;
		candidate->load = load_estimate(&server->load, now_ms);
		candidate->own_limit_reached =
			server->load.own_requests >=
			load_max_own_requests(server->load.slots, region_vms);
		candidate->rtt_ms = server->rtt_ms;
		candidate->local = server->region == e->proxy->region;
		candidate->cached = e->has_object &&
				    object_cache_contains(&e->proxy->object_cache,
							  e->object_hash,
							  server->hash, now_ms);
		candidate->cold = server->cold_until_ms > now_ms;
		candidate->missing = server->missing;
		candidate->avoid = server_is_avoided(server, now_ms);
		candidate->excluded =
			exchange_has_tried(e, server) ||
			!reach_watch_may_send(e->proxy->reach, server) ||
			!has_cold_allowance(e, server, now_ms);
		candidate->busy_ms =
			MAX(ms_until(server->busy_until_ms, now_ms),
			    server_limits_wait_ms(e->proxy, server, now_ms));
		count++;
	}
	return count;
}

/* Longest wait at a server that still meets the route's target latency. Less
 * urgent routes get a smaller share, so that they are refused first. */
static uint32_t wait_max_ms(const struct exchange *e, uint32_t service_ms)
{
	uint32_t target_ms = e->route->target_latency_ms;
	uint32_t slack_ms;

	if (e->first_request_age_ms >= target_ms)
		return 0;
	target_ms -= e->first_request_age_ms;
	slack_ms = target_ms > service_ms ? target_ms - service_ms : 0;
	return (uint32_t)(slack_ms * (e->route->is_top_priority
					      ? WAIT_SHARE_URGENT
					      : WAIT_SHARE_OTHER));
}

static void log_choice(const struct exchange *e,
		       const struct place_choice *choice, uint32_t count,
		       const struct place_request *request,
		       const char *retry_reason)
{
	static const struct place_candidate no_candidate;
	bool sent = choice->result == PLACE_SEND;
	const struct server *server =
		sent ? candidate_servers[choice->index] : NULL;
	const struct place_candidate *candidate =
		sent ? &candidates[choice->index] : &no_candidate;
	const struct service_state *state = exchange_service_state(e);
	int64_t reported_ms = server ? server->load.reported_ms : 0;

	log_info("place",
		 "request is %s request=%s route=%s service=%s "
		 "object=%016" PRIx64 " server=%s load=%u slots=%u near=%d "
		 "report_age_ms=%" PRId64 " known=%d wait_ms=%u away=%d "
		 "away_share=%.2f rate_per_s=%.1f fast_ms=%.0f typical_ms=%u "
		 "slow_ms=%u wait_max_ms=%u candidates=%u list_age_ms=%" PRId64
		 " left_ms=%u must_end=%d exit_in_ms=%" PRId64
		 " limit_per_s=%.2f again=%s waited_ms=%u",
		 sent ? "sent" : "not placed", e->id, e->route->name,
		 e->service->name, e->object_hash, server ? server->id : "-",
		 candidate->load, candidate->slots, candidate->local,
		 reported_ms ? proxy_now_ms(e->proxy) - reported_ms : -1,
		 candidate->cached, choice->wait_ms, e->spilled_over,
		 state->spillover.remote_share, state->spillover.rate_per_s,
		 state->time.fast_ms, request->typical_ms, request->slow_ms,
		 request->wait_max_ms, count,
		 store_sync_servers_age_ms(e->proxy->store_sync),
		 request->remaining_ms, request->must_end,
		 e->proxy->stopping
			 ? e->proxy->exit_deadline_ms - proxy_now_ms(e->proxy)
			 : -1,
		 server && server_limit_is_named(&server->limit)
			 ? server->limit.known.per_s
			 : -1,
		 retry_reason ? retry_reason : "-", e->waited_ms);
}

static const char *refusal_text(const struct place_choice *choice,
				const struct place_request *request)
{
	if (choice->result == PLACE_NO_SERVER)
		return "no-server";
	if (choice->wait_is_stated)
		return "servers-pause";
	return request->must_end ? "stopping" : "no-room";
}

/* Requires the request to end before this process exits, with a margin for runs
 * that take a little longer than usual.
 *
 * @param must_end whether its deadline is the exit already: compared with the
 * margin, a short rest would look like a deadline of the caller. */
static void limit_to_shutdown(struct place_request *request, uint32_t stop_ms,
			      bool must_end)
{
	uint32_t usable_ms = (uint32_t)(stop_ms * SHUTDOWN_TIME_SHARE);

	request->must_end = must_end || usable_ms < request->remaining_ms;
	request->remaining_ms = MIN(request->remaining_ms, usable_ms);
}

void exchange_record_selected(struct exchange *e, struct server *server,
			      bool object_cached, uint32_t expected_latency_ms)
{
	int64_t now_ms = proxy_now_ms(e->proxy);

	e->object_cached = object_cached;
	e->expected_latency_ms = expected_latency_ms;
	if (server->cold_until_ms > now_ms)
		server->cold_sent_ms = now_ms;
	server_limits_count_sent(server);
	e->tried_servers[e->tried_count++] = server_ref(server);
}

struct server *exchange_select_server(struct exchange *e,
				      const char *retry_reason,
				      const char **refusal)
{
	int64_t now_ms = proxy_now_ms(e->proxy);
	uint32_t count;
	const struct service_time *time = &exchange_route_state(e)->time;
	struct place_request request = {
		.object_hash = e->object_hash,
		.sticky = e->route->sticky && e->has_object,
		.remote = e->spilled_over,
		.typical_ms = (uint32_t)time->typical_ms,
		.slow_ms = (uint32_t)time->slow_ms,
		.wait_max_ms = wait_max_ms(e, (uint32_t)time->typical_ms),
		.remaining_ms = ms_until(e->deadline_ms, now_ms),
	};
	struct place_choice choice;
	struct server *server;

	if (exchange_select_own(e, &server, refusal))
		return server;
	count = collect_candidates(e, now_ms);
	if (e->proxy->stopping)
		limit_to_shutdown(&request,
				  ms_until(e->proxy->exit_deadline_ms, now_ms),
				  e->must_end_at_exit);
	choice = place_choose(candidates, count, &request);
	log_choice(e, &choice, count, &request, retry_reason);
	if (choice.result != PLACE_SEND) {
		e->wait_ms = choice.wait_ms;
		e->wait_is_stated = choice.wait_is_stated;
		*refusal = reach_watch_is_cut_off(e->proxy->reach)
				   ? "cut-off"
				   : refusal_text(&choice, &request);
		return NULL;
	}
	server = candidate_servers[choice.index];
	e->has_own_server = false;
	exchange_record_selected(e, server, candidates[choice.index].cached,
				 choice.wait_ms + candidates[choice.index].rtt_ms +
					 request.typical_ms);
	return server;
}
