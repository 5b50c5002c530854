#include "request/exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "handoff/handoff.h"
#include "net/buffer.h"
#include "net/timer.h"
#include "platform/header_codec.h"
#include "quota/quota.h"
#include "request/exchange_internal.h"
#include "request/exchange_own.h"
#include "request/headers.h"
#include "request/response_limits.h"
#include "sync/crash.h"

/* Limit on buffered bodies of all requests in progress: half of the smallest
 * VM's memory, which is 112 MB. */
#define BUFFERED_BODIES_BYTES_MAX (56 * 1024 * 1024)
/* A refused request with a larger body gets its response at once, and its
 * connection is closed. Smaller bodies are read and discarded first, so that
 * the connection can be kept open. */
#define DISCARDED_BODY_BYTES_MAX 65536
/* Time before the exit of this process in which a server reports that the time
 * is up, also one that has read the request late. */
#define EXIT_REPORT_MS 400
/* A 5xx response this close to the deadline means that the server ran out of
 * time. */
#define DEADLINE_MARGIN_MS 50
/* Deadline of a request for which the caller gives none. */
#define DEADLINE_DEFAULT_MS 30000
/* The VM that handed a request off waits this much longer than this one, so
 * that the response at the deadline still arrives: a round trip between
 * regions, which is 70 ms, is part of it. */
#define HANDOFF_GRACE_MS 80
/* Of a request that was handed off and may be repeated, the VM that handed it
 * off buffers the response: larger ones are forwarded while they arrive. */
#define HANDOFF_BUFFERED_BYTES_MAX 16384

static void start_attempt(struct exchange *e, const char *retry_reason);

static void set_deadline(struct exchange *e, uint32_t caller_ms)
{
	uint32_t limit_ms = caller_ms ? caller_ms : DEADLINE_DEFAULT_MS;
	int64_t grace_ms = LATE_RESPONSE_GRACE_MS;

	e->caller_deadline_ms = e->started_ms + limit_ms;
	if (e->route && e->route->timeout_ms < limit_ms)
		limit_ms = e->route->timeout_ms;
	e->deadline_ms = e->started_ms + limit_ms;
	if (e->handed_off) {
		/* the VM that handed it off ends a response that takes too
		 * long: it knows the caller's deadline */
		e->caller_deadline_ms = e->started_ms + DEADLINE_DEFAULT_MS;
		grace_ms -= HANDOFF_GRACE_MS;
	}
	timer_start(e->timer, limit_ms + grace_ms);
}

static uint64_t hash_object(const struct exchange *e,
			    const struct request_meta *meta)
{
	if (meta->object)
		return XXH3_64bits(meta->object, meta->object_bytes);
	return XXH3_64bits(e->id, strlen(e->id));
}

static void init_request(struct exchange *e, const struct http_head *head)
{
	headers_copy_request(head, e->config && e->config->has_workspaces,
			     e->head);
	e->request.id = e->id;
	e->request.method = e->method;
	e->request.head = e->head;
	e->request.body = e->body;
	e->request.workspace = e->workspace ? e->workspace->name : NULL;
	e->request.runs_once = e->route && !e->route->idempotent;
	e->request.deadline_ms = e->deadline_ms;
	if (e->handed_off && e->route && e->route->idempotent)
		e->request.buffered_bytes_max = HANDOFF_BUFFERED_BYTES_MAX;
	if (!e->handed_off && e->config && e->config->has_large_bodies)
		handoff_init_request(e, head);
}

