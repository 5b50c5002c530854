#include "request/exchange_own.h"

#include <inttypes.h>

#include "assign/assignment.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/number.h"
#include "decide/cache_depth.h"
#include "decide/cold_share.h"
#include "queue/wait_queue.h"
#include "sync/reach_watch.h"
#include "sync/sender.h"
#include "sync/server_limits.h"

/* Share of the time until this process exits that a request accepted during
 * shutdown may be expected to need. */
#define SHUTDOWN_TIME_SHARE 0.8

/* Static because all selections run on the event loop's only thread. */
static struct own_view selection;

/* @return the time until a cold server may get a request of this VM; while this
 * VM is not one of its senders, until it is warm. */
static uint32_t cold_pause_ms(const struct proxy *proxy,
			      const struct service *service,
			      struct server *server, int64_t now_ms)
{
	const struct bounds *bounds = &proxy->bounds;
	const struct sender_rank *rank;
	uint32_t interval_ms;

	if (server->cold_until_ms <= now_ms)
		return 0;
	rank = sender_rank_at(proxy, server);
	interval_ms = rank ? cold_share_min_interval_ms(
				     rank, service->cold_requests_per_s *
							   bounds->cold_factor +
						   bounds->cold_extra)
			   : 0;
	if (!interval_ms)
		return u32_from_int(server->cold_until_ms - now_ms);
	return u32_from_int(server->cold_sent_ms + interval_ms - now_ms);
}

static void add_server(struct own_view *view, struct proxy *proxy,
		       const struct service *service, struct server *server,
		       int64_t now_ms)
{
	struct finish_server *state = &view->states[view->count];

	*state = (struct finish_server){
		.hash = server->hash,
		.slots = server->load.slots,
		.window = ramp_window(&server->ramp, server->load.slots),
		.own_requests = server->load.own_requests,
		.others = load_estimate_others(&server->load, now_ms),
		.work_percent = load_work_percent(&server->load, now_ms),
		.rtt_ms = server->rtt_ms,
		.avoid = server->missing || server_is_avoided(server, now_ms),
		.excluded = !reach_watch_may_send(proxy->reach, server),
	};
	state->pause_ms = MAX(MAX(u32_from_int(server->busy_until_ms - now_ms),
				  server_limits_wait_ms(proxy, server, now_ms)),
			      cold_pause_ms(proxy, service, server, now_ms));
	if (!state->window || state->excluded)
		return;
	view->servers[view->count++] = server;
	view->slots += state->window;
	view->is_paused &= state->pause_ms > 0;
	view->has_free_slot |=
		!state->pause_ms &&
		state->own_requests + state->others < state->window;
}

void own_view_collect(struct own_view *view, struct proxy *proxy,
		      const struct service *service)
{
	const GPtrArray *own =
		assignment_own_servers(proxy->assignment, service->name);
	int64_t now_ms = proxy_now_ms(proxy);
	guint i;

	view->count = 0;
	view->slots = 0;
	view->has_free_slot = false;
	view->is_paused = true;
	for (i = 0; own && i < own->len && view->count < OWN_SERVERS_MAX; i++) {
		struct server *server = g_ptr_array_index(own, i);

		if (server_is_usable(server) &&
		    !g_hash_table_contains(proxy->evacuated,
					   server->failure_domain))
			add_server(view, proxy, service, server, now_ms);
	}
}

void own_view_add_waiting(struct own_view *view, const struct exchange *waiting)
{
	uint32_t i;

	for (i = 0; i < view->count; i++) {
		if (view->servers[i] != waiting->waits_for)
			continue;
		view->states[i].ahead_count++;
		view->states[i].ahead_ms += waiting->waits_for_run_ms;
		return;
	}
}

static uint32_t object_position(const struct exchange *e,
				const struct server *server)
{
	return e->has_object
		       ? recent_objects_position(&server->recent, e->object_hash)
		       : RECENT_OBJECTS_ABSENT;
}

static bool has_cached(const struct exchange *e, const struct server *server)
{
	return cache_depth_contains(&exchange_service_state(e)->cache_depth,
				    object_position(e, server));
}

