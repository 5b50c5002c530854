#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/cold_share.h"
#include "decide/place.h"
#include "proxy/exchange_internal.h"

/* Servers of one service that are weighed; the largest service known has a few
 * hundred. */
#define CANDIDATES_MAX 1024

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

struct retry_share *exchange_retry_share(const struct exchange *e)
{
	GHashTable *shares = e->proxy->retry_shares;
	struct retry_share *share =
		g_hash_table_lookup(shares, e->service->name);

	if (!share) {
		share = g_new0(struct retry_share, 1);
		g_hash_table_insert(shares, g_strdup(e->service->name), share);
	}
	return share;
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
				   e->service->cold_per_s *
						   bounds->cold_factor +
					   bounds->cold_extra);
	return gap_ms && now_ms - server->cold_sent_ms >= gap_ms;
}

static uint32_t collect(const struct exchange *e, int64_t now_ms)
{
	const GPtrArray *list =
		servers_of(e->proxy->servers, e->service->name);
	uint32_t count = 0;
	guint i;

	for (i = 0; i < list->len && count < CANDIDATES_MAX; i++) {
		struct server *server = g_ptr_array_index(list, i);
		struct place_candidate *row = &candidates[count];

		if (!server_usable(server) || exchange_has_tried(e, server) ||
		    !in_home(e->route, server) ||
		    g_hash_table_contains(e->proxy->evacuated,
					  server->failure_domain))
			continue;
		candidate_servers[count] = server;
		row->server_hash = server->hash;
		row->slots = server->load.slots;
		row->load = load_estimate(&server->load, now_ms);
		row->near = server->region == e->proxy->region;
		row->avoid = server->avoid_until_ms > now_ms;
		row->barred = !bears_one_more(e, server, now_ms);
		count++;
	}
	return count;
}

static void send_to(struct exchange *e, struct server *server, int64_t now_ms)
{
	if (server->cold_until_ms > now_ms)
		server->cold_sent_ms = now_ms;
	e->tried[e->tried_count++] = server_hold(server);
	e->attempt = attempt_start(e->proxy, server, &e->request,
				   &exchange_attempt_events, e);
	if (!e->attempt)
		exchange_fail(e, outcome_status(e->worst, false),
			      "no-connection");
}

void exchange_place(struct exchange *e, const char *why_again)
{
	int64_t now_ms = proxy_now_ms(e->proxy);
	uint32_t count = collect(e, now_ms);
	struct place_request request = {
		.object_hash = e->object_hash,
		.sticky = e->route->sticky,
		.service_time_ms = e->route->target_latency_ms / 2,
		.time_left_ms = e->deadline_ms > now_ms ?
					(uint32_t)(e->deadline_ms - now_ms) :
					0,
	};
	struct place_choice choice =
		place_choose(candidates, count, &request);

	if (choice.verdict != PLACE_SEND) {
		e->wait_ms = choice.wait_ms;
		counter_add(COUNTER_REFUSED_FULL, 1);
		exchange_fail(e, outcome_status(e->worst, false),
			      choice.verdict == PLACE_NO_ROOM ? "no-room" :
								"no-server");
		return;
	}
	log_info("place", "request is sent request=%s route=%s service=%s "
		 "server=%s load=%u slots=%u near=%d candidates=%u "
		 "report_age_ms=%" PRId64 " left_ms=%u again=%s",
		 e->id, e->route->name, e->service->name,
		 candidate_servers[choice.index]->id,
		 candidates[choice.index].load, candidates[choice.index].slots,
		 candidates[choice.index].near, count,
		 candidate_servers[choice.index]->load.reported_ms ?
			 now_ms - candidate_servers[choice.index]
					  ->load.reported_ms :
			 -1,
		 request.time_left_ms, why_again ? why_again : "-");
	if (why_again)
		counter_add(COUNTER_RETRIES, 1);
	send_to(e, candidate_servers[choice.index], now_ms);
}
