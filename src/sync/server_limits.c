#include "sync/server_limits.h"

#include <math.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/number.h"
#include "kv/notices.h"
#include "net/timer.h"
#include "sync/sender.h"
#include "sync/store_sync.h"

/* Wait of a VM that has just registered, until it is in its own list. */
#define REGISTRATION_WAIT_MS 1000
/* Delay of a report, and for each VM that is ranked before this one: the first
 * ones get responses of the server, and one report is enough. */
#define REPORT_DELAY_MS 300
#define REPORT_DELAY_PER_RANK_MS 300
#define REPORT_DELAY_MAX_MS 4000
#define CHECK_INTERVAL_MS 100
/* Reports of other VMs have been read if the keys of the fleet are no older. */
#define REPORTS_AGE_MAX_MS 35000

/* A server whose limit waits to be reported. */
struct due_report {
	struct server *server;
	int64_t at_ms;
};

struct server_limits {
	struct proxy *proxy;
	GHashTable *reports; /* server id -> struct limit_report */
	GQueue due;	     /* of struct due_report */
	struct event *timer; /* runs while reports are due */
};

static void due_report_free(gpointer data)
{
	struct due_report *due = data;

	due->server->limit.report_due = false;
	server_unref(due->server);
	g_free(due);
}

static void write_report(struct server_limits *limits, struct server *server)
{
	struct limit_report report = {
		.start_unix_ms = server->start_unix_ms,
		.statement = server->limit.answered,
	};
	char *key = g_strconcat(LIMIT_KEY_PREFIX, server->id, NULL);
	char *text = limit_report_encode(&report);

	if (text)
		notices_write(limits->proxy->notices, key, text, false);
	else
		log_error("servers", "cannot encode limit as JSON server=%s",
			  server->id);
	free(text);
	g_free(key);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct server_limits *limits = context;
	const int64_t now_ms = proxy_now_ms(limits->proxy);
	GList *link = limits->due.head;

	(void)fd;
	(void)what;
	while (link) {
		GList *next = link->next;
		struct due_report *due = link->data;

		if (due->at_ms <= now_ms) {
			g_queue_delete_link(&limits->due, link);
			if (due->server->listed &&
			    server_limit_needs_report(&due->server->limit,
						      now_ms)) {
				write_report(limits, due->server);
				server_limit_mark_written(&due->server->limit,
							  now_ms);
			}
			due_report_free(due);
		}
		link = next;
	}
	if (!g_queue_is_empty(&limits->due))
		timer_start(limits->timer, CHECK_INTERVAL_MS);
}

static void schedule_report(struct server_limits *limits, struct server *server,
			    int64_t now_ms)
{
	const struct sender_rank *rank = sender_rank_at(limits->proxy, server);
	struct due_report *due = g_new0(struct due_report, 1);
	int64_t delay_ms = REPORT_DELAY_MAX_MS;

	if (rank)
		delay_ms = REPORT_DELAY_MS + (int64_t)sender_rank_ahead(rank) *
						     REPORT_DELAY_PER_RANK_MS;
	due->server = server_ref(server);
	due->at_ms = now_ms + MIN(delay_ms, REPORT_DELAY_MAX_MS);
	server->limit.report_due = true;
	g_queue_push_tail(&limits->due, due);
	if (!evtimer_pending(limits->timer, NULL))
		timer_start(limits->timer, CHECK_INTERVAL_MS);
}

void server_limits_record_response(struct server_limits *limits,
				   struct server *server,
				   const struct response_meta *meta)
{
	const int64_t now_ms = proxy_now_ms(limits->proxy);
	struct limit_statement statement = { LIMIT_NONE, 0 };

	if (meta->limit_invalid) {
		log_info("servers", "response names an invalid limit server=%s",
			 server->id);
		return;
	}
	if (meta->has_limit) {
		statement.kind = LIMIT_NAMED;
		statement.per_s = meta->limit_per_s;
	}
	server_limit_record_response(&server->limit, server->id, statement,
				     now_ms);
	if (!server->limit.report_due &&
	    server_limit_needs_report(&server->limit, now_ms))
		schedule_report(limits, server, now_ms);
}