struct exchange *exchange_begin(struct proxy *proxy,
				struct caller_request *caller,
				const struct http_head *head)
{
	struct request_meta meta = request_meta_decode(head);
	struct exchange *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->proxy = proxy;
	e->caller = caller;
	e->started_ms = proxy_now_ms(proxy);
	e->config = proxy->config ? config_ref(proxy->config) : NULL;
	e->id = strdup(meta.id ? meta.id : "");
	e->method = strdup(head->method);
	e->object_hash = hash_object(e, &meta);
	e->has_object = meta.object != NULL;
	e->head = evbuffer_new();
	e->body = evbuffer_new();
	e->timer = evtimer_new(proxy->base, exchange_on_deadline, e);
	e->worst_verdict = VERDICT_NOT_RUN;
	e->handed_off = caller_is_handoff(caller);
	if (e->handed_off)
		e->send_count = meta.send_count;
	proxy->exchanges_in_progress++;
	gauge_add(GAUGE_IN_FLIGHT, 1);
	counter_add(e->handed_off ? COUNTER_HANDOFFS_RECEIVED : COUNTER_REQUESTS,
		    1);
	exchange_match_route(e, head);
	if (e->handed_off)
		handoff_check_request(e, meta.receiver);
	set_deadline(e, meta.deadline_ms);
	exchange_refuse_late_arrival(e);
	init_request(e, head);
	if (!e->refusal_status &&
	    proxy->buffered_body_bytes + (uint64_t)MAX(head->content_length, 0) >
		    BUFFERED_BODIES_BYTES_MAX)
		exchange_set_refusal(e, 503, "bodies-fill-memory");
	if (!e->refusal_status && response_limits_are_reached())
		exchange_set_refusal(e, 503, "responses-fill-memory");
	e->refuses_body = e->refusal_status &&
			  head->content_length > DISCARDED_BODY_BYTES_MAX;
	return e;
}

bool exchange_is_idempotent(const struct exchange *e)
{
	return e->refusal_status || e->route->idempotent;
}

bool exchange_refuses_body(const struct exchange *e)
{
	return e->refuses_body;
}

void exchange_add_body(struct exchange *e, const uint8_t *data, size_t bytes)
{
	size_t buffered = evbuffer_get_length(e->body);

	if (e->refusal_status)
		return;
	if (buffered + bytes > e->body_bytes_max) {
		exchange_fail(e, 413, "body-too-large");
		return;
	}
	if (e->proxy->buffered_body_bytes + bytes > BUFFERED_BODIES_BYTES_MAX) {
		exchange_fail(e, 503, "bodies-fill-memory");
		return;
	}
	evbuffer_add(e->body, data, bytes);
	e->proxy->buffered_body_bytes += bytes;
}

/* Retries of a request share its request line, object and body; the request id
 * differs each time. */
static uint64_t hash_request(struct exchange *e)
{
	const char *line = (const char *)evbuffer_pullup(e->head, -1);
	uint64_t parts[3] = {
		XXH3_64bits(line, strcspn(line, "\r")),
		e->has_object ? e->object_hash : 0,
		buffer_hash(e->body),
	};

	return XXH3_64bits(parts, sizeof(parts));
}

/* @return whether the request was refused, which frees the exchange. The VM to
 * which the caller sent it has counted one that was handed off. */
static bool refuse_over_quota(struct exchange *e)
{
	uint32_t wait_ms;

	if (e->handed_off || !e->workspace)
		return false;
	wait_ms = quota_admit(e->proxy->quota, e->workspace);
	if (!wait_ms)
		return false;
	e->wait_ms = wait_ms;
	e->wait_is_stated = true;
	exchange_fail(e, 429, "over-quota");
	return true;
}

void exchange_count_for_retry_share(struct exchange *e)
{
	struct retry_share_rule rule = exchange_retry_rule(e);

	if (e->counted_for_retry_share)
		return;
	e->counted_for_retry_share = true;
	retry_share_count_request(&exchange_service_state(e)->retries, &rule,
				  proxy_now_ms(e->proxy));
}

/* Requests that are refused, and those that another VM counts or has sent
 * before, would pay for retries beyond the fleet's budget. */
static void count_first_send(struct exchange *e)
{
	if (e->send_count || !attempt_was_sent(e->attempt) ||
	    (e->handed_off && handoff_counts_for_sender(e)))
		return;
	exchange_count_for_retry_share(e);
}

void exchange_process_request(struct exchange *e)
{
	exchange_refuse_late_arrival(e);
	if (e->refusal_status) {
		exchange_fail(e, e->refusal_status, e->refusal_reason);
		return;
	}
	e->fingerprint = hash_request(e);
	if (crash_is_request_refused(e->proxy->crashes, e->fingerprint)) {
		exchange_fail(e, 503, "crashes-servers");
		return;
	}
	if (refuse_over_quota(e))
		return;
	/* the region of a request that was handed off is chosen already */
	if (e->handed_off)
		e->region = e->proxy->region;
	else
		exchange_choose_region(e);
	start_attempt(e, NULL);
}

