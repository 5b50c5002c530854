#include "sync/reach_watch.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/reach.h"
#include "kv/presence.h"
#include "net/http_stream.h"
#include "net/timer.h"

/* Time for a probe to connect; five round trips between regions. */
#define PROBE_TIMEOUT_MS 350
#define PROBE_ACK_TIMEOUT_MS 500
/* Interval between checks while this VM is cut off. */
#define CHECK_INTERVAL_MS 50
/* The entry in the store says that the cut is over when it has been for this
 * long, and is not written again sooner than this. */
#define CUT_ENDED_HOLD_MS 300
#define ENTRY_INTERVAL_MS 1000
/* Limit on the servers that a probe is chosen from. */
#define CANDIDATES_MAX 1024

struct probe {
	struct reach_watch *watch;
	struct server *server;
	struct event *timer;
	struct http_stream *stream;
};

struct reach_watch {
	struct proxy *proxy;
	struct reach reach;
	struct event *timer;
	GQueue probes;
	int64_t cut_off_ms; /* since when this VM has been cut off */
	struct event *entry_timer;
	int64_t entry_written_ms;
	bool entry_says_cut_off;
};

/* Static because all choices run on the event loop's only thread. */
static struct reach_candidate candidates[CANDIDATES_MAX];
static struct server *candidate_servers[CANDIDATES_MAX];

static void end_probe(struct probe *probe)
{
	g_queue_remove(&probe->watch->probes, probe);
	http_stream_free(probe->stream);
	event_free(probe->timer);
	server_unref(probe->server);
	g_free(probe);
}

static void on_entry_timer(evutil_socket_t fd, short what, void *context)
{
	struct reach_watch *watch = context;
	const bool cut_off = reach_watch_is_cut_off(watch);
	char *text;

	(void)fd;
	(void)what;
	if (cut_off == watch->entry_says_cut_off || !watch->proxy->presence)
		return;
	text = proxy_settings_encode_entry(watch->proxy->settings, cut_off);
	if (!text)
		return;
	watch->entry_says_cut_off = cut_off;
	watch->entry_written_ms = proxy_now_ms(watch->proxy);
	presence_set_value(watch->proxy->presence, text);
	free(text);
}

static void schedule_entry(struct reach_watch *watch, int64_t now_ms)
{
	const int64_t hold_ms =
		reach_watch_is_cut_off(watch) ? 0 : CUT_ENDED_HOLD_MS;
	const int64_t earliest_ms = watch->entry_written_ms + ENTRY_INTERVAL_MS;

	if (watch->entry_written_ms)
		timer_start(watch->entry_timer,
			    MAX(earliest_ms - now_ms, hold_ms));
	else
		timer_start(watch->entry_timer, hold_ms);
}

static void report_change(struct reach_watch *watch, enum reach_state before)
{
	const struct reach *reach = &watch->reach;
	const int64_t now_ms = proxy_now_ms(watch->proxy);

	if ((before == REACH_CUT_OFF) == (reach->state == REACH_CUT_OFF))
		return;
	gauge_set(GAUGE_CUT_OFF, reach->state == REACH_CUT_OFF);
	schedule_entry(watch, now_ms);
	if (reach->state == REACH_CUT_OFF) {
		watch->cut_off_ms = now_ms;
		log_warn("reach",
			 "no server can be connected to failed=%u "
			 "first_failure_ms=%" PRId64,
			 reach->failed_count, now_ms - reach->first_failure_ms);
		return;
	}
	log_warn("reach", "servers can be connected to again took_ms=%" PRId64,
		 now_ms - watch->cut_off_ms);
	servers_forget_unreachable(watch->proxy->servers,
				   reach->first_failure_ms);
}

static void on_probe_connected(void *context)
{
	struct probe *probe = context;
	struct reach_watch *watch = probe->watch;
	struct server *server = server_ref(probe->server);

	end_probe(probe);
	reach_watch_connected(watch, server);
	server_unref(server);
}

static void on_probe_failed(struct probe *probe)
{
	struct reach_watch *watch = probe->watch;
	const enum reach_state before = watch->reach.state;

	reach_record_failed(&watch->reach, probe->server->hash,
			    probe->server->failure_domain,
			    proxy_now_ms(watch->proxy));
	reach_record_probe_failed(&watch->reach);
	end_probe(probe);
	report_change(watch, before);
	timer_start(watch->timer, 0);
}

