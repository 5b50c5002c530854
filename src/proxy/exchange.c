#include "proxy/exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "net/timer.h"
#include "platform/header_codec.h"
#include "proxy/crash.h"
#include "proxy/exchange_internal.h"
#include "proxy/headers.h"

/* Bodies held for all requests in progress. Half of the smallest VM's memory,
 * 112 MB. */
#define BODIES_BYTES_MAX (56 * 1024 * 1024)
/* Larger bodies are refused before they are read, smaller ones after, so that
 * the connection can be kept. */
#define BODY_BYTES_READ_FIRST 65536
/* Added to the time limit, so that a server's own answer at its deadline can
 * arrive. */
#define LATE_ANSWER_MS 120
/* A server is slow when it takes so many times what was expected of it. */
#define SLOW_FACTOR 2
/* A server's answer so close to the deadline means that it ran out of time. */
#define AT_DEADLINE_MS 50
/* Deadline of a request whose caller gives none. */
#define DEADLINE_DEFAULT_MS 30000
/* Bytes that wait for a slow caller before its server is held up. */
#define UNSENT_BYTES_MAX (512 * 1024)

static void on_deadline(evutil_socket_t fd, short what, void *context);
static void send_request(struct exchange *e, const char *why_again);

static void refuse(struct exchange *e, uint16_t status, const char *why)
{
	e->refusal = status;
	e->refusal_why = why;
}

static void copy_host(const struct http_head *head, char *out, size_t bytes)
{
	const char *host = http_head_get(head, "Host");

	g_strlcpy(out, host ? host : "", bytes);
	out[strcspn(out, ":")] = '\0';
}

/* A request with several hosts could be matched by one and run for another. */
static bool has_one_host(const struct http_head *head)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < head->header_count; i++)
		count += !strcasecmp(head->headers[i].name, "Host");
	return count == 1;
}

static void match_route(struct exchange *e, const struct http_head *head)
{
	char host[256];

	if (*head->target != '/' || !has_one_host(head)) {
		refuse(e, 400, "target-or-host");
		return;
	}
	if (!e->config) {
		refuse(e, 503, "no-configuration");
		return;
	}
	copy_host(head, host, sizeof(host));
	e->route = config_route(e->config, host, head->target);
	if (!e->route) {
		refuse(e, 404, "no-route");
		return;
	}
	e->service =
		route_part_for(e->route, XXH3_64bits(e->id, strlen(e->id)))->service;
	e->body_bytes_max = e->config->limits.body_bytes_max;
	if (head->content_length > (int64_t)e->body_bytes_max)
		refuse(e, 413, "body-too-large");
}

static void set_deadline(struct exchange *e, uint32_t caller_ms)
{
	uint32_t limit_ms = caller_ms ? caller_ms : DEADLINE_DEFAULT_MS;

	if (e->route && e->route->timeout_ms < limit_ms)
		limit_ms = e->route->timeout_ms;
	e->deadline_ms = e->started_ms + limit_ms;
	timer_start(e->timer, (int64_t)limit_ms + LATE_ANSWER_MS);
}

static uint64_t hash_object(const struct exchange *e,
			    const struct request_meta *meta)
{
	if (meta->object)
		return XXH3_64bits(meta->object, meta->object_bytes);
	return XXH3_64bits(e->id, strlen(e->id));
}

struct exchange *exchange_begin(struct proxy *proxy, struct caller *caller,
				const struct http_head *head)
{
	struct request_meta meta = request_meta_decode(head);
	struct exchange *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->proxy = proxy;
	e->caller = caller;
	e->started_ms = proxy_now_ms(proxy);
	e->config = proxy->config ? config_hold(proxy->config) : NULL;
	e->id = strdup(meta.id ? meta.id : "");
	e->method = strdup(head->method);
	e->object_hash = hash_object(e, &meta);
	e->has_object = meta.object != NULL;
	e->head = evbuffer_new();
	e->body = evbuffer_new();
	e->timer = evtimer_new(proxy->base, on_deadline, e);
	e->worst = VERDICT_NOT_RUN;
	proxy->exchanges++;
	gauge_add(GAUGE_IN_FLIGHT, 1);
	counter_add(COUNTER_REQUESTS, 1);
	headers_copy_request(head, e->head);
	match_route(e, head);
	set_deadline(e, meta.deadline_ms);
	e->request.id = e->id;
	e->request.method = e->method;
	e->request.head = e->head;
	e->request.body = e->body;
	e->request.deadline_ms = e->deadline_ms;
	if (!e->refusal &&
	    proxy->body_bytes + (uint64_t)MAX(head->content_length, 0) >
		    BODIES_BYTES_MAX)
		refuse(e, 503, "bodies-fill-memory");
	e->refuses_body =
		e->refusal && head->content_length > BODY_BYTES_READ_FIRST;
	return e;
}