void exchange_cancel(struct exchange *e)
{
	if (!e)
		return;
	log_info("request",
		 "%s request=%s route=%s workspace=%s sends=%u sent=%d %s=%s "
		 "took_ms=%" PRId64,
		 e->proxy->exiting ? "request given up at exit"
				   : "caller closed the connection",
		 e->id, e->route ? e->route->name : "-",
		 e->workspace ? e->workspace->name : "-", e->send_count,
		 e->attempt && attempt_was_sent(e->attempt),
		 e->attempt && attempt_server(e->attempt)->is_entry_vm ? "via"
								       : "server",
		 e->attempt ? attempt_server(e->attempt)->id : "-",
		 proxy_now_ms(e->proxy) - e->started_ms);
	exchange_free(e);
}

bool exchange_is_unproved_refusal(const struct exchange *e,
				  const struct attempt *a)
{
	return !e->route->idempotent &&
	       outcome_status_means_not_run(attempt_status(a));
}

static void on_buffer_full(void *context, struct attempt *a)
{
	struct exchange *e = context;

	if (exchange_is_unproved_refusal(e, a)) {
		e->worst_verdict = VERDICT_RAN;
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "refusal-without-proof");
		return;
	}
	exchange_start_streaming(e);
}

/* @return whether the failure means that the server ran out of time. */
static bool is_server_timeout(const struct exchange *e, enum attempt_end end)
{
	return end == ATTEMPT_FAILED &&
	       e->deadline_ms - proxy_now_ms(e->proxy) < DEADLINE_MARGIN_MS;
}

static bool can_retry(const struct exchange *e, enum attempt_end end)
{
	/* what is left of the time is too short for another server */
	if (is_server_timeout(e, end))
		return false;
	if (outcome_verdict(end) != VERDICT_NOT_RUN && !e->route->idempotent)
		return false;
	if (e->send_count >= e->route->attempts_max ||
	    e->tried_count >= EXCHANGE_TRIED_SERVERS_MAX)
		return false;
	return proxy_now_ms(e->proxy) < e->deadline_ms;
}

static bool acquire_retry_budget(const struct exchange *e, enum attempt_end end)
{
	struct retry_share_rule rule = exchange_retry_rule(e);

	/* a request that never reached the server does not count as a retry */
	if (end == ATTEMPT_NOT_CONNECTED)
		return true;
	return retry_share_acquire(&exchange_service_state(e)->retries, &rule,
				   proxy_now_ms(e->proxy));
}

bool exchange_acquire_retry(struct exchange *e, enum attempt_end end)
{
	return can_retry(e, end) && acquire_retry_budget(e, end);
}

static void record_outcome(struct exchange *e, struct server *server,
			   enum attempt_end end)
{
	if (end == ATTEMPT_OTHER_SERVER) {
		server->address_reused = true;
		log_info("servers", "address belongs to another server server=%s",
			 server->id);
	} else if (end == ATTEMPT_SILENT || end == ATTEMPT_NOT_CONNECTED) {
		server_record_unreachable(server, proxy_now_ms(e->proxy));
	} else if (is_server_timeout(e, end)) {
		exchange_record_timeout(e, server,
					attempt_elapsed_ms(e->attempt));
	} else if (outcome_is_server_fault(end)) {
		if (end == ATTEMPT_BROKEN)
			crash_probe_server(e->proxy->crashes, server,
					   e->fingerprint);
		server_record_failure(server, outcome_text(end),
				      proxy_now_ms(e->proxy));
	} else if (end == ATTEMPT_ANSWERED) {
		server_record_success(server);
	}
}

static void record_response(struct exchange *e, struct server *server,
			    int64_t elapsed_ms)
{
	if (e->has_object)
		object_cache_record(&e->proxy->object_cache, e->object_hash,
				    server->hash, proxy_now_ms(e->proxy));
	if (server->load.waiting)
		return;
	elapsed_ms = MAX(elapsed_ms - server->rtt_ms, 1);
	if (e->has_own_server)
		exchange_record_own_run(e, server, elapsed_ms);
	service_time_record(&exchange_service_state(e)->time, elapsed_ms);
	service_time_record(&exchange_route_state(e)->time, elapsed_ms);
}

