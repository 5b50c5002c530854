#include "request/exchange_internal.h"
#include "unit/fake_assignment.h"
#include "unit/test.h"

/* A VM of region als, which has 2 of 22 servers. */

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = {
	{ "fyn-a", "fyn" }, { "fyn-b", "fyn" }, { "als-a", "als" },
	{ "als-b", "als" }, { "mon-a", "mon" }, { "mon-b", "mon" },
};
static struct service service = { .name = "reg" };
static struct proxy_settings settings = { .name = (char *)"als-vm1" };
static char *fyn_home[] = { "fyn" };
static char *als_home[] = { "als", "mon" };

static struct proxy *new_proxy(void)
{
	struct proxy *proxy = g_new0(struct proxy, 1);

	now = clock_from_manual(&manual);
	proxy->clock = &now;
	proxy->settings = &settings;
	proxy->topology.domains = domains;
	proxy->topology.domain_count = G_N_ELEMENTS(domains);
	proxy->region = g_intern_string("als");
	proxy->failure_domain = g_intern_string("als-a");
	proxy->bounds.shift_max = 0.15;
	proxy->servers = servers_new(&now, &proxy->topology);
	proxy->vms = vms_new(&proxy->topology);
	proxy->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	proxy->service_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy->route_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return proxy;
}

static void free_proxy(struct proxy *proxy)
{
	g_hash_table_destroy(proxy->route_states);
	g_hash_table_destroy(proxy->service_states);
	g_hash_table_destroy(proxy->evacuated);
	vms_free(proxy->vms);
	servers_free(proxy->servers);
	g_free(proxy);
}

static void list_servers(struct proxy *proxy, const char *domain, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		char *id = g_strdup_printf("%s-%u", domain, i);
		struct server_entry entry = {
			.id = id,
			.service = (char *)"reg",
			.failure_domain = (char *)domain,
			.version = (char *)"v1",
			.slots = 3,
		};

		servers_put(proxy->servers, &entry);
		g_free(id);
	}
}

static struct proxy *three_regions(void)
{
	struct proxy *proxy = new_proxy();

	list_servers(proxy, "fyn-a", 10);
	list_servers(proxy, "als-a", 1);
	list_servers(proxy, "als-b", 1);
	list_servers(proxy, "mon-a", 10);
	fake_assignment_on = true;
	return proxy;
}

static struct route one_route(void)
{
	struct route route = {
		.name = (char *)"read",
		.kind = ROUTE_IDEMPOTENT,
		.sticky = true,
		.target_latency_ms = 600,
	};

	return route;
}

static struct exchange one_exchange(struct proxy *proxy,
				    const struct route *route, uint64_t object)
{
	struct exchange e = {
		.proxy = proxy,
		.route = route,
		.service = &service,
		.object_hash = object,
		.has_object = true,
		.started_ms = proxy_now_ms(proxy),
	};

	return e;
}

/* @return the number of 200 objects that run elsewhere. */
static uint32_t count_away(struct proxy *proxy, const struct route *route)
{
	uint32_t away = 0;
	uint64_t object;

	for (object = 0; object < 200; object++) {
		struct exchange e = one_exchange(proxy, route, object * 7919);

		exchange_choose_region(&e);
		g_assert_cmpint(e.spilled_over, ==,
				e.region && e.region != proxy->region);
		away += e.spilled_over;
		clock_manual_advance_ms(&manual, 20);
	}
	return away;
}

/* Deployments without assigned VMs are served as before: no region is chosen. */
static void nothing_changes_without_assigned_vms(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct exchange e = one_exchange(proxy, &route, 1);

	fake_assignment_on = false;
	exchange_choose_region(&e);
	g_assert_null(e.region);
	g_assert_cmpuint(exchange_service_state(&e)->region_share.counted_ms,
			 ==, 0);
	g_assert_cmpint(exchange_service_state(&e)->spillover.updated_ms, >, 0);
	free_proxy(proxy);
}

/* Objects leave from the first request on, since the region is small, and each
 * stays in its region. */
static void small_region_sends_objects_to_both_others(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	uint32_t counts[2] = { 0, 0 };
	uint64_t object;

	for (object = 0; object < 200; object++) {
		struct exchange e = one_exchange(proxy, &route, object * 7919);
		struct exchange again = e;

		exchange_choose_region(&e);
		exchange_choose_region(&again);
		g_assert_true(e.region == again.region);
		counts[0] += e.region == g_intern_string("fyn");
		counts[1] += e.region == g_intern_string("mon");
	}
	g_assert_cmpuint(counts[0], >, 30);
	g_assert_cmpuint(counts[1], >, 30);
	g_assert_cmpuint(counts[0] + counts[1], <, 180);
	free_proxy(proxy);
}

