#include "base/counter.h"
#include "handoff/handoff.h"
#include "net/timer.h"
#include "request/exchange_internal.h"

/* A server is considered slow if it takes this many times the expected
 * latency. */
#define SLOW_FACTOR 2

/* A server that has the object cached and still takes far longer than the
 * expected wait and run time is slow, even if other requests are queued
 * there. */
static bool indicates_slow_server(const struct exchange *e, int64_t elapsed_ms)
{
	return e->object_cached &&
	       elapsed_ms > SLOW_FACTOR * (int64_t)e->expected_latency_ms;
}

/* A request that was queued behind others says nothing about the server. */
void exchange_record_timeout(const struct exchange *e, struct server *server,
			     int64_t elapsed_ms)
{
	int64_t now_ms = proxy_now_ms(e->proxy);

	if (indicates_slow_server(e, elapsed_ms))
		server_record_slow_response(server, now_ms);
	else if (!server->load.waiting)
		server_record_failure(server, outcome_text(ATTEMPT_TIMED_OUT),
				      now_ms);
}

/* A response that has begun is forwarded until the caller's own deadline; a
 * faulty server may send bytes without end. */
static void end_late_stream(struct exchange *e)
{
	int64_t left_ms = e->caller_deadline_ms + LATE_RESPONSE_GRACE_MS -
			  proxy_now_ms(e->proxy);

	if (left_ms > 0) {
		timer_start(e->timer, left_ms);
		return;
	}
	counter_add(COUNTER_TIMED_OUT, 1);
	if (!attempt_server(e->attempt)->is_entry_vm)
		server_record_failure(attempt_server(e->attempt),
				      outcome_text(ATTEMPT_TIMED_OUT),
				      proxy_now_ms(e->proxy));
	exchange_finish_streaming(e, ATTEMPT_TIMED_OUT);
}

/* Responds to a request that can wait no longer for its server. */
static void end_unanswered(struct exchange *e, const char *reason)
{
	uint16_t status;

	if (e->attempt && attempt_was_sent(e->attempt))
		e->worst_verdict = MAX(e->worst_verdict, VERDICT_MAY_HAVE_RUN);
	status = e->refusal_status ? e->refusal_status
				   : outcome_http_status(e->worst_verdict, true);
	exchange_fail(e, status, reason);
}

void exchange_on_deadline(evutil_socket_t fd, short what, void *context)
{
	struct exchange *e = context;

	(void)fd;
	(void)what;
	if (e->streaming) {
		end_late_stream(e);
		return;
	}
	if (e->attempt && attempt_server(e->attempt)->is_entry_vm) {
		handoff_record_timeout(e);
		exchange_record_region_timeout(e, e->region);
	} else if (e->attempt && attempt_was_sent(e->attempt)) {
		exchange_record_region_timeout(e,
					       attempt_server(e->attempt)->region);
		exchange_record_ramp(e, attempt_server(e->attempt),
				     ATTEMPT_TIMED_OUT,
				     attempt_elapsed_ms(e->attempt));
		exchange_record_timeout(e, attempt_server(e->attempt),
					attempt_elapsed_ms(e->attempt));
	}
	counter_add(COUNTER_TIMED_OUT, 1);
	end_unanswered(e, "time-is-up");
}

void exchange_end_at_exit(struct exchange *e)
{
	if (e && !e->streaming)
		end_unanswered(e, "exit");
}
