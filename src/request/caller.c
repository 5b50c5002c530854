#include "request/caller_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/number.h"
#include "net/buffer.h"
#include "net/buffer_account.h"
#include "net/http_stream.h"
#include "net/responder.h"
#include "net/tcp.h"
#include "net/timer.h"
#include "request/exchange.h"
#include "sync/reach_watch.h"

/* Limits used until a configuration is read. */
static const struct caller_limits default_limits = {
	.head_bytes_max = 16384,
	.body_bytes_max = 1048576,
	.head_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

/* Responses that wait for an earlier one: no further request is read from a
 * connection while they exceed this. */
#define HELD_BYTES_MAX (256 * 1024)

/* Idle time-out of connections of other entry VMs, which send requests less
 * often than a caller and are known. */
#define HANDOFF_IDLE_TIMEOUT_S 60
/* What another entry VM adds to the head of a caller's request. */
#define HANDOFF_HEAD_BYTES_EXTRA 512

static const struct caller_limits *get_limits(const struct proxy *proxy)
{
	return proxy->config ? &proxy->config->limits : &default_limits;
}

static uint32_t get_idle_timeout_ms(const struct caller *caller)
{
	return caller->is_handoff ? HANDOFF_IDLE_TIMEOUT_S * 1000
				  : get_limits(caller->proxy)->idle_timeout_ms;
}

bool caller_is_handoff(const struct caller_request *request)
{
	return request->caller->is_handoff;
}

struct caller_request *caller_first_request(const struct caller *caller)
{
	return caller->requests.head ? caller->requests.head->data : NULL;
}

static struct caller_request *last_request(const struct caller *caller)
{
	return caller->requests.tail ? caller->requests.tail->data : NULL;
}

static bool is_first(const struct caller_request *request)
{
	return caller_first_request(request->caller) == request;
}

bool caller_has_left(const struct caller_request *request)
{
	return http_stream_peer_has_closed(request->caller->stream);
}

static struct caller_request *request_new(struct caller *caller)
{
	struct caller_request *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->caller = caller;
	request->held = evbuffer_new();
	buffer_account_add(request->held);
	g_queue_push_tail(&caller->requests, request);
	return request;
}

static struct evbuffer *get_output(struct caller_request *request)
{
	return is_first(request) ? http_stream_output(request->caller->stream)
				 : request->held;
}

static void request_free(struct caller_request *request)
{
	if (request->exchange)
		exchange_cancel(request->exchange);
	buffer_account_remove(request->held);
	evbuffer_free(request->held);
	free(request);
}

void caller_free(struct caller *caller)
{
	struct caller_request *request;

	while ((request = g_queue_pop_head(&caller->requests)))
		request_free(request);
	g_queue_delete_link(&caller->proxy->callers, caller->link);
	event_free(caller->timer);
	free(caller);
}

static void start_timeout(struct caller *caller)
{
	const struct caller_limits *limits = get_limits(caller->proxy);
	uint32_t ms = MIN(limits->head_timeout_ms, get_idle_timeout_ms(caller));

	timer_start(caller->timer, ms);
}

static void read_next(struct caller *caller)
{
	caller->reading = true;
	http_stream_read_next(caller->stream);
}

static void wait_for_request(struct caller *caller)
{
	caller->idle_since_ms = proxy_now_ms(caller->proxy);
	caller->head_started = false;
	start_timeout(caller);
	read_next(caller);
}

static size_t count_held_bytes(const struct caller *caller)
{
	const GList *link;
	size_t bytes = 0;

	for (link = caller->requests.head; link; link = link->next)
		bytes += evbuffer_get_length(
			((struct caller_request *)link->data)->held);
	return bytes;
}

/* Only idempotent requests are read ahead of responses, and only behind
 * idempotent ones: what is not read, a caller may send again whatever its kind. */
static bool may_read_ahead(const struct caller *caller)
{
	const struct caller_request *last = last_request(caller);

	return last->is_read && !last->close_after_response &&
	       !last->waits_for_turn && !caller->proxy->stopping &&
	       (!last->exchange || exchange_is_idempotent(last->exchange)) &&
	       caller->requests.length <
		       caller->proxy->settings->pipelined_requests &&
	       count_held_bytes(caller) <= HELD_BYTES_MAX;
}

/* The request has become the first: its response may be written. */
static void begin_turn(struct caller_request *request)
{
	struct evbuffer *out = http_stream_output(request->caller->stream);

	if (request->wants_continue)
		evbuffer_add_printf(out, "HTTP/1.1 100 Continue\r\n\r\n");
	request->wants_continue = false;
	buffer_append(out, request->held);
	if (request->waits_for_turn) {
		request->waits_for_turn = false;
		exchange_process_request(request->exchange);
	} else if (request->exchange) {
		exchange_on_output_drained(request->exchange);
	}
}

void caller_advance(struct caller *caller)
{
	struct caller_request *request = caller_first_request(caller);

	caller->advancing = true;
	while (request && !request->exchange) {
		bool close = request->close_after_response;

		g_queue_pop_head(&caller->requests);
		request_free(request);
		if (close) {
			http_stream_free_lingering(caller->stream);
			caller_free(caller);
			return;
		}
		request = caller_first_request(caller);
		if (request)
			begin_turn(request);
	}
	caller->advancing = false;
	if (!request)
		wait_for_request(caller);
	else if (!caller->reading && may_read_ahead(caller))
		read_next(caller);
}

/* Rejects what is not a request, after the responses to earlier requests.
 * Closes the connection; may free the caller. */
static void reject(struct caller *caller, uint16_t status)
{
	struct caller_request *request = last_request(caller);

	if (!request || request->is_read)
		request = request_new(caller);
	else if (!request->exchange)
		return; /* has its response, which closes the connection */
	if (!request) {
		http_stream_abort(caller->stream);
		caller_free(caller);
		return;
	}
	if (request->exchange)
		exchange_cancel(request->exchange);
	request->exchange = NULL;
	caller_write_head(request, status, NULL, FRAMING_CONTENT_LENGTH, 0, true);
	caller_advance(caller);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct caller *caller = context;
	int64_t idle_ms = proxy_now_ms(caller->proxy) - caller->idle_since_ms;

	(void)fd;
	(void)what;
	if (caller_first_request(caller))
		return;
	if (http_stream_has_message_begun(caller->stream)) {
		if (caller->head_started) {
			log_info("caller", "request head timed out");
			reject(caller, 408);
			return;
		}
		caller->head_started = true;
	} else if (evbuffer_get_length(http_stream_output(caller->stream))) {
		/* it still reads the last response */
		caller->idle_since_ms = proxy_now_ms(caller->proxy);
	} else if (idle_ms >= get_idle_timeout_ms(caller)) {
		http_stream_free(caller->stream);
		caller_free(caller);
		return;
	}
	start_timeout(caller);
}

/* Runs a request that was read, or leaves it until its turn. While it runs,
 * caller_end_response() leaves it to this function to advance, which may free
 * the caller. */
static void process(struct caller_request *request)
{
	struct caller *caller = request->caller;

	if (is_first(request) || exchange_is_idempotent(request->exchange)) {
		caller->advancing = true;
		exchange_process_request(request->exchange);
	} else {
		request->waits_for_turn = true;
	}
	caller_advance(caller);
}

static void on_head(void *context, const struct http_head *head)
{
	struct caller *caller = context;
	struct caller_request *request = request_new(caller);

	evtimer_del(caller->timer);
	if (caller->reads_long && is_first(request)) {
		caller->reads_long = false;
		http_stream_set_user_timeout(caller->stream,
					     TCP_CALLER_USER_TIMEOUT_MS);
	}
	if (!request) {
		http_stream_abort(caller->stream);
		caller_free(caller);
		return;
	}
	request->close_after_response = !head->keep_alive;
	request->exchange = exchange_begin(caller->proxy, request, head);
	if (!request->exchange) {
		caller_abort(request);
		return;
	}
	if (exchange_refuses_body(request->exchange)) {
		process(request);
	} else if (http_head_has_token(head, "Expect", "100-continue")) {
		request->wants_continue = true;
		if (is_first(request))
			begin_turn(request);
	}
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct caller_request *request = last_request(context);

	if (request && !request->is_read && request->exchange)
		exchange_add_body(request->exchange, data, bytes);
}

static void on_complete(void *context)
{
	struct caller *caller = context;
	struct caller_request *request = last_request(caller);

	caller->reading = false;
	if (!request)
		return;
	request->is_read = true;
	if (request->exchange)
		process(request);
}

static void on_drained(void *context)
{
	const struct caller_request *request = caller_first_request(context);

	if (request && request->exchange)
		exchange_on_output_drained(request->exchange);
}

static void on_ended(void *context, enum http_end_reason end)
{
	struct caller *caller = context;

	if (end == HTTP_END_HEAD_TOO_LARGE || end == HTTP_END_INVALID) {
		/* reported again for each piece of input that follows */
		if (caller->rejected)
			return;
		caller->rejected = true;
		log_info("caller", "%s",
			 end == HTTP_END_INVALID
				 ? "malformed request status=400"
				 : "request head too large status=431");
		reject(caller, end == HTTP_END_INVALID ? 400 : 431);
		return;
	}
	http_stream_free(caller->stream);
	caller_free(caller);
}

static const struct http_stream_events stream_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.drained = on_drained,
	.ended = on_ended,
};