/* An assigned VM must not send what was handed off to it to another region. */
static void request_that_was_handed_off_stays(void)
{
	struct proxy *proxy = new_proxy();
	struct route route = one_route();
	struct exchange e = one_exchange(proxy, &route, 1);

	fake_assignment_on = true;
	list_servers(proxy, "fyn-a", 10);
	e.handed_off = true;
	exchange_choose_region(&e);
	g_assert_true(e.region == proxy->region);
	g_assert_false(e.spilled_over);
	free_proxy(proxy);
}

/* Evacuated and lost servers are no servers: everything leaves at once, and
 * large bodies with it. */
static void evacuated_region_sends_all_away(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();

	route.kind = ROUTE_DOWNLOAD;
	g_assert_cmpuint(count_away(proxy, &route), ==, 0);
	g_hash_table_add(proxy->evacuated, g_strdup("als-a"));
	g_hash_table_add(proxy->evacuated, g_strdup("als-b"));
	g_assert_cmpuint(count_away(proxy, &route), ==, 200);
	free_proxy(proxy);
}

static void homes_are_kept(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct workspace workspace = {
		.home_regions = als_home,
		.home_region_count = 2,
	};
	struct exchange e = one_exchange(proxy, &route, 1);

	/* the own region although others have more room */
	e.workspace = &workspace;
	exchange_choose_region(&e);
	g_assert_true(e.region == proxy->region);
	/* another home if the own region has no servers */
	g_hash_table_add(proxy->evacuated, g_strdup("als-a"));
	g_hash_table_add(proxy->evacuated, g_strdup("als-b"));
	exchange_choose_region(&e);
	g_assert_cmpstr(e.region, ==, "mon");
	g_assert_true(e.spilled_over);
	/* both the route's and the workspace's homes apply */
	route.home_regions = fyn_home;
	route.home_region_count = 1;
	exchange_choose_region(&e);
	g_assert_null(e.region);
	e.workspace = NULL;
	exchange_choose_region(&e);
	g_assert_cmpstr(e.region, ==, "fyn");
	g_assert_cmpuint(exchange_service_state(&e)->region_share.counted_ms,
			 ==, 0);
	free_proxy(proxy);
}

/* Small VMs hand off every request, and estimate the demand from the service
 * times that the other VMs report. */
static void handoffs_give_the_service_time(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct exchange e = one_exchange(proxy, &route, 1);
	uint32_t i;

	for (i = 0; i < 200; i++)
		service_time_adopt(&exchange_route_state(&e)->time, 40, 130);
	g_assert_cmpfloat(exchange_route_state(&e)->time.fast_ms, >, 30);
	g_assert_cmpfloat(exchange_route_state(&e)->time.fast_ms, <, 50);
	/* 2 requests/s of 40 ms leave room in 6 slots */
	for (i = 0; i < 20; i++)
		count_away(proxy, &route);
	g_assert_cmpuint(count_away(proxy, &route), ==, 0);
	free_proxy(proxy);
}

/* Requests without a response were not counted: a region whose servers hang got
 * as many as before. */
static void timeouts_are_trouble_of_the_region(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct exchange e = one_exchange(proxy, &route, 1);
	const struct region_share_peer *peers;
	const char *mon = g_intern_string("mon");
	double trouble = 0;
	uint32_t i;

	exchange_choose_region(&e);
	peers = exchange_service_state(&e)->region_share.peers;
	/* the caller waited for less than the target */
	clock_manual_advance_ms(&manual, 300);
	exchange_record_region_timeout(&e, mon);
	for (i = 0; i < 2; i++)
		trouble += peers[i].trouble;
	g_assert_cmpfloat(trouble, ==, 0);
	clock_manual_advance_ms(&manual, 20000);
	exchange_record_region_timeout(&e, mon);
	for (i = 0; i < 2; i++)
		trouble += peers[i].trouble;
	g_assert_cmpfloat(trouble, >, 0);
	free_proxy(proxy);
}

/* Counts requests, and makes one for an object that stays in this region.
 * Afterwards more than one request may go on elsewhere. */
