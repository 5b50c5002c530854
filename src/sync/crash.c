#include "sync/crash.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/quarantine.h"
#include "kv/notices.h"
#include "net/http_stream.h"
#include "net/timer.h"
#include "sync/reach_watch.h"

/* Delay before the probe. A crashed server does not listen again by then; a
 * server that only closed one connection does. */
#define PROBE_DELAY_MS 100
#define PROBE_ACK_TIMEOUT_MS 500
/* Limit on probes per second: when many servers fail at once, the cause is not
 * a single request. */
#define PROBES_PER_S_MAX 4
/* Delay before a crash is evaluated. If more than SERVERS_DOWN_MAX servers went
 * down within this time of it, the cause is a failure domain or a rack, not a
 * request. */
#define EVALUATION_DELAY_MS 500
#define SERVERS_DOWN_MAX 2

struct probe {
	struct crash_watch *watch;
	struct server *server;
	uint64_t fingerprint;
	struct event *timer;
	struct http_stream *stream;
	bool evaluated;
	int64_t down_since_ms; /* when the probe failed; 0: not yet probed */
};

struct crash_watch {
	struct proxy *proxy;
	struct quarantine quarantine;
	GQueue probes;
	int64_t probe_second; /* second in which probe_count is counted */
	uint32_t probe_count;
};

static void probe_free(struct probe *probe)
{
	g_queue_remove(&probe->watch->probes, probe);
	http_stream_free(probe->stream);
	event_free(probe->timer);
	server_unref(probe->server);
	free(probe);
}

static void record_crash(struct crash_watch *watch, uint64_t fingerprint,
			 const char *server_id)
{
	if (quarantine_record_crash(&watch->quarantine, fingerprint,
				    XXH3_64bits(server_id, strlen(server_id)),
				    proxy_now_ms(watch->proxy)))
		log_warn("crash",
			 "request quarantined; refused from now on "
			 "fingerprint=%016" PRIx64 " server=%s",
			 fingerprint, server_id);
}

static uint32_t count_servers_down(const struct crash_watch *watch, int64_t at_ms)
{
	const struct server *seen[SERVERS_DOWN_MAX + 1];
	uint32_t count = 0;
	GList *link;
	uint32_t i;

	for (link = watch->probes.head; link; link = link->next) {
		const struct probe *probe = link->data;

		if (!probe->down_since_ms ||
		    llabs(probe->down_since_ms - at_ms) > EVALUATION_DELAY_MS)
			continue;
		for (i = 0; i < count && seen[i] != probe->server; i++)
			;
		if (i == count)
			seen[count++] = probe->server;
		if (count > SERVERS_DOWN_MAX)
			break;
	}
	return count;
}

/* Reports the crash unless several servers went down at once. The probe stays
 * in the list for a while, so that later crashes can be compared with it. */
static void evaluate_crash(struct probe *probe)
{
	struct crash_watch *watch = probe->watch;
	char *key;

	if (reach_watch_is_in_doubt(watch->proxy->reach)) {
		log_info("crash",
			 "this VM may be cut off; no crash report server=%s",
			 probe->server->id);
		return;
	}
	if (count_servers_down(watch, probe->down_since_ms) > SERVERS_DOWN_MAX) {
		log_info("crash",
			 "several servers down at once; no crash report server=%s",
			 probe->server->id);
		return;
	}
	log_warn("crash",
		 "server crashed while running a request server=%s "
		 "fingerprint=%016" PRIx64,
		 probe->server->id, probe->fingerprint);
	record_crash(watch, probe->fingerprint, probe->server->id);
	key = g_strdup_printf(CRASH_KEY_PREFIX "%016" PRIx64 "/%s",
			      probe->fingerprint, probe->server->id);
	notices_write(watch->proxy->notices, key, "{}", true);
	g_free(key);
}

static void on_connect_failed(struct probe *probe)
{
	reach_watch_failed(probe->watch->proxy->reach, probe->server);
	http_stream_free(probe->stream);
	probe->stream = NULL;
	probe->down_since_ms = proxy_now_ms(probe->watch->proxy);
	timer_start(probe->timer, EVALUATION_DELAY_MS);
}

static void on_connected(void *context)
{
	struct probe *probe = context;

	/* the server is running: only a response was lost */
	reach_watch_connected(probe->watch->proxy->reach, probe->server);
	probe_free(probe);
}

static void on_ended(void *context, enum http_end_reason end)
{
	(void)end;
	on_connect_failed(context);
}

static const struct http_stream_events probe_events = {
	.connected = on_connected,
	.ended = on_ended,
};

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct probe *probe = context;

	(void)fd;
	(void)what;
	if (probe->evaluated) {
		probe_free(probe);
		return;
	}
	if (probe->down_since_ms) {
		evaluate_crash(probe);
		probe->evaluated = true;
		timer_start(probe->timer, EVALUATION_DELAY_MS);
		return;
	}
	probe->stream =
		http_stream_connect(probe->watch->proxy->base,
				    &probe->server->address,
				    PROBE_ACK_TIMEOUT_MS, &probe_events, probe);
	if (!probe->stream)
		probe_free(probe);
}

static bool reserve_probe(struct crash_watch *watch)
{
	int64_t second = proxy_now_ms(watch->proxy) / MS_PER_S;

	if (second != watch->probe_second)
		watch->probe_count = 0;
	watch->probe_second = second;
	return watch->probe_count++ < PROBES_PER_S_MAX;
}

void crash_probe_server(struct crash_watch *watch, struct server *server,
			uint64_t fingerprint)
{
	struct probe *probe;

	if (!reserve_probe(watch))
		return;
	probe = calloc(1, sizeof(*probe));
	if (!probe)
		return;
	probe->watch = watch;
	probe->server = server_ref(server);
	probe->fingerprint = fingerprint;
	probe->timer = evtimer_new(watch->proxy->base, on_timer, probe);
	timer_start(probe->timer, PROBE_DELAY_MS);
	g_queue_push_tail(&watch->probes, probe);
}

void crash_apply_report(struct crash_watch *watch, const char *key)
{
	char *end;
	uint64_t fingerprint = strtoull(key, &end, 16);

	if (*end != '/') {
		counter_add(COUNTER_UNREADABLE_ENTRIES, 1);
		log_warn("crash", "malformed crash report key=%s", key);
		return;
	}
	record_crash(watch, fingerprint, end + 1);
}

bool crash_is_request_refused(const struct crash_watch *watch,
			      uint64_t fingerprint)
{
	return quarantine_refuses(&watch->quarantine, fingerprint,
				  proxy_now_ms(watch->proxy));
}

struct crash_watch *crash_watch_new(struct proxy *proxy)
{
	struct crash_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->proxy = proxy;
	return watch;
}

void crash_watch_free(struct crash_watch *watch)
{
	if (!watch)
		return;
	while (!g_queue_is_empty(&watch->probes))
		probe_free(g_queue_peek_head(&watch->probes));
	free(watch);
}