static void on_probe_ended(void *context, enum http_end_reason end)
{
	(void)end;
	on_probe_failed(context);
}

static void on_probe_timeout(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	on_probe_failed(context);
}

static const struct http_stream_events probe_events = {
	.connected = on_probe_connected,
	.ended = on_probe_ended,
};

static void start_probe(struct reach_watch *watch, struct server *server)
{
	struct probe *probe = g_new0(struct probe, 1);
	struct event_base *base = watch->proxy->base;

	probe->watch = watch;
	probe->server = server_ref(server);
	probe->timer = evtimer_new(base, on_probe_timeout, probe);
	probe->stream =
		http_stream_connect(base, &server->address,
				    PROBE_ACK_TIMEOUT_MS, &probe_events, probe);
	g_queue_push_tail(&watch->probes, probe);
	/* without a socket the probe says nothing, and ends like any other */
	timer_start(probe->timer, PROBE_TIMEOUT_MS);
	counter_add(COUNTER_PROBES, 1);
}

static void collect_candidate(struct server *server, void *context)
{
	uint32_t *count = context;

	if (*count == CANDIDATES_MAX || !server_is_usable(server))
		return;
	candidate_servers[*count] = server;
	candidates[*count].server_hash = server->hash;
	candidates[*count].failure_domain = server->failure_domain;
	candidates[*count].service = server->service;
	(*count)++;
}

static void start_probes(struct reach_watch *watch)
{
	const int64_t now_ms = proxy_now_ms(watch->proxy);
	uint32_t chosen[REACH_PROBES];
	uint32_t count = 0;
	uint32_t wanted;
	uint32_t i;

	if (now_ms < watch->reach.next_probe_ms)
		return;
	servers_for_each(watch->proxy->servers, collect_candidate, &count);
	wanted = reach_begin_probes(&watch->reach, count, now_ms);
	if (!wanted)
		return;
	wanted = reach_choose_probes(&watch->reach, candidates, count,
				     (uint32_t)g_random_int_range(0,
								  (gint32)count),
				     wanted, chosen);
	for (i = 0; i < wanted; i++)
		start_probe(watch, candidate_servers[chosen[i]]);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct reach_watch *watch = context;

	(void)fd;
	(void)what;
	if (g_queue_is_empty(&watch->probes))
		start_probes(watch);
	if (watch->reach.state == REACH_CUT_OFF)
		timer_start(watch->timer, CHECK_INTERVAL_MS);
}

struct reach_watch *reach_watch_new(struct proxy *proxy)
{
	struct reach_watch *watch = g_new0(struct reach_watch, 1);

	watch->proxy = proxy;
	watch->timer = evtimer_new(proxy->base, on_timer, watch);
	watch->entry_timer = evtimer_new(proxy->base, on_entry_timer, watch);
	return watch;
}

void reach_watch_free(struct reach_watch *watch)
{
	if (!watch)
		return;
	while (!g_queue_is_empty(&watch->probes))
		end_probe(g_queue_peek_head(&watch->probes));
	event_free(watch->timer);
	event_free(watch->entry_timer);
	g_free(watch);
}

void reach_watch_connected(struct reach_watch *watch, const struct server *server)
{
	enum reach_state before;

	if (!watch)
		return;
	before = watch->reach.state;
	reach_record_connected(&watch->reach, server->hash,
			       proxy_now_ms(watch->proxy));
	while (watch->reach.state == REACH_UP && !g_queue_is_empty(&watch->probes))
		end_probe(g_queue_peek_head(&watch->probes));
	report_change(watch, before);
}

void reach_watch_failed(struct reach_watch *watch, const struct server *server)
{
	if (!watch)
		return;
	reach_record_failed(&watch->reach, server->hash, server->failure_domain,
			    proxy_now_ms(watch->proxy));
	/* probes start from the loop: the caller may be ending its attempts */
	if (!evtimer_pending(watch->timer, NULL))
		timer_start(watch->timer, 0);
}

bool reach_watch_is_cut_off(const struct reach_watch *watch)
{
	return watch && watch->reach.state == REACH_CUT_OFF;
}

bool reach_watch_is_in_doubt(const struct reach_watch *watch)
{
	return watch && watch->reach.state != REACH_UP;
}

bool reach_watch_may_send(const struct reach_watch *watch,
			  const struct server *server)
{
	return !reach_watch_is_cut_off(watch) ||
	       (server->idle &&
		server->responded_ms > watch->reach.first_failure_ms);
}
