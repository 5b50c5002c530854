#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "assign/assignment.h"
#include "base/counter.h"
#include "base/log.h"
#include "request/exchange_internal.h"
#include "sync/server_limits.h"

/* Reported queue lengths are ignored after this time. */
#define REPORT_FRESH_MS 1000
/* Share of the bound on a region's shift used per second; the bound applies to
 * windows of two seconds. */
#define SHIFT_SHARE_PER_S 0.2
/* The same with assigned VMs, whose VMs estimate the same demand. */
#define ASSIGNED_SHIFT_SHARE_PER_S 0.3
/* Usual round trip to another region. */
#define CROSSING_MS 70
/* A response from another region is late if it takes this many times the usual
 * time, and more than the route's target. */
#define LATE_FACTOR 2
/* A change of a service's share by this much is logged. */
#define SHARE_LOGGED 0.05

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

static void choose_by_spillover(struct exchange *e)
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

/* What is known of the regions, as an argument of decide/region_share. */
struct regions {
	struct region_share_region others[REGION_SHARE_REGIONS_MAX];
	struct region_share_view view;
};

static struct region_share_region *find_region(struct regions *regions,
					       const char *name)
{
	uint32_t i;

	for (i = 0; i < regions->view.region_count; i++)
		if (regions->others[i].name == name)
			return &regions->others[i];
	return NULL;
}

/* Regions without servers of the service have callers as well. */
static void list_other_regions(const struct proxy *proxy, struct regions *regions)
{
	const struct topology *topology = &proxy->topology;
	uint32_t i;

	for (i = 0; i < topology->domain_count; i++) {
		const char *name = g_intern_string(topology->domains[i].region);

		if (name == proxy->region || find_region(regions, name) ||
		    regions->view.region_count == REGION_SHARE_REGIONS_MAX)
			continue;
		regions->others[regions->view.region_count++].name = name;
	}
}

static void add_server(const struct proxy *proxy, const struct server *server,
		       struct regions *regions, double fast_ms, int64_t now_ms)
{
	const uint32_t slots = server_limits_usable_slots(server, fast_ms);
	struct region_share_region *region;

	/* for each server of the service, with each request: the name is
	 * hashed only if anything is evacuated */
	if (!server_is_usable(server) || server->cold_until_ms > now_ms ||
	    (g_hash_table_size(proxy->evacuated) &&
	     g_hash_table_contains(proxy->evacuated, server->failure_domain)))
		return;
	if (server->region == proxy->region) {
		regions->view.local_slots += server->load.slots;
		regions->view.local_unused_slots += server->load.slots - slots;
		return;
	}
	region = find_region(regions, server->region);
	if (!region)
		return;
	region->slots += slots;
	if (server->rtt_ms && (!region->rtt_ms || server->rtt_ms < region->rtt_ms))
		region->rtt_ms = server->rtt_ms;
}

static void gather_regions(const struct exchange *e, struct regions *regions)
{
	const struct proxy *proxy = e->proxy;
	const GPtrArray *list =
		servers_for_service(proxy->servers, e->service->name);
	const double fast_ms = exchange_service_state(e)->time.fast_ms;
	const int64_t now_ms = proxy_now_ms(proxy);
	guint i;

	memset(regions, 0, sizeof(*regions));
	regions->view.regions = regions->others;
	regions->view.region_vms =
		MAX(vms_count_in_region(proxy->vms, proxy->region), 1);
	regions->view.shift_max_per_s =
		proxy->bounds.shift_max * ASSIGNED_SHIFT_SHARE_PER_S;
	list_other_regions(proxy, regions);
	for (i = 0; i < list->len; i++)
		add_server(proxy, g_ptr_array_index(list, i), regions, fast_ms,
			   now_ms);
}

/* @return the service time with the object cached; 0 if it is not measured. */
static double measured_fast_ms(const struct exchange *e)
{
	const struct service_time *route = &exchange_route_state(e)->time;
	const struct service_time *service = &exchange_service_state(e)->time;

	if (route->sample_count >= SERVICE_TIME_SAMPLES_MIN)
		return route->fast_ms;
	return service->sample_count >= SERVICE_TIME_SAMPLES_MIN
		       ? service->fast_ms
		       : 0;
}

static uint64_t route_key(const struct exchange *e)
{
	return XXH3_64bits(e->route->name, strlen(e->route->name));
}

static void log_share(const struct exchange *e, struct service_state *state,
		      const struct region_share_view *view)
{
	const struct region_share *share = &state->region_share;
	const double total = region_share_total(share);

	if (fabs(total - state->logged_share) < SHARE_LOGGED &&
	    (total > 0 || state->logged_share <= 0))
		return;
	log_info("region",
		 "share of requests for other regions changed service=%s "
		 "away_share=%.2f old=%.2f demand=%.1f slots=%u vms=%u",
		 e->service->name, total, state->logged_share, share->demand,
		 view->local_slots - view->local_unused_slots, view->region_vms);
	state->logged_share = total;
}

