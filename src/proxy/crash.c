#include "proxy/crash.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "decide/quarantine.h"
#include "kv/kv_client.h"
#include "net/http_stream.h"
#include "net/timer.h"

/* A server that crashed does not listen yet after this time; one that closed a
 * single connection does. */
#define PROBE_AFTER_MS 100
#define PROBE_SILENCE_MS 500
/* Probes and reports in a second: servers that fail in numbers are no sign of
 * one bad request. */
#define SUSPECTS_PER_S 4
/* Reports are forgotten after this time, longer than callers come again. */
#define REPORT_TTL_MS 120000
#define CALL_TIMEOUT_MS 1000
#define REPORTS_MAX 16
/* A crash is judged after this time. Where more servers than this fell about
 * then, it was a failure domain or a rack, not a request. */
#define JUDGE_AFTER_MS 500
#define SERVERS_OF_REQUEST_MAX 2

struct probe {
	struct crash_watch *watch;
	struct server *server;
	uint64_t fingerprint;
	struct event *timer;
	struct http_stream *stream;
	bool judged;
	int64_t fell_ms; /* the server did not listen; 0: not known yet */
};

struct crash_watch {
	struct proxy *proxy;
	struct kv_line *line;
	struct quarantine quarantine;
	GQueue probes;
	GQueue reports; /* keys still to be written */
	uint64_t lease; /* 0: none */
	int64_t lease_until_ms;
	int64_t second; /* in which suspects are counted */
	uint32_t suspects;
};

static void send_report(struct crash_watch *watch);

static void probe_free(struct probe *probe)
{
	g_queue_remove(&probe->watch->probes, probe);
	http_stream_free(probe->stream);
	event_free(probe->timer);
	server_release(probe->server);
	free(probe);
}

static void on_written(void *context, uint16_t status, const char *body,
		       size_t bytes)
{
	struct crash_watch *watch = context;

	(void)body;
	(void)bytes;
	if (status != KV_STATUS_OK)
		log_warn("crash", "report was not written status=%u", status);
	if (status == KV_STATUS_NOT_FOUND)
		watch->lease = 0;
	g_free(g_queue_pop_head(&watch->reports));
	send_report(watch);
}

static void on_granted(void *context, uint16_t status, const char *body,
		       size_t bytes)
{
	struct crash_watch *watch = context;
	uint32_t ttl_ms;

	if (status != KV_STATUS_OK ||
	    !kv_decode_lease(body, bytes, &watch->lease, &ttl_ms)) {
		log_warn("crash", "no lease for reports status=%u", status);
		watch->lease = 0;
		g_free(g_queue_pop_head(&watch->reports));
		return;
	}
	watch->lease_until_ms = proxy_now_ms(watch->proxy) + ttl_ms / 2;
	send_report(watch);
}

static void send_report(struct crash_watch *watch)
{
	const char *key = g_queue_peek_head(&watch->reports);
	struct kv_call call;

	if (!key || kv_line_busy(watch->line))
		return;
	if (!watch->lease || proxy_now_ms(watch->proxy) >= watch->lease_until_ms) {
		kv_call_lease(&call, REPORT_TTL_MS);
		kv_line_send(watch->line, &call, CALL_TIMEOUT_MS, on_granted,
			     watch);
		return;
	}
	kv_call_put(&call, key, "{}", watch->lease);
	kv_line_send(watch->line, &call, CALL_TIMEOUT_MS, on_written, watch);
}

static void note(struct crash_watch *watch, uint64_t fingerprint,
		 const char *server_id)
{
	if (quarantine_note(&watch->quarantine, fingerprint,
			    XXH3_64bits(server_id, strlen(server_id)),
			    proxy_now_ms(watch->proxy)))
		log_warn("crash",
			 "request is refused from now on "
			 "fingerprint=%016" PRIx64 " server=%s",
			 fingerprint, server_id);
}