static struct exchange refused_exchange(struct proxy *proxy,
					const struct route *route)
{
	struct exchange e = { 0 };
	uint64_t object;

	count_away(proxy, route);
	for (object = 0; object < 200; object++) {
		e = one_exchange(proxy, route, object * 7919);
		exchange_choose_region(&e);
		if (!e.spilled_over)
			break;
	}
	g_assert_true(e.region == proxy->region);
	e.deadline_ms = proxy_now_ms(proxy) + 20000;
	e.handoff_decided = true;
	return e;
}

/* A request that is passed from region to region would load all of them. */
static void refused_request_goes_on_once(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct exchange e = refused_exchange(proxy, &route);
	const char *region;

	g_assert_true(exchange_choose_elsewhere(&e));
	g_assert_true(e.region != proxy->region);
	g_assert_true(e.spilled_over);
	g_assert_false(e.handoff_decided);
	region = e.region;
	g_assert_false(exchange_choose_elsewhere(&e));
	g_assert_true(e.region == region);
	free_proxy(proxy);
}

/* Guards against orders that run twice, requests outside of their home regions,
 * and crossings that end in a timeout. */
static void refused_request_stays(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct route home_route = one_route();
	struct workspace workspace = {
		.home_regions = als_home,
		.home_region_count = 2,
	};
	const struct exchange refused = refused_exchange(proxy, &route);
	const double slow_ms = exchange_route_state(&refused)->time.slow_ms;
	struct exchange cases[7];
	uint32_t i;

	home_route.home_regions = als_home;
	home_route.home_region_count = 2;
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		cases[i] = refused;
	cases[0].worst_verdict = VERDICT_MAY_HAVE_RUN;
	cases[1].worst_verdict = VERDICT_RAN;
	cases[2].workspace = &workspace;
	cases[3].route = &home_route;
	/* 70 ms for the crossing */
	cases[4].deadline_ms = proxy_now_ms(proxy) + 70 + (int64_t)slow_ms - 1;
	cases[5].handed_off = true;
	cases[6].region = NULL;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *region = cases[i].region;

		g_assert_false(exchange_choose_elsewhere(&cases[i]));
		g_assert_true(cases[i].region == region);
		g_assert_false(cases[i].spilled_over);
	}
	cases[0] = refused;
	fake_assignment_on = false;
	g_assert_false(exchange_choose_elsewhere(&cases[0]));
	fake_assignment_on = true;
	/* it was not the bound on their number that kept the others */
	cases[0].deadline_ms = proxy_now_ms(proxy) + 70 + (int64_t)slow_ms;
	g_assert_true(exchange_choose_elsewhere(&cases[0]));
	free_proxy(proxy);
}

/* Refusals raise the demand that is assumed: those of requests that are not
 * part of the demand, or of another region, must not. */
static void refusals_of_counted_requests_are_recorded(void)
{
	struct proxy *proxy = three_regions();
	struct route route = one_route();
	struct workspace workspace = {
		.home_regions = als_home,
		.home_region_count = 2,
	};
	struct exchange e = refused_exchange(proxy, &route);
	struct region_share *share = &exchange_service_state(&e)->region_share;

	e.workspace = &workspace;
	exchange_choose_elsewhere(&e);
	g_assert_cmpfloat(share->refused, ==, 0);
	e.workspace = NULL;
	e.region = g_intern_string("mon");
	exchange_choose_elsewhere(&e);
	g_assert_cmpfloat(share->refused, ==, 0);
	e = refused_exchange(proxy, &route);
	exchange_choose_elsewhere(&e);
	g_assert_cmpfloat(share->refused, ==, 1);
	free_proxy(proxy);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("exchange_region", nothing_changes_without_assigned_vms);
	ADD_TEST("exchange_region", small_region_sends_objects_to_both_others);
	ADD_TEST("exchange_region", request_that_was_handed_off_stays);
	ADD_TEST("exchange_region", evacuated_region_sends_all_away);
	ADD_TEST("exchange_region", homes_are_kept);
	ADD_TEST("exchange_region", handoffs_give_the_service_time);
	ADD_TEST("exchange_region", timeouts_are_trouble_of_the_region);
	ADD_TEST("exchange_region", refused_request_goes_on_once);
	ADD_TEST("exchange_region", refused_request_stays);
	ADD_TEST("exchange_region", refusals_of_counted_requests_are_recorded);
	return g_test_run();
}