static void accept_connection(struct proxy *proxy, int fd, bool is_handoff)
{
	struct caller *caller = calloc(1, sizeof(*caller));
	const uint32_t head_bytes_max =
		get_limits(proxy)->head_bytes_max +
		(is_handoff ? HANDOFF_HEAD_BYTES_EXTRA : 0);

	if (!caller) {
		evutil_closesocket(fd);
		return;
	}
	caller->proxy = proxy;
	caller->is_handoff = is_handoff;
	caller->timer = evtimer_new(proxy->base, on_timer, caller);
	caller->stream = http_stream_accept(proxy->base, fd, head_bytes_max,
					    &stream_events, caller);
	if (!caller->stream || !caller->timer) {
		if (caller->timer)
			event_free(caller->timer);
		http_stream_free(caller->stream);
		free(caller);
		return;
	}
	g_queue_push_tail(&proxy->callers, caller);
	caller->link = g_queue_peek_tail_link(&proxy->callers);
	caller->reading = true;
	wait_for_request(caller);
}

void caller_accept(struct proxy *proxy, int fd)
{
	accept_connection(proxy, fd, false);
}

void caller_accept_handoff(struct proxy *proxy, int fd)
{
	accept_connection(proxy, fd, true);
}

/* Whether callers should go to another VM. */
static bool turns_callers_away(const struct proxy *proxy)
{
	return proxy->stopping || reach_watch_is_cut_off(proxy->reach);
}