bool exchange_refuses_body(const struct exchange *e)
{
	return e->refuses_body;
}

void exchange_body(struct exchange *e, const uint8_t *data, size_t bytes)
{
	size_t held = evbuffer_get_length(e->body);

	if (e->refusal)
		return;
	if (held + bytes > e->body_bytes_max) {
		exchange_fail(e, 413, "body-too-large");
		return;
	}
	if (e->proxy->body_bytes + bytes > BODIES_BYTES_MAX) {
		exchange_fail(e, 503, "bodies-fill-memory");
		return;
	}
	evbuffer_add(e->body, data, bytes);
	e->proxy->body_bytes += bytes;
}

/* The same request has the same start line, object and body; its id is new each
 * time. */
static uint64_t hash_request(struct exchange *e)
{
	size_t bytes = evbuffer_get_length(e->body);
	const char *line = (const char *)evbuffer_pullup(e->head, -1);
	uint64_t parts[3] = {
		XXH3_64bits(line, strcspn(line, "\r")),
		e->has_object ? e->object_hash : 0,
		XXH3_64bits(evbuffer_pullup(e->body, -1), bytes),
	};

	return XXH3_64bits(parts, sizeof(parts));
}

void exchange_run(struct exchange *e)
{
	struct retry_share_rule rule;
	struct service_state *state;

	if (e->refusal) {
		exchange_fail(e, e->refusal, e->refusal_why);
		return;
	}
	e->fingerprint = hash_request(e);
	if (crash_refuses(e->proxy->crashes, e->fingerprint)) {
		exchange_fail(e, 503, "crashes-servers");
		return;
	}
	rule = exchange_retry_rule(e);
	state = exchange_service_state(e);
	retry_share_request(&state->retries, &rule, e->started_ms);
	exchange_choose_side(e);
	send_request(e, NULL);
}

/* The server knows the object and has taken far longer than wait and run
 * should: it is slow, also when others wait there. */
static bool shows_slow_server(const struct exchange *e, int64_t took_ms)
{
	return e->known_there && took_ms > SLOW_FACTOR * (int64_t)e->expected_ms;
}

/* A request that waited behind others does not speak against its server. */
static void learn_timeout(const struct exchange *e, struct server *server,
			  int64_t took_ms)
{
	int64_t now_ms = proxy_now_ms(e->proxy);

	if (shows_slow_server(e, took_ms))
		server_slow(server, now_ms);
	else if (!server->load.waiting)
		server_failed(server, outcome_text(ATTEMPT_TIMED_OUT), now_ms);
}

static void on_deadline(evutil_socket_t fd, short what, void *context)
{
	struct exchange *e = context;
	uint16_t status;

	(void)fd;
	(void)what;
	if (e->passing_on)
		return;
	if (e->attempt && attempt_sent(e->attempt)) {
		e->worst = MAX(e->worst, VERDICT_MAY_HAVE_RUN);
		learn_timeout(e, attempt_server(e->attempt),
			      attempt_age_ms(e->attempt));
	}
	counter_add(COUNTER_TIMED_OUT, 1);
	status = e->refusal ? e->refusal : outcome_status(e->worst, true);
	exchange_fail(e, status, "time-is-up");
}

void exchange_cancel(struct exchange *e)
{
	if (!e)
		return;
	log_info("request",
		 "caller has left request=%s route=%s sends=%u "
		 "took_ms=%" PRId64,
		 e->id, e->route ? e->route->name : "-", e->sends,
		 proxy_now_ms(e->proxy) - e->started_ms);
	exchange_free(e);
}

static void on_overflow(void *context, struct attempt *a)
{
	(void)a;
	exchange_pass_on(context);
}

static void on_more(void *context, struct attempt *a)
{
	struct exchange *e = context;

	caller_write_body(e->caller, attempt_body(a));
	if (caller_unsent_bytes(e->caller) > UNSENT_BYTES_MAX)
		attempt_hold(a, true);
}