static uint32_t servers_fallen(const struct crash_watch *watch, int64_t about_ms)
{
	const struct server *seen[SERVERS_OF_REQUEST_MAX + 1];
	uint32_t count = 0;
	GList *link;
	uint32_t i;

	for (link = watch->probes.head; link; link = link->next) {
		const struct probe *probe = link->data;

		if (!probe->fell_ms ||
		    llabs(probe->fell_ms - about_ms) > JUDGE_AFTER_MS)
			continue;
		for (i = 0; i < count && seen[i] != probe->server; i++)
			;
		if (i == count)
			seen[count++] = probe->server;
		if (count > SERVERS_OF_REQUEST_MAX)
			break;
	}
	return count;
}

/* The probe stays in the list a while longer, for others to be judged by. */
static void judge(struct probe *probe)
{
	struct crash_watch *watch = probe->watch;

	if (servers_fallen(watch, probe->fell_ms) > SERVERS_OF_REQUEST_MAX) {
		log_info("crash", "several servers fell at once server=%s",
			 probe->server->id);
		return;
	}
	log_warn("crash",
		 "server crashed under a request server=%s "
		 "fingerprint=%016" PRIx64,
		 probe->server->id, probe->fingerprint);
	note(watch, probe->fingerprint, probe->server->id);
	if (g_queue_get_length(&watch->reports) < REPORTS_MAX)
		g_queue_push_tail(&watch->reports,
				  g_strdup_printf(CRASH_KEY_PREFIX "%016" PRIx64
								   "/%s",
						  probe->fingerprint,
						  probe->server->id));
	send_report(watch);
}

static void on_crashed(struct probe *probe)
{
	http_stream_free(probe->stream);
	probe->stream = NULL;
	probe->fell_ms = proxy_now_ms(probe->watch->proxy);
	timer_start(probe->timer, JUDGE_AFTER_MS);
}

static void on_connected(void *context)
{
	probe_free(context); /* it lives: an answer was lost */
}

static void on_ended(void *context, enum http_end end)
{
	(void)end;
	on_crashed(context);
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
	if (probe->judged) {
		probe_free(probe);
		return;
	}
	if (probe->fell_ms) {
		judge(probe);
		probe->judged = true;
		timer_start(probe->timer, JUDGE_AFTER_MS);
		return;
	}
	probe->stream =
		http_stream_connect(probe->watch->proxy->base,
				    &probe->server->address, PROBE_SILENCE_MS,
				    &probe_events, probe);
	if (!probe->stream)
		probe_free(probe);
}

static bool may_probe(struct crash_watch *watch)
{
	int64_t second = proxy_now_ms(watch->proxy) / MS_PER_S;

	if (second != watch->second)
		watch->suspects = 0;
	watch->second = second;
	return watch->suspects++ < SUSPECTS_PER_S;
}

void crash_suspect(struct crash_watch *watch, struct server *server,
		   uint64_t fingerprint)
{
	struct probe *probe;

	if (!may_probe(watch))
		return;
	probe = calloc(1, sizeof(*probe));
	if (!probe)
		return;
	probe->watch = watch;
	probe->server = server_hold(server);
	probe->fingerprint = fingerprint;
	probe->timer = evtimer_new(watch->proxy->base, on_timer, probe);
	timer_start(probe->timer, PROBE_AFTER_MS);
	g_queue_push_tail(&watch->probes, probe);
}

void crash_reported(struct crash_watch *watch, const char *key)
{
	char *end;
	uint64_t fingerprint = strtoull(key, &end, 16);

	if (*end != '/') {
		log_warn("crash", "report cannot be read key=%s", key);
		return;
	}
	note(watch, fingerprint, end + 1);
}

bool crash_refuses(const struct crash_watch *watch, uint64_t fingerprint)
{
	return quarantine_refuses(&watch->quarantine, fingerprint,
				  proxy_now_ms(watch->proxy));
}

struct crash_watch *crash_watch_new(struct proxy *proxy,
				    const struct sockaddr_in *store)
{
	struct crash_watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->proxy = proxy;
	watch->line = kv_line_new(proxy->base, store, KV_SERVER_STORE);
	return watch;
}

void crash_watch_free(struct crash_watch *watch)
{
	if (!watch)
		return;
	while (!g_queue_is_empty(&watch->probes))
		probe_free(g_queue_peek_head(&watch->probes));
	g_queue_clear_full(&watch->reports, g_free);
	kv_line_free(watch->line);
	free(watch);
}