bool own_view_has_cached(const struct own_view *own, const struct exchange *e)
{
	uint32_t i;

	for (i = 0; i < own->count; i++)
		if (has_cached(e, own->servers[i]))
			return true;
	return false;
}

int64_t exchange_target_ms(const struct exchange *e)
{
	return e->started_ms - e->first_request_age_ms +
	       e->route->target_latency_ms;
}

/* @return the time until the request's end, or until that of this process. */
static uint32_t remaining_ms(const struct exchange *e, int64_t now_ms)
{
	const struct proxy *proxy = e->proxy;
	uint32_t ms = u32_from_int(e->deadline_ms - now_ms);
	uint32_t exit_ms;

	if (!proxy->stopping)
		return ms;
	exit_ms = u32_from_int(proxy->exit_deadline_ms - now_ms);
	return MIN(ms, (uint32_t)(exit_ms * SHUTDOWN_TIME_SHARE));
}

struct finish_choice own_view_choose(struct own_view *view,
				     const struct exchange *e)
{
	const struct route_state *state = exchange_route_state(e);
	const int64_t now_ms = proxy_now_ms(e->proxy);
	struct finish_request request = {
		.object_hash = e->object_hash,
		.sticky = e->route->sticky && e->has_object,
		.cached_ms = run_time_expected_ms(&state->run_time,
						  &state->time, true),
		.uncached_ms = run_time_expected_ms(&state->run_time,
						    &state->time, false),
		.mean_ms = (uint32_t)exchange_service_state(e)->time.typical_ms,
		.target_ms = u32_from_int(exchange_target_ms(e) - now_ms),
		.deadline_ms = remaining_ms(e, now_ms),
	};
	uint32_t i;

	if (!request.sticky)
		request.cached_ms = request.uncached_ms =
			(uint32_t)state->time.typical_ms;
	for (i = 0; i < view->count; i++) {
		const struct server *server = view->servers[i];

		view->states[i].cached = has_cached(e, server);
		view->states[i].takes_objects =
			object_position(e, server) == RECENT_OBJECTS_ABSENT &&
			ramp_has_joined(&server->ramp, now_ms);
		view->states[i].excluded =
			(exchange_has_tried(e, server) &&
			 server != e->repeat_server) ||
			!exchange_allows_region(e, server->region);
	}
	return finish_choose(view->states, view->count, &request);
}

/* @return whether the request is for servers that are assigned to this VM. */
static bool belongs_to_this_vm(struct exchange *e)
{
	const struct proxy *proxy = e->proxy;
	struct assignment_query query = {
		.service = e->service->name,
		.region = e->region ? e->region : proxy->region,
		.object_hash = e->object_hash,
	};
	const bool is_known = e->is_assigned_here;
	const struct vm *vm;

	e->is_assigned_here = false;
	if (e->handed_off)
		return true;
	if (query.region != proxy->region || (!e->region && e->spilled_over))
		return false;
	if (is_known)
		return true;
	if (e->route->kind == ROUTE_UPLOAD || e->route->kind == ROUTE_DOWNLOAD)
		query.failure_domain = proxy->failure_domain;
	vm = assignment_find_vm(proxy->assignment, &query);
	return vm && !strcmp(vm->name, proxy->settings->name);
}

static void log_own(const struct exchange *e, const char *what,
		    const struct server *server,
		    const struct finish_choice *choice, bool cached)
{
	int64_t now_ms = proxy_now_ms(e->proxy);
	int64_t reported_ms = server ? server->load.reported_ms : 0;

	log_info("place",
		 "request %s request=%s route=%s service=%s object=%016" PRIx64
		 " server=%s load=%u slots=%u near=1 report_age_ms=%" PRId64
		 " known=%d work_percent=%u wait_ms=%u run_ms=%u finish_ms=%u "
		 "target_in_ms=%" PRId64 " left_ms=%" PRId64
		 " waiting=%u own=1 again=%s waited_ms=%u cache_depth=%u moves=%d",
		 what, e->id, e->route->name, e->service->name, e->object_hash,
		 server ? server->id : "-",
		 server ? load_estimate(&server->load, now_ms) : 0,
		 server ? server->load.slots : 0,
		 reported_ms ? now_ms - reported_ms : -1, cached,
		 server ? load_work_percent(&server->load, now_ms) : 0,
		 choice->wait_ms, choice->run_ms, choice->finish_ms,
		 exchange_target_ms(e) - now_ms, e->deadline_ms - now_ms,
		 wait_queue_length(e->proxy->wait_queue),
		 e->retry_reason ? e->retry_reason : "-", e->waited_ms,
		 cache_depth_objects(&exchange_service_state(e)->cache_depth),
		 choice->moves);
}