void exchange_drained(struct exchange *e)
{
	if (e->passing_on && e->attempt)
		attempt_hold(e->attempt, false);
}

static bool may_send_again(const struct exchange *e, enum attempt_end end)
{
	if (outcome_verdict(end) != VERDICT_NOT_RUN && !e->route->idempotent)
		return false;
	if (e->sends >= e->route->attempts_max ||
	    e->tried_count >= EXCHANGE_SERVERS_MAX)
		return false;
	return proxy_now_ms(e->proxy) < e->deadline_ms;
}

static bool pays_for_repeat(const struct exchange *e, enum attempt_end end)
{
	struct retry_share_rule rule = exchange_retry_rule(e);

	/* what never reached the server is no repeat */
	if (end == ATTEMPT_NOT_CONNECTED)
		return true;
	return retry_share_take(&exchange_service_state(e)->retries, &rule,
				proxy_now_ms(e->proxy));
}

static void learn(struct exchange *e, struct server *server, enum attempt_end end)
{
	if (end == ATTEMPT_OTHER_SERVER) {
		server->misplaced = true;
		log_info("servers", "another server answers server=%s",
			 server->id);
	} else if (end == ATTEMPT_SILENT || end == ATTEMPT_NOT_CONNECTED) {
		server_silent(server, proxy_now_ms(e->proxy));
	} else if (end == ATTEMPT_FAILED &&
		   e->deadline_ms - proxy_now_ms(e->proxy) < AT_DEADLINE_MS) {
		/* it stopped at its deadline */
		learn_timeout(e, server, attempt_age_ms(e->attempt));
	} else if (outcome_blames_server(end)) {
		if (end == ATTEMPT_BROKEN)
			crash_suspect(e->proxy->crashes, server, e->fingerprint);
		server_failed(server, outcome_text(end), proxy_now_ms(e->proxy));
	} else if (end == ATTEMPT_ANSWERED) {
		server_succeeded(server);
	}
}

static void learn_answer(const struct exchange *e, struct server *server,
			 int64_t took_ms)
{
	if (e->has_object)
		warmth_note(&e->proxy->warmth, e->object_hash, server->hash,
			    proxy_now_ms(e->proxy));
	if (server->load.waiting)
		return;
	took_ms = MAX(took_ms - server->path_ms, 1);
	service_time_note(&exchange_service_state(e)->time, took_ms);
	service_time_note(&exchange_route_state(e)->time, took_ms);
}

static void on_done(void *context, struct attempt *a, enum attempt_end end)
{
	struct exchange *e = context;
	struct server *server = attempt_server(a);

	histogram_add(HISTOGRAM_ATTEMPT, attempt_age_ms(a));
	learn(e, server, end);
	if (end == ATTEMPT_ANSWERED)
		learn_answer(e, server, attempt_age_ms(a));
	if (end != ATTEMPT_NOT_CONNECTED && end != ATTEMPT_OTHER_SERVER)
		e->sends++;
	e->worst = MAX(e->worst, outcome_verdict(end));
	if (e->passing_on) {
		exchange_end_passed_on(e, end);
		return;
	}
	if (end == ATTEMPT_ANSWERED) {
		exchange_deliver(e);
		return;
	}
	if (may_send_again(e, end) && pays_for_repeat(e, end)) {
		attempt_free(a);
		e->attempt = NULL;
		send_request(e, outcome_text(end));
		return;
	}
	if (end == ATTEMPT_FAILED) {
		exchange_deliver(e);
		return;
	}
	exchange_fail(e, outcome_status(e->worst, false), outcome_text(end));
}

static const struct attempt_events attempt_events = {
	on_overflow,
	on_more,
	on_done,
};

static void send_request(struct exchange *e, const char *why_again)
{
	const char *refusal;
	struct server *server = exchange_place(e, why_again, &refusal);

	if (!server) {
		counter_add(COUNTER_REFUSED_FULL, 1);
		exchange_fail(e, outcome_status(e->worst, false), refusal);
		return;
	}
	if (why_again)
		counter_add(COUNTER_RETRIES, 1);
	e->attempt =
		attempt_start(e->proxy, server, &e->request, &attempt_events, e);
	if (!e->attempt)
		exchange_fail(e, outcome_status(e->worst, false),
			      "no-connection");
}
