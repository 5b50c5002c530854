#include "handoff/handoff.h"

#include <stdlib.h>
#include <string.h>

#include "assign/assignment.h"
#include "base/counter.h"
#include "base/log.h"
#include "handoff/peers.h"
#include "net/listener.h"
#include "request/exchange_internal.h"
#include "request/headers.h"
#include "request/pool.h"

/* The VM adds headers to those of the caller; a message may have 128. */
#define HEADER_COUNT_MAX 120
/* A kept connection that breaks this soon after the request was written was
 * closed while it was idle: more than a round trip between regions. */
#define STALE_CLOSE_MS 100
/* Of the requests that are passed on, one in this many counts for the retries
 * of the VM that passes it on, which retries where the assigned VM fails; the
 * others count for those of the assigned VM. */
#define SENDER_RETRY_SHARE 4

struct handoff {
	struct proxy *proxy;
	struct evconnlistener *listener;
	struct peers *peers;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	(void)listener;
	(void)address;
	(void)length;
	tcp_set_options(fd, TCP_CALLER_USER_TIMEOUT_MS);
	caller_accept_handoff(context, fd);
}

struct handoff *handoff_new(struct proxy *proxy)
{
	const char *address = proxy->settings->handoff_address;
	struct handoff *handoff;

	if (!address || !*address)
		return NULL;
	handoff = g_new0(struct handoff, 1);
	handoff->proxy = proxy;
	handoff->peers = peers_new(proxy);
	handoff->listener = listener_open(proxy->base, address, on_accept, proxy);
	if (!handoff->listener) {
		handoff_free(handoff);
		return NULL;
	}
	return handoff;
}

void handoff_stop_listening(struct handoff *handoff)
{
	if (!handoff || !handoff->listener)
		return;
	evconnlistener_free(handoff->listener);
	handoff->listener = NULL;
}

void handoff_free(struct handoff *handoff)
{
	if (!handoff)
		return;
	handoff_stop_listening(handoff);
	peers_free(handoff->peers);
	g_free(handoff);
}

void handoff_init_request(struct exchange *e, const struct http_head *head)
{
	if (head->header_count > HEADER_COUNT_MAX)
		return;
	e->handoff_head = evbuffer_new();
	headers_copy_request_for_vm(head, e->handoff_head);
	e->handoff_request = e->request;
	e->handoff_request.workspace = NULL;
	e->handoff_request.head = e->handoff_head;
}

static struct peers *get_peers(const struct exchange *e)
{
	return e->proxy->handoff->peers;
}

static bool has_large_bodies(const struct route *route)
{
	return route->kind == ROUTE_UPLOAD || route->kind == ROUTE_DOWNLOAD;
}

/* @return the VM that is assigned to the object; NULL if it is this one. */
static const struct vm *find_vm(struct exchange *e)
{
	const struct proxy *proxy = e->proxy;
	struct assignment_query query = {
		.service = e->service->name,
		.region = e->region ? e->region : proxy->region,
		.object_hash = e->object_hash,
	};
	const struct vm *vm;

	if (has_large_bodies(e->route) && query.region == proxy->region)
		query.failure_domain = proxy->failure_domain;
	vm = assignment_find_vm(proxy->assignment, &query);
	e->is_assigned_here = vm && !strcmp(vm->name, proxy->settings->name);
	if (!vm || !vm->has_handoff || e->is_assigned_here)
		return NULL;
	return vm;
}

/* The request was proved not to run at the other VM.
 *
 * @param end ATTEMPT_REFUSED if that VM has sent it to servers. */
static void place_not_run(struct exchange *e, const char *reason,
			  enum attempt_end end)
{
	log_info("handoff", "request is placed directly request=%s vm=%s why=%s",
		 e->id, attempt_server(e->attempt)->id, reason);
	exchange_place_directly(e, end);
}

/* The other VM refused the request, and says that it has not run. */
static void end_refused(struct exchange *e)
{
	/* servers that the other VM tried have refused the request */
	const uint32_t send_count = attempt_meta(e->attempt)->send_count;
	const enum attempt_end end = send_count > e->send_count
					     ? ATTEMPT_REFUSED
					     : ATTEMPT_NOT_CONNECTED;

	e->send_count = MAX(e->send_count, send_count);
	if (attempt_is_declined(e->attempt)) {
		counter_add(COUNTER_HANDOFFS_DECLINED, 1);
		place_not_run(e, "declined", end);
		return;
	}
	/* before the region is chosen: the request must not run twice */
	if (!outcome_status_means_not_run(attempt_status(e->attempt)))
		e->worst_verdict = VERDICT_MAY_HAVE_RUN;
	if (exchange_choose_elsewhere(e) && exchange_acquire_retry(e, end)) {
		if (end == ATTEMPT_REFUSED)
			e->retry_reason = outcome_text(end);
		attempt_free(e->attempt);
		e->attempt = NULL;
		exchange_place_again(e);
		return;
	}
	if (e->worst_verdict == VERDICT_NOT_RUN)
		exchange_send_response(e);
	else
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "refused-after-failure");
}

static void end_answered(struct exchange *e)
{
	struct attempt *a = e->attempt;

	if (exchange_is_unproved_refusal(e, a)) {
		e->worst_verdict = VERDICT_RAN;
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "refusal-without-proof");
		return;
	}
	e->worst_verdict = MAX(e->worst_verdict, attempt_status(a) < 500
							 ? VERDICT_RAN
							 : VERDICT_MAY_HAVE_RUN);
	exchange_send_response(e);
}

/* @return whether the VM closed a kept connection while it was idle, which is
 * no failure, and the request may be sent to it again. */