void exchange_record_own(struct exchange *e, struct server *server,
			 const struct finish_choice *choice, bool cached)
{
	log_own(e, "is sent", server, choice, cached);
	counter_add(COUNTER_OBJECTS_MOVED, choice->moves);
	e->has_own_server = true;
	e->object_position = object_position(e, server);
	exchange_record_selected(e, server, cached, choice->finish_ms);
	if (e->has_object)
		recent_objects_record(&server->recent, e->object_hash);
}

void exchange_record_own_run(struct exchange *e, const struct server *server,
			     int64_t run_ms)
{
	struct cache_depth *depth = &exchange_service_state(e)->cache_depth;
	struct run_time *time = &exchange_route_state(e)->run_time;
	const bool is_absent = e->object_position == RECENT_OBJECTS_ABSENT;
	const uint32_t work_percent =
		load_work_percent(&server->load, proxy_now_ms(e->proxy));

	/* a refused request counts as recent, though its object was not loaded */
	if (e->route->sticky && e->tried_count == 1)
		cache_depth_record(depth, e->object_position, time, run_ms,
				   work_percent);
	/* near the estimated depth, hits and misses would be mixed up */
	if (is_absent || cache_depth_contains_surely(depth, e->object_position))
		run_time_record(time, !is_absent, run_ms, work_percent);
}

/* @return how many times the request was sent to a server. */
static uint32_t count_tries(const struct exchange *e, const struct server *server)
{
	uint32_t tries = 0;
	uint32_t i;

	for (i = 0; i < e->tried_count; i++)
		tries += e->tried_servers[i] == server;
	return tries;
}

/* Servers refuse some requests at random while their slots are free. Another
 * server takes three times as long if it does not have the object cached. */
void exchange_record_own_refusal(struct exchange *e, struct server *server)
{
	if (!e->has_own_server || !e->has_object)
		return;
	if (!e->object_cached)
		recent_objects_remove(&server->recent, e->object_hash);
	else if (!attempt_meta(e->attempt)->retry_after_ms &&
		 count_tries(e, server) == 1)
		e->repeat_server = server;
}

bool exchange_select_own(struct exchange *e, struct server **server,
			 const char **refusal)
{
	struct finish_choice choice;
	bool cached;

	*server = NULL;
	*refusal = NULL;
	if (!assignment_is_on(e->proxy->assignment) || !belongs_to_this_vm(e))
		return false;
	own_view_collect(&selection, e->proxy, e->service);
	wait_queue_add_ahead(e->proxy->wait_queue, e, &selection);
	choice = own_view_choose(&selection, e);
	/* what servers that pause cannot take is placed at those of others */
	if (choice.result == FINISH_NO_SERVER ||
	    (choice.result == FINISH_TOO_LATE && selection.is_paused))
		return false;
	if (choice.result == FINISH_TOO_LATE) {
		log_own(e, "is not placed", NULL, &choice, false);
		counter_add(COUNTER_REFUSED_WAIT_TOO_LONG, 1);
		e->wait_ms = choice.wait_ms;
		*refusal = e->proxy->stopping ? "stopping" : "wait-too-long";
		return true;
	}
	*server = selection.servers[choice.index];
	cached = selection.states[choice.index].cached;
	if (choice.result == FINISH_SEND) {
		wait_queue_record_sent(e->proxy->wait_queue, e, choice.run_ms);
		exchange_record_own(e, *server, &choice, cached);
		return true;
	}
	*refusal = wait_queue_add(e->proxy->wait_queue, e, &selection, &choice);
	if (*refusal && selection.is_paused)
		return false;
	if (*refusal)
		counter_add(COUNTER_REFUSED_QUEUE_FULL, 1);
	log_own(e, *refusal ? "is not placed" : "waits", *server, &choice,
		cached);
	*server = NULL;
	return true;
}
