#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "decide/retry_after.h"
#include "handoff/handoff.h"
#include "platform/header_codec.h"
#include "queue/wait_queue.h"
#include "request/exchange_internal.h"
#include "request/headers.h"
#include "request/response_limits.h"
#include "sync/reach_watch.h"

void exchange_free(struct exchange *e)
{
	uint32_t i;

	wait_queue_remove(e->proxy->wait_queue, e);
	attempt_free(e->attempt);
	for (i = 0; i < e->tried_count; i++)
		server_unref(e->tried_servers[i]);
	e->proxy->exchanges_in_progress--;
	gauge_add(GAUGE_IN_FLIGHT, -1);
	e->proxy->buffered_body_bytes -= evbuffer_get_length(e->body);
	config_unref(e->config);
	event_free(e->timer);
	evbuffer_free(e->head);
	if (e->handoff_head)
		evbuffer_free(e->handoff_head);
	evbuffer_free(e->body);
	free(e->id);
	free(e->method);
	free(e);
}

static void log_response(const struct exchange *e, uint16_t status,
			 const char *reason)
{
	log_info("request",
		 "request answered request=%s route=%s workspace=%s "
		 "version=%08" PRIx64 " status=%u why=%s verdict=%s sends=%u "
		 "took_ms=%" PRId64 " server=%s via=%s handed_off=%d",
		 e->id, e->route ? e->route->name : "-",
		 e->workspace ? e->workspace->name : "-",
		 e->config ? e->config->version : 0, status, reason,
		 verdict_text(e->worst_verdict), e->send_count,
		 proxy_now_ms(e->proxy) - e->started_ms,
		 e->tried_count ? e->tried_servers[e->tried_count - 1]->id : "-",
		 e->attempt && attempt_server(e->attempt)->is_entry_vm
			 ? attempt_server(e->attempt)->id
			 : "-",
		 e->handed_off);
}

static uint32_t retry_after_ms(const struct exchange *e)
{
	const struct retry_after_facts facts = {
		.wait_ms = e->wait_ms,
		.is_stated = e->wait_is_stated,
		.elsewhere = e->proxy->stopping ||
			     reach_watch_is_cut_off(e->proxy->reach),
	};
	const struct retry_after_range range = retry_after_range(&facts);

	return (uint32_t)g_random_int_range((gint32)range.min_ms,
					    (gint32)range.end_ms);
}

void exchange_fail(struct exchange *e, uint16_t status, const char *reason)
{
	struct caller_request *caller = e->caller;
	struct evbuffer *headers = evbuffer_new();
	uint32_t delay_ms = retry_after_ms(e);

	log_response(e, status, reason);
	histogram_add(e->worst_verdict == VERDICT_NOT_RUN ? HISTOGRAM_REFUSED
							  : HISTOGRAM_FAILED,
		      proxy_now_ms(e->proxy) - e->started_ms);
	counter_add(e->worst_verdict == VERDICT_NOT_RUN ? COUNTER_NOT_RUN
							: COUNTER_MAY_HAVE_RUN,
		    1);
	if (e->id[0])
		response_headers_encode(headers, e->id);
	if (status == 401) {
		counter_add(COUNTER_REFUSED_KEY, 1);
		response_key_challenge_encode(headers);
	}
	if (status == 503 || status == 429)
		evbuffer_add_printf(headers, "Retry-After: %u.%03u\r\n",
				    delay_ms / (uint32_t)MS_PER_S,
				    delay_ms % (uint32_t)MS_PER_S);
	if (e->handed_off && e->worst_verdict == VERDICT_NOT_RUN &&
	    outcome_status_means_not_run(status)) {
		response_refusal_encode(headers, handoff_is_declined(e));
		handoff_sends_encode(headers, e->send_count);
	}
	caller_write_head(caller, status, headers, FRAMING_CONTENT_LENGTH, 0,
			  false);
	evbuffer_free(headers);
	exchange_free(e);
	caller_end_response(caller);
}

static enum response_framing choose_framing(const struct exchange *e,
					    uint16_t status)
{
	if (status == 204 || status == 304)
		return FRAMING_NO_BODY;
	return strcmp(e->method, "HEAD") ? FRAMING_CONTENT_LENGTH
					 : FRAMING_NO_BODY;
}

/* Tells the VM that handed the request off how long requests of the route run
 * here. */
static void add_service_time(struct exchange *e)
{
	const struct service_time *time;

	if (!e->handed_off)
		return;
	time = &exchange_route_state(e)->time;
	if (time->sample_count >= SERVICE_TIME_SAMPLES_MIN)
		response_service_time_encode(attempt_headers(e->attempt),
					     (uint32_t)time->fast_ms,
					     (uint32_t)time->slow_ms);
}

/* @param bytes of the body; -1: unknown. */
static void extend_reading(const struct exchange *e, int64_t bytes)
{
	if (bytes < 0 || bytes > SMALL_BODY_BYTES_MAX)
		caller_extend_reading(e->caller, e->caller_deadline_ms -
							 proxy_now_ms(e->proxy) +
							 LATE_RESPONSE_GRACE_MS);
}

void exchange_send_response(struct exchange *e)
{
	struct attempt *a = e->attempt;
	struct caller_request *caller = e->caller;
	uint16_t status = attempt_status(a);
	int64_t elapsed_ms = proxy_now_ms(e->proxy) - e->started_ms;

	/* a VM that was handed the request may refuse it */
	if (attempt_is_refused(a)) {
		log_response(e, status, "refused-by-vm");
		histogram_add(HISTOGRAM_REFUSED, elapsed_ms);
		counter_add(COUNTER_NOT_RUN, 1);
	} else {
		log_response(e, status, "answered");
		histogram_add(HISTOGRAM_ANSWERED, elapsed_ms);
		counter_add(COUNTER_ANSWERED, 1);
	}
	add_service_time(e);
	extend_reading(e, (int64_t)evbuffer_get_length(attempt_body(a)));
	caller_write_head(caller, status, attempt_headers(a),
			  choose_framing(e, status),
			  evbuffer_get_length(attempt_body(a)), false);
	caller_write_body(caller, attempt_body(a));
	exchange_free(e);
	caller_end_response(caller);
}

void exchange_start_streaming(struct exchange *e)
{
	struct attempt *a = e->attempt;
	int64_t expected_bytes = attempt_expected_body_bytes(a);

	e->streaming = true;
	add_service_time(e);
	extend_reading(e, expected_bytes);
	caller_write_head(e->caller, attempt_status(a), attempt_headers(a),
			  expected_bytes >= 0 ? FRAMING_CONTENT_LENGTH
					      : FRAMING_CHUNKED,
			  expected_bytes >= 0 ? (uint64_t)expected_bytes : 0,
			  false);
	caller_write_body(e->caller, attempt_body(a));
}

void exchange_forward_body(void *context, struct attempt *a)
{
	struct exchange *e = context;

	caller_write_body(e->caller, attempt_body(a));
	if (caller_unsent_bytes(e->caller) > response_limits_unsent_max())
		attempt_pause_reading(a, true);
}

void exchange_on_output_drained(struct exchange *e)
{
	if (e->streaming && e->attempt)
		attempt_pause_reading(e->attempt, false);
}

void exchange_finish_streaming(struct exchange *e, enum attempt_end end)
{
	struct caller_request *caller = e->caller;
	bool complete = end == ATTEMPT_ANSWERED || end == ATTEMPT_FAILED;

	log_response(e, attempt_status(e->attempt),
		     complete ? "answered" : "cut");
	exchange_free(e);
	if (complete)
		caller_end_response(caller);
	else
		caller_abort(caller);
}