static bool is_stale_connection(const struct exchange *e, enum attempt_end end)
{
	const struct attempt *a = e->attempt;

	if (!attempt_reused_connection(a) || attempt_response_started(a) ||
	    e->handoff_renewed)
		return false;
	if (end == ATTEMPT_NOT_CONNECTED)
		return true;
	return end == ATTEMPT_BROKEN && e->route->idempotent &&
	       attempt_elapsed_ms(a) < STALE_CLOSE_MS;
}

static bool send_to(struct exchange *e, struct server *server);

/* Sends the request again, on a new connection, or ends it if it may not be
 * sent again. */
static void renew(struct exchange *e, enum attempt_end end)
{
	struct server *server;

	e->handoff_renewed = true;
	if (attempt_was_sent(e->attempt)) {
		e->send_count++;
		e->worst_verdict = VERDICT_MAY_HAVE_RUN;
	}
	if (!exchange_acquire_retry(e, end)) {
		exchange_fail(e, outcome_http_status(e->worst_verdict, false),
			      "handoff-failed");
		return;
	}
	server = server_ref(attempt_server(e->attempt));
	pool_discard_idle(server);
	attempt_free(e->attempt);
	e->attempt = NULL;
	/* the retry is counted already */
	if (!send_to(e, server))
		exchange_place_directly(e, ATTEMPT_NOT_CONNECTED);
	server_unref(server);
}

static void end_failed(struct exchange *e, enum attempt_end end)
{
	struct attempt *a = e->attempt;

	if (is_stale_connection(e, end)) {
		renew(e, end);
		return;
	}
	counter_add(COUNTER_HANDOFFS_FAILED, 1);
	/* a response that breaks off may be the server's fault */
	if (!attempt_response_started(a) || end == ATTEMPT_OTHER_SERVER)
		peers_record_failure(get_peers(e), attempt_server(a),
				     outcome_text(end));
	if (end == ATTEMPT_NOT_CONNECTED || end == ATTEMPT_OTHER_SERVER) {
		place_not_run(e, outcome_text(end), ATTEMPT_NOT_CONNECTED);
		return;
	}
	e->send_count++;
	e->worst_verdict = MAX(e->worst_verdict, VERDICT_MAY_HAVE_RUN);
	log_info("handoff",
		 "request passed on has no response request=%s vm=%s "
		 "why=%s",
		 e->id, attempt_server(a)->id, outcome_text(end));
	exchange_place_directly(e, end);
}

static void on_done(void *context, struct attempt *a, enum attempt_end end)
{
	struct exchange *e = context;

	service_time_adopt(&exchange_route_state(e)->time,
			   attempt_meta(a)->service_fast_ms,
			   attempt_meta(a)->service_slow_ms);
	exchange_record_region_end(e, e->region, end == ATTEMPT_REFUSED);
	if (handoff_counts_for_sender(e) &&
	    (attempt_meta(a)->stamped || end == ATTEMPT_FAILED))
		exchange_count_for_retry_share(e);
	if (attempt_response_started(a) && end != ATTEMPT_OTHER_SERVER)
		peers_record_success(get_peers(e), attempt_server(a));
	if (e->streaming) {
		e->worst_verdict = MAX(e->worst_verdict, outcome_verdict(end));
		exchange_finish_streaming(e, end);
	} else if (end == ATTEMPT_ANSWERED || end == ATTEMPT_FAILED) {
		end_answered(e);
	} else if (end == ATTEMPT_REFUSED) {
		end_refused(e);
	} else {
		end_failed(e, end);
	}
}

static void on_buffer_full(void *context, struct attempt *a)
{
	struct exchange *e = context;

	if (exchange_is_unproved_refusal(e, a))
		end_answered(e);
	else
		exchange_start_streaming(e);
}

static const struct attempt_events attempt_events = {
	on_buffer_full,
	exchange_forward_body,
	on_done,
};

static bool send_to(struct exchange *e, struct server *server)
{
	e->handoff_request.deadline_ms = e->deadline_ms;
	e->handoff_request.send_count = e->send_count;
	e->attempt = attempt_start(e->proxy, server, &e->handoff_request,
				   &attempt_events, e);
	return e->attempt != NULL;
}

/* @return whether it is decided in which region the request runs. */
static bool has_region(const struct exchange *e)
{
	if (e->region)
		return true;
	return !e->spilled_over && exchange_allows_region(e, e->proxy->region);
}

bool handoff_counts_for_sender(const struct exchange *e)
{
	return g_str_hash(e->id) % SENDER_RETRY_SHARE == 0;
}

bool handoff_start(struct exchange *e)
{
	struct proxy *proxy = e->proxy;
	const struct vm *vm;

	if (e->handed_off || e->handoff_decided)
		return false;
	e->handoff_decided = true;
	if (!proxy->handoff || !e->handoff_head || !e->route ||
	    !assignment_is_on(proxy->assignment))
		return false;
	if (!has_region(e))
		return false;
	vm = find_vm(e);
	if (!vm || !send_to(e, peers_get(proxy->handoff->peers, vm)))
		return false;
	counter_add(COUNTER_HANDOFFS_SENT, 1);
	return true;
}

void handoff_record_timeout(struct exchange *e)
{
	const struct attempt *a = e->attempt;

	counter_add(COUNTER_HANDOFFS_FAILED, 1);
	/* a VM that runs reports a time-out itself, before this one's timer */
	if (!attempt_response_started(a))
		peers_record_failure(get_peers(e), attempt_server(a),
				     outcome_text(ATTEMPT_TIMED_OUT));
}

json_t *handoff_encode_status(const struct handoff *handoff)
{
	return handoff ? peers_encode_status(handoff->peers) : json_array();
}