/* Applies the report of a listed server, unless it is about an earlier
 * incarnation. */
static void apply_report(struct server_limits *limits, const char *server_id)
{
	const struct limit_report *report =
		g_hash_table_lookup(limits->reports, server_id);
	struct server *server = servers_find(limits->proxy->servers, server_id);

	if (report && server && report->start_unix_ms == server->start_unix_ms)
		server_limit_record_report(&server->limit, server_id,
					   report->statement,
					   proxy_now_ms(limits->proxy));
}

void server_limits_put_report(struct server_limits *limits, const char *server_id,
			      const char *text, size_t bytes)
{
	struct limit_report *report = g_new0(struct limit_report, 1);
	const char *problem = limit_report_decode(text, bytes, report);

	if (problem) {
		counter_add(COUNTER_UNREADABLE_ENTRIES, 1);
		log_warn("servers",
			 "invalid report of a limit is ignored server=%s "
			 "why=\"%s\"",
			 server_id, problem);
		g_free(report);
		return;
	}
	g_hash_table_replace(limits->reports, g_strdup(server_id), report);
	apply_report(limits, server_id);
}

void server_limits_remove_report(struct server_limits *limits,
				 const char *server_id)
{
	const struct limit_statement unknown = { LIMIT_UNKNOWN, 0 };
	struct server *server = servers_find(limits->proxy->servers, server_id);

	if (g_hash_table_remove(limits->reports, server_id) && server)
		server_limit_record_report(&server->limit, server_id, unknown,
					   proxy_now_ms(limits->proxy));
}

void server_limits_on_listed(struct server_limits *limits, const char *server_id)
{
	const struct server *server =
		servers_find(limits->proxy->servers, server_id);

	if (server && server->limit.reported.kind == LIMIT_UNKNOWN)
		apply_report(limits, server_id);
}

uint32_t server_limits_wait_ms(const struct proxy *proxy, struct server *server,
			       int64_t now_ms)
{
	struct server_limit *limit = &server->limit;
	const struct sender_rank *rank;
	struct limit_share share;
	int64_t age_ms;

	if (!server_limit_is_named(limit))
		return 0;
	age_ms = store_sync_fleet_age_ms(proxy->store_sync);
	if (age_ms >= 0 && age_ms < REPORTS_AGE_MAX_MS)
		server_limit_expire(limit, server->id, now_ms);
	rank = sender_rank_at(proxy, server);
	if (!rank)
		return REGISTRATION_WAIT_MS;
	share = limit_share_compute(rank, limit->known.per_s);
	limit_bucket_update(&limit->bucket, &share, now_ms);
	return limit_bucket_wait_ms(&limit->bucket);
}

bool server_limits_is_sender(const struct proxy *proxy, struct server *server)
{
	const struct sender_rank *rank = sender_rank_at(proxy, server);

	return !server_limit_is_named(&server->limit) ||
	       (rank &&
		limit_share_compute(rank, server->limit.known.per_s).rate_per_s >
			0);
}

void server_limits_count_sent(struct server *server)
{
	if (server_limit_is_named(&server->limit))
		limit_bucket_take(&server->limit.bucket);
}

uint32_t server_limits_usable_slots(const struct server *server, double run_ms)
{
	const double slots = ceil(server->limit.known.per_s * run_ms / MS_PER_S);

	if (!server_limit_is_named(&server->limit))
		return server->load.slots;
	return MIN(server->load.slots, u32_from_double(slots));
}

struct server_limits *server_limits_new(struct proxy *proxy)
{
	struct server_limits *limits = g_new0(struct server_limits, 1);

	limits->proxy = proxy;
	limits->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limits->timer = evtimer_new(proxy->base, on_timer, limits);
	return limits;
}

void server_limits_free(struct server_limits *limits)
{
	if (!limits)
		return;
	g_queue_clear_full(&limits->due, due_report_free);
	g_hash_table_destroy(limits->reports);
	event_free(limits->timer);
	g_free(limits);
}
