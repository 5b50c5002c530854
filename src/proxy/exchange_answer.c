#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "platform/header_codec.h"
#include "proxy/exchange_internal.h"
#include "proxy/headers.h"

/* Time after which a caller may return when it is not known when there will be
 * room. */
#define RETURN_DEFAULT_MS 500

void exchange_free(struct exchange *e)
{
	uint32_t i;

	attempt_free(e->attempt);
	for (i = 0; i < e->tried_count; i++)
		server_release(e->tried[i]);
	e->proxy->exchanges--;
	gauge_add(GAUGE_IN_FLIGHT, -1);
	e->proxy->body_bytes -= evbuffer_get_length(e->body);
	config_release(e->config);
	event_free(e->timer);
	evbuffer_free(e->head);
	evbuffer_free(e->body);
	free(e->id);
	free(e->method);
	free(e);
}

static void log_end(const struct exchange *e, uint16_t status, const char *why)
{
	log_info("request",
		 "request is answered request=%s route=%s "
		 "version=%08" PRIx64 " status=%u why=%s verdict=%s sends=%u "
		 "took_ms=%" PRId64 " server=%s",
		 e->id, e->route ? e->route->name : "-",
		 e->config ? e->config->version : 0, status, why,
		 verdict_text(e->worst), e->sends,
		 proxy_now_ms(e->proxy) - e->started_ms,
		 e->tried_count ? e->tried[e->tried_count - 1]->id : "-");
}

static uint32_t return_after_ms(const struct exchange *e)
{
	uint32_t ms = e->wait_ms ? e->wait_ms : RETURN_DEFAULT_MS;

	/* another VM can take it at once */
	if (e->proxy->stopping)
		ms = 0;

	/* callers who were refused together return apart */
	return (uint32_t)g_random_int_range((gint32)(ms / 2 + 50),
					    (gint32)(ms * 3 / 2 + 51));
}

void exchange_fail(struct exchange *e, uint16_t status, const char *why)
{
	struct caller *caller = e->caller;
	struct evbuffer *headers = evbuffer_new();
	uint32_t after_ms = return_after_ms(e);

	log_end(e, status, why);
	histogram_add(e->worst == VERDICT_NOT_RUN ? HISTOGRAM_REFUSED
						  : HISTOGRAM_FAILED,
		      proxy_now_ms(e->proxy) - e->started_ms);
	counter_add(e->worst == VERDICT_NOT_RUN ? COUNTER_NOT_RUN
						: COUNTER_MAY_HAVE_RUN,
		    1);
	if (e->id[0])
		answer_headers_encode(headers, e->id);
	if (status == 503 || status == 429)
		evbuffer_add_printf(headers, "Retry-After: %u.%03u\r\n",
				    after_ms / (uint32_t)MS_PER_S,
				    after_ms % (uint32_t)MS_PER_S);
	caller_write_head(caller, status, headers, ANSWER_SIZED, 0, false);
	evbuffer_free(headers);
	exchange_free(e);
	caller_answered(caller);
}

static enum answer_framing framing_of(const struct exchange *e, uint16_t status)
{
	if (status == 204 || status == 304)
		return ANSWER_BARE;
	return strcmp(e->method, "HEAD") ? ANSWER_SIZED : ANSWER_BARE;
}

void exchange_deliver(struct exchange *e)
{
	struct attempt *a = e->attempt;
	struct caller *caller = e->caller;
	uint16_t status = attempt_status(a);

	log_end(e, status, "answered");
	histogram_add(HISTOGRAM_ANSWERED, proxy_now_ms(e->proxy) - e->started_ms);
	counter_add(COUNTER_ANSWERED, 1);
	caller_write_head(caller, status, attempt_headers(a),
			  framing_of(e, status),
			  evbuffer_get_length(attempt_body(a)), false);
	caller_write_body(caller, attempt_body(a));
	exchange_free(e);
	caller_answered(caller);
}

void exchange_pass_on(struct exchange *e)
{
	struct attempt *a = e->attempt;
	int64_t announced = attempt_announced_bytes(a);

	e->passing_on = true;
	evtimer_del(e->timer);
	caller_write_head(e->caller, attempt_status(a), attempt_headers(a),
			  announced >= 0 ? ANSWER_SIZED : ANSWER_CHUNKED,
			  announced >= 0 ? (uint64_t)announced : 0, false);
	caller_write_body(e->caller, attempt_body(a));
}

void exchange_end_passed_on(struct exchange *e, enum attempt_end end)
{
	struct caller *caller = e->caller;
	bool whole = end == ATTEMPT_ANSWERED || end == ATTEMPT_FAILED;

	log_end(e, attempt_status(e->attempt), whole ? "answered" : "cut");
	exchange_free(e);
	if (whole)
		caller_answered(caller);
	else
		caller_abort(caller);
}