static bool allows_region(const char *region, const void *context)
{
	return exchange_allows_region(context, region);
}

static bool has_home_regions(const struct exchange *e)
{
	return e->route->home_region_count ||
	       (e->workspace && e->workspace->home_region_count);
}

/* @return the region of a request that may run in some regions only; NULL if
 * none of these has a warm server. */
static const char *select_home(const struct exchange *e,
			       struct region_share *share,
			       const struct region_share_view *view)
{
	const char *own = e->proxy->region;

	region_share_list_regions(share, view);
	if (exchange_allows_region(e, own) && view->local_slots)
		return own;
	return region_share_select(share, e->object_hash, allows_region, e);
}

/* @return the region of a request that may run in any. */
static const char *select_by_share(const struct exchange *e,
				   struct service_state *state,
				   const struct region_share_view *view)
{
	struct region_share *share = &state->region_share;
	const struct region_share_request request = {
		.route_key = route_key(e),
		.target_ms = e->route->target_latency_ms,
		.fast_ms = measured_fast_ms(e),
		.large = e->route->kind == ROUTE_UPLOAD ||
			 e->route->kind == ROUTE_DOWNLOAD,
	};
	const char *region = NULL;

	region_share_count_request(share, view, &request, proxy_now_ms(e->proxy));
	log_share(e, state, view);
	if (region_share_is_remote(share, request.route_key, e->object_hash))
		region = region_share_select(share, e->object_hash, NULL, NULL);
	return region ? region : e->proxy->region;
}

/* A request that another VM has handed off is for servers of this VM. */
static void choose_by_share(struct exchange *e)
{
	const char *own = e->proxy->region;
	struct service_state *state = exchange_service_state(e);
	struct regions regions;

	if (e->handed_off) {
		e->region = own;
		return;
	}
	gather_regions(e, &regions);
	e->region = has_home_regions(e)
			    ? select_home(e, &state->region_share, &regions.view)
			    : select_by_share(e, state, &regions.view);
	e->spilled_over = e->region && e->region != own;
	if (e->spilled_over)
		counter_add(COUNTER_CROSSED_REGION, 1);
}

void exchange_choose_region(struct exchange *e)
{
	if (assignment_is_on(e->proxy->assignment))
		choose_by_share(e);
	else
		choose_by_spillover(e);
}

/* Lateness of routes that have no room for the crossing does not mean that the
 * other region is full. */
static bool is_late(const struct exchange *e, int64_t now_ms)
{
	const double usual_ms = measured_fast_ms(e) + CROSSING_MS;

	return now_ms - e->started_ms >
	       fmax(e->route->target_latency_ms, LATE_FACTOR * usual_ms);
}

void exchange_record_region_end(const struct exchange *e, const char *region,
				bool refused)
{
	const int64_t now_ms = proxy_now_ms(e->proxy);
	enum region_share_end end = REGION_SHARE_IN_TIME;

	if (!assignment_is_on(e->proxy->assignment) || e->handed_off ||
	    !region || region == e->proxy->region)
		return;
	if (refused)
		end = REGION_SHARE_REFUSED;
	else if (is_late(e, now_ms))
		end = REGION_SHARE_LATE;
	region_share_record_end(&exchange_service_state(e)->region_share,
				region, end, now_ms);
}

void exchange_record_region_timeout(const struct exchange *e, const char *region)
{
	/* a caller that waited for less than the target says nothing */
	if (is_late(e, proxy_now_ms(e->proxy)))
		exchange_record_region_end(e, region, false);
}

static bool allows_other_region(const char *region, const void *context)
{
	const struct exchange *e = context;

	return region != e->region && exchange_allows_region(e, region);
}

static uint64_t vm_hash(const struct proxy *proxy)
{
	const char *name = proxy->settings->name;

	return XXH3_64bits(name, strlen(name));
}

bool exchange_choose_elsewhere(struct exchange *e)
{
	struct region_share *share = &exchange_service_state(e)->region_share;
	const struct service_time *time = &exchange_route_state(e)->time;
	const int64_t left_ms = e->deadline_ms - proxy_now_ms(e->proxy);
	const char *region;

	if (e->handed_off || e->tried_elsewhere || !e->region ||
	    !assignment_is_on(e->proxy->assignment))
		return false;
	/* requests with home regions are not part of the demand */
	if (e->region == e->proxy->region && !has_home_regions(e))
		region_share_record_refusal(share);
	if (e->worst_verdict != VERDICT_NOT_RUN || has_home_regions(e) ||
	    left_ms < CROSSING_MS + (int64_t)time->slow_ms)
		return false;
	region = region_share_select(share, e->object_hash, allows_other_region,
				     e);
	if (!region || !region_share_admit_elsewhere(share, vm_hash(e->proxy),
						     proxy_now_ms(e->proxy)))
		return false;
	e->tried_elsewhere = true;
	e->region = region;
	e->spilled_over = true;
	e->handoff_decided = false;
	e->handoff_renewed = false; /* another VM is chosen */
	counter_add(COUNTER_CROSSED_REGION, 1);
	return true;
}