/* Whether the connection closes after this response. Requests that were read
 * behind it are answered first. If it closes, nothing more is read. */
static bool must_close(struct caller_request *request, bool close)
{
	struct caller *caller = request->caller;

	if (request->close_after_response || close || !request->is_read)
		return true;
	if (!turns_callers_away(caller->proxy) ||
	    last_request(caller) != request ||
	    !http_stream_stop_reading(caller->stream))
		return false;
	caller->reading = false;
	return true;
}

void caller_write_head(struct caller_request *request, uint16_t status,
		       struct evbuffer *headers, enum response_framing framing,
		       uint64_t bytes, bool close)
{
	struct evbuffer *out = get_output(request);

	request->framing = framing;
	request->close_after_response = must_close(request, close);
	evbuffer_add_printf(out, "HTTP/1.1 %u %s\r\n", status,
			    responder_reason_phrase(status));
	if (headers)
		buffer_append(out, headers);
	if (framing == FRAMING_CONTENT_LENGTH)
		evbuffer_add_printf(out, "Content-Length: %" PRIu64 "\r\n",
				    bytes);
	else if (framing == FRAMING_CHUNKED)
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
	if (request->close_after_response)
		evbuffer_add_printf(out, "Connection: close\r\n");
	else if (request->caller->is_handoff)
		evbuffer_add_printf(out, "Keep-Alive: timeout=%d\r\n",
				    HANDOFF_IDLE_TIMEOUT_S);
	evbuffer_add(out, "\r\n", 2);
}

void caller_extend_reading(struct caller_request *request, int64_t ms)
{
	if (ms <= TCP_CALLER_USER_TIMEOUT_MS)
		return;
	request->caller->reads_long = true;
	http_stream_set_user_timeout(request->caller->stream, u32_from_int(ms));
}

void caller_write_body(struct caller_request *request, struct evbuffer *body)
{
	struct evbuffer *out = get_output(request);
	size_t bytes = evbuffer_get_length(body);

	if (!bytes)
		return;
	if (request->framing == FRAMING_CHUNKED)
		evbuffer_add_printf(out, "%zx\r\n", bytes);
	buffer_append(out, body);
	if (request->framing == FRAMING_CHUNKED)
		evbuffer_add(out, "\r\n", 2);
}

void caller_end_response(struct caller_request *request)
{
	struct caller *caller = request->caller;

	if (request->framing == FRAMING_CHUNKED)
		evbuffer_add(get_output(request), "0\r\n\r\n", 5);
	request->exchange = NULL;
	request->waits_for_turn = false;
	if (!caller->advancing)
		caller_advance(caller);
}

void caller_abort(struct caller_request *request)
{
	struct caller *caller = request->caller;

	request->exchange = NULL;
	http_stream_abort(caller->stream);
	caller_free(caller);
}

size_t caller_unsent_bytes(struct caller_request *request)
{
	return evbuffer_get_length(get_output(request));
}