static void on_done(void *context, struct attempt *a, enum attempt_end end)
{
	struct exchange *e = context;
	struct server *server = attempt_server(a);

	histogram_add(HISTOGRAM_ATTEMPT, attempt_elapsed_ms(a));
	if (end == ATTEMPT_ANSWERED || end == ATTEMPT_REFUSED)
		exchange_record_region_end(e, server->region,
					   end == ATTEMPT_REFUSED);
	if (!attempt_was_withheld(a)) {
		exchange_record_ramp(e, server, end, attempt_elapsed_ms(a));
		record_outcome(e, server, end);
	}
	if (end == ATTEMPT_ANSWERED)
		record_response(e, server, attempt_elapsed_ms(a));
	e->repeat_server = NULL;
	count_first_send(e);
	if (end == ATTEMPT_REFUSED)
		exchange_record_own_refusal(e, server);
	if (end != ATTEMPT_NOT_CONNECTED && end != ATTEMPT_OTHER_SERVER)
		e->send_count++;
	e->worst_verdict = MAX(e->worst_verdict, outcome_verdict(end));
	if (e->streaming) {
		exchange_finish_streaming(e, end);
		return;
	}
	if ((end == ATTEMPT_ANSWERED || end == ATTEMPT_FAILED) &&
	    exchange_is_unproved_refusal(e, a)) {
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "refusal-without-proof");
		return;
	}
	if (end == ATTEMPT_ANSWERED) {
		exchange_send_response(e);
		return;
	}
	if (exchange_acquire_retry(e, end)) {
		attempt_free(a);
		e->attempt = NULL;
		start_attempt(e, outcome_text(end));
		return;
	}
	if (end == ATTEMPT_FAILED) {
		exchange_send_response(e);
		return;
	}
	exchange_fail(e, outcome_http_status(e->worst_verdict, false),
		      outcome_text(end));
}

static const struct attempt_events attempt_events = {
	on_buffer_full,
	exchange_forward_body,
	on_done,
};

/* The server's report that the time is up, or else this VM's own response, must
 * reach the caller before the process exits. */
static void limit_deadline_to_exit(struct exchange *e)
{
	const struct proxy *proxy = e->proxy;
	int64_t limit_ms = proxy->exit_deadline_ms - EXIT_REPORT_MS;

	if (!proxy->stopping || e->deadline_ms <= limit_ms)
		return;
	e->must_end_at_exit = true;
	e->deadline_ms = limit_ms;
	e->request.deadline_ms = limit_ms;
	timer_start(e->timer, proxy->exit_deadline_ms - proxy_now_ms(proxy));
}

/* @return whether the request must not be sent: the close of the caller's
 * connection, which cancels it, is about to be read. */
static bool has_caller_left(const struct exchange *e)
{
	if (!caller_has_left(e->caller))
		return false;
	log_info("request", "caller has left, request is not sent request=%s",
		 e->id);
	counter_add(COUNTER_CALLERS_LEFT, 1);
	return true;
}

static void start_attempt(struct exchange *e, const char *retry_reason)
{
	const char *refusal;
	struct server *server;

	e->retry_reason = retry_reason;
	if (has_caller_left(e))
		return;
	limit_deadline_to_exit(e);
	if (exchange_refuse_removed_key(e))
		return;
	if (handoff_start(e))
		return;
	server = exchange_select_server(e, retry_reason, &refusal);
	if (server) {
		exchange_send(e, server);
	} else if (refusal && exchange_choose_elsewhere(e)) {
		start_attempt(e, retry_reason);
	} else if (refusal) {
		counter_add(COUNTER_REFUSED_FULL, 1);
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      refusal);
	}
}

void exchange_place_again(struct exchange *e)
{
	start_attempt(e, e->retry_reason);
}

void exchange_send_waiting(struct exchange *e, struct server *server)
{
	if (!has_caller_left(e))
		exchange_send(e, server);
}

void exchange_send(struct exchange *e, struct server *server)
{
	limit_deadline_to_exit(e);
	if (e->retry_reason)
		counter_add(COUNTER_RETRIES, 1);
	e->attempt =
		attempt_start(e->proxy, server, &e->request, &attempt_events, e);
	if (e->attempt)
		count_first_send(e);
	else
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "no-connection");
}

void exchange_place_directly(struct exchange *e, enum attempt_end end)
{
	if (!exchange_acquire_retry(e, end)) {
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "handoff-failed");
		return;
	}
	attempt_free(e->attempt);
	e->attempt = NULL;
	start_attempt(e, end == ATTEMPT_NOT_CONNECTED ? NULL : outcome_text(end));
}
