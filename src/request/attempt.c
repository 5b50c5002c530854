#include "request/attempt.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/counter.h"
#include "base/log.h"
#include "net/buffer_account.h"
#include "net/timer.h"
#include "platform/header_codec.h"
#include "queue/wait_queue.h"
#include "request/headers.h"
#include "request/pool.h"
#include "request/response_limits.h"
#include "request/server_report.h"
#include "sync/reach_watch.h"

/* Connecting takes one round trip, 70 ms between regions. Waiting for the
 * retransmission of a lost SYN would take a second. */
#define CONNECT_TIMEOUT_MS 250
/* Another server responds at the address. */
#define STATUS_OTHER_SERVER 421
/* Statuses from here on are errors. */
#define STATUS_ERROR_FIRST 400

struct attempt {
	struct proxy *proxy;
	struct server *server;
	struct server_connection *connection;
	const struct attempt_request *request;
	const struct attempt_events *events;
	void *context;
	struct event *connect_timer;
	struct evbuffer *headers;
	struct evbuffer *body;
	struct response_meta meta; /* pointers are valid in on_head() only */
	int64_t started_ms;
	int64_t expected_body_bytes;
	size_t request_bytes; /* as written to the connection */
	uint16_t status;
	bool keep_alive;
	bool has_large_body; /* the request has */
	bool has_id;	     /* the response bears the request's ID */
	bool reused;
	bool sent;
	bool withheld;	       /* the server asked for a pause */
	bool response_started; /* its head was read */
	bool skipping_stale;   /* discarding a response to an earlier request */
	bool skipped_stale;
	bool streaming;
	bool finished;
	struct attempt *next; /* in the server's list of attempts */
	struct attempt *previous;
};

static void close_connection(struct attempt *a)
{
	pool_discard(a->connection);
	a->connection = NULL;
}

static void link_to_server(struct attempt *a)
{
	a->next = a->server->attempts;
	if (a->next)
		a->next->previous = a;
	a->server->attempts = a;
}

static void unlink_from_server(struct attempt *a)
{
	if (a->previous)
		a->previous->next = a->next;
	else
		a->server->attempts = a->next;
	if (a->next)
		a->next->previous = a->previous;
}

static void finish(struct attempt *a, enum attempt_end end)
{
	if (a->finished)
		return;
	a->finished = true;
	unlink_from_server(a);
	load_record_finished(&a->server->load);
	wait_queue_on_slot_free(a->proxy->wait_queue, a->server);
	evtimer_del(a->connect_timer);
	a->events->done(a->context, a, end);
}

static void send_request(struct attempt *a)
{
	struct evbuffer *out = http_stream_output(pool_stream(a->connection));
	int64_t remaining_ms = a->request->deadline_ms - proxy_now_ms(a->proxy);
	size_t body_bytes = evbuffer_get_length(a->request->body);

	a->sent = true;
	a->has_large_body = body_bytes > SMALL_BODY_BYTES_MAX;
	if (a->has_large_body)
		http_stream_set_user_timeout(pool_stream(a->connection),
					     (uint32_t)MAX(remaining_ms, 1));
	evbuffer_add_buffer_reference(out, a->request->head);
	request_headers_encode(out, remaining_ms > 1 ? (uint32_t)remaining_ms : 1,
			       a->server->id, a->request->workspace);
	if (a->server->is_entry_vm)
		handoff_sends_encode(out, a->request->send_count);
	headers_end_request(a->request->method, body_bytes, out);
	if (body_bytes)
		evbuffer_add_buffer_reference(out, a->request->body);
	if (!strcmp(a->request->method, "HEAD"))
		http_stream_expect_no_body(pool_stream(a->connection));
	a->request_bytes = evbuffer_get_length(out);
	if (a->server->is_entry_vm)
		return;
	counter_add(COUNTER_ATTEMPTS, 1);
	if (server_limit_is_named(&a->server->limit))
		counter_add(COUNTER_LIMITED_SENDS, 1);
}

static void on_connected(void *context)
{
	struct attempt *a = context;

	evtimer_del(a->connect_timer);
	if (!a->server->is_entry_vm)
		reach_watch_connected(a->proxy->reach, a->server);
	server_update_rtt(a->server, attempt_elapsed_ms(a));
	/* asked for since the server was selected; of the requests sent before,
	 * only those in progress may reach it */
	if (a->server->busy_until_ms > proxy_now_ms(a->proxy)) {
		a->withheld = true;
		close_connection(a);
		finish(a, ATTEMPT_NOT_CONNECTED);
		return;
	}
	send_request(a);
}

static void on_connect_timeout(evutil_socket_t fd, short what, void *context)
{
	struct attempt *a = context;

	(void)fd;
	(void)what;
	close_connection(a);
	if (!a->server->is_entry_vm)
		reach_watch_failed(a->proxy->reach, a->server);
	finish(a, ATTEMPT_NOT_CONNECTED);
}

/* An entry VM that stops refuses what it has not read with a response without
 * an ID, behind which it closes the connection. */
static enum response_match match_response(const struct attempt *a,
					  const struct response_meta *meta,
					  const struct http_head *head)
{
	struct response_history *history = pool_history(a->connection);
	const struct response_origin origin = {
		.id = meta->id,
		.refused = meta->not_run,
		.answers_unread = a->server->is_entry_vm && !head->keep_alive,
	};
	enum response_match match =
		response_match(history, &origin, a->request->id);

	history->has_response = true;
	return match;
}

/* Skips a response to another request, or gives up. */
static void skip_response(struct attempt *a, enum response_match match,
			  const struct http_head *head)
{
	log_info("attempt",
		 "response %s server=%s request=%s answer_to=%s status=%u",
		 match == RESPONSE_UNPROVED ? "may belong to an earlier request"
					    : "belongs to another request",
		 a->server->id, a->request->id, a->meta.id ? a->meta.id : "-",
		 head->status);
	a->skipping_stale = match == RESPONSE_OF_OTHER && !head->until_close;
	a->skipped_stale = true;
	if (a->skipping_stale)
		return;
	close_connection(a);
	finish(a, a->meta.not_run ? ATTEMPT_UNPROVED : ATTEMPT_INVALID);
}

static void on_head(void *context, const struct http_head *head)
{
	struct attempt *a = context;
	enum response_match match;

	a->meta = response_meta_decode(head);
	match = match_response(a, &a->meta, head);
	if (a->meta.not_run && !a->server->is_entry_vm)
		a->server->omits_id = !a->meta.id;
	if (match != RESPONSE_MATCHES) {
		skip_response(a, match, head);
		return;
	}
	a->response_started = true;
	a->server->responded_ms = proxy_now_ms(a->proxy);
	a->status = head->status;
	a->keep_alive = head->keep_alive;
	a->has_id = a->meta.id != NULL;
	a->expected_body_bytes = head->content_length;
	headers_copy_response(head, a->server->is_entry_vm, a->headers);
	if (!a->server->is_entry_vm)
		server_report_record(a->proxy, a->server, &a->meta, a->status);
	a->meta.id = NULL;
	a->meta.server_id = NULL;
}

/* A refusal is replaced, or passed on without its body. Once streamed, it could
 * no longer be replaced. */
static void end_large_refusal(struct attempt *a)
{
	close_connection(a);
	evbuffer_drain(a->body, evbuffer_get_length(a->body));
	finish(a, a->status == STATUS_OTHER_SERVER ? ATTEMPT_OTHER_SERVER
						   : ATTEMPT_REFUSED);
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct attempt *a = context;
	const size_t bytes_max = a->request->buffered_bytes_max
					 ? a->request->buffered_bytes_max
					 : response_limits_buffered_max();

	if (a->skipping_stale)
		return;
	evbuffer_add(a->body, data, bytes);
	if (a->streaming) {
		a->events->body_ready(a->context, a);
	} else if (evbuffer_get_length(a->body) <= bytes_max) {
		return;
	} else if (a->meta.not_run && a->status >= STATUS_ERROR_FIRST) {
		end_large_refusal(a);
	} else if (a->meta.stamped && !a->meta.encoded) {
		a->streaming = true;
		a->events->buffer_full(a->context, a);
	} else {
		/* not forwarded in any case, and may have no end */
		close_connection(a);
		finish(a, ATTEMPT_INVALID);
	}
}

/* An error response that an entry VM made itself bears no server's stamp. */
static bool is_error_of_vm(const struct attempt *a)
{
	return a->server->is_entry_vm && a->has_id &&
	       a->status >= STATUS_ERROR_FIRST;
}

/* Unsent request bytes, or bytes after the response, would be read as part of
 * the next message on the connection. Of a large body, the kernel may still
 * hold some; an entry VM has read all of it if it keeps the connection open. */
static bool can_reuse_connection(const struct attempt *a)
{
	struct http_stream *stream = pool_stream(a->connection);

	return a->keep_alive && a->has_id &&
	       (!a->has_large_body || a->server->is_entry_vm) &&
	       !a->skipped_stale && !http_stream_pending_bytes(stream) &&
	       !evbuffer_get_length(http_stream_output(stream));
}

/* @return whether the connection may be used for other requests. */
static bool keep_history(struct attempt *a, enum attempt_end end)
{
	return outcome_verdict(end) != VERDICT_NOT_RUN ||
	       response_history_add_refusal(pool_history(a->connection),
					    a->request->id);
}

static void on_complete(void *context)
{
	struct attempt *a = context;
	struct response_facts facts;
	struct http_stream *stream = pool_stream(a->connection);
	enum attempt_end end;

	if (a->skipping_stale) {
		a->skipping_stale = false;
		http_stream_read_next(stream);
		return;
	}
	facts.status = a->status;
	facts.stamped = a->meta.stamped || is_error_of_vm(a);
	facts.not_run = a->meta.not_run;
	facts.encoded = a->meta.encoded;
	end = outcome_of_response(&facts);
	if (can_reuse_connection(a) && keep_history(a, end)) {
		if (a->has_large_body)
			http_stream_set_user_timeout(stream, POOL_ACK_TIMEOUT_MS);
		pool_release(a->connection, a->meta.idle_timeout_ms);
	} else {
		pool_discard(a->connection);
	}
	a->connection = NULL;
	finish(a, end);
}

/* The server's kernel no longer acknowledges data on one connection: ends all
 * attempts at the server now rather than at their deadlines. */
static void fail_server_attempts(struct server *server)
{
	struct server *owned = server_ref(server);

	log_info("servers", "%s is silent; failing its requests %s=%s",
		 server->is_entry_vm ? "VM" : "server",
		 server->is_entry_vm ? "vm" : "server", server->id);
	while (owned->attempts) {
		struct attempt *a = owned->attempts;

		close_connection(a);
		finish(a, a->sent ? ATTEMPT_SILENT : ATTEMPT_NOT_CONNECTED);
	}
	server_unref(owned);
}

/* @return whether an entry VM closed a kept connection before any byte of the
 * request was written to it. */
static bool is_unwritten(const struct attempt *a)
{
	struct evbuffer *out = http_stream_output(pool_stream(a->connection));

	return a->server->is_entry_vm && a->sent &&
	       evbuffer_get_length(out) == a->request_bytes;
}

static void on_ended(void *context, enum http_end_reason end)
{
	struct attempt *a = context;

	if (is_unwritten(a))
		a->sent = false;
	if ((end == HTTP_END_TIMED_OUT || !a->sent) && !a->server->is_entry_vm)
		reach_watch_failed(a->proxy->reach, a->server);
	if (end == HTTP_END_TIMED_OUT) {
		fail_server_attempts(a->server);
		return;
	}
	close_connection(a);
	if (!a->sent)
		finish(a, ATTEMPT_NOT_CONNECTED);
	else if (end == HTTP_END_INVALID || end == HTTP_END_HEAD_TOO_LARGE)
		finish(a, ATTEMPT_INVALID);
	else
		finish(a, ATTEMPT_BROKEN);
}

static const struct pool_events connection_events = {
	on_connected, on_head, on_body, on_complete, on_ended,
};

struct attempt *attempt_start(struct proxy *proxy, struct server *server,
			      const struct attempt_request *request,
			      const struct attempt_events *events, void *context)
{
	struct attempt *a = calloc(1, sizeof(*a));
	const struct pool_request wanted = {
		.id = request->id,
		.needs_new = request->runs_once && server->omits_id,
	};

	if (!a)
		return NULL;
	a->proxy = proxy;
	a->server = server_ref(server);
	a->request = request;
	a->events = events;
	a->context = context;
	a->started_ms = proxy_now_ms(proxy);
	a->headers = evbuffer_new();
	a->body = evbuffer_new();
	buffer_account_add(a->body);
	a->connect_timer = evtimer_new(proxy->base, on_connect_timeout, a);
	a->connection = pool_acquire(proxy, server, &wanted, &connection_events,
				     a, &a->reused);
	if (!a->connection) {
		a->finished = true;
		attempt_free(a);
		return NULL;
	}
	load_record_sent(&server->load);
	link_to_server(a);
	if (a->reused)
		send_request(a);
	else
		timer_start(a->connect_timer, CONNECT_TIMEOUT_MS);
	return a;
}

void attempt_free(struct attempt *a)
{
	if (!a)
		return;
	if (!a->finished) {
		unlink_from_server(a);
		load_record_finished(&a->server->load);
		wait_queue_on_slot_free(a->proxy->wait_queue, a->server);
	}
	/* a slow link would carry the rest of a large body to its end, and the
	 * request would run though its caller has left */
	if (a->has_large_body && !a->response_started)
		pool_abort(a->connection);
	else
		pool_discard(a->connection);
	event_free(a->connect_timer);
	evbuffer_free(a->headers);
	buffer_account_remove(a->body);
	evbuffer_free(a->body);
	server_unref(a->server);
	free(a);
}

struct server *attempt_server(const struct attempt *a)
{
	return a->server;
}

bool attempt_was_sent(const struct attempt *a)
{
	return a->sent;
}

bool attempt_was_withheld(const struct attempt *a)
{
	return a->withheld;
}

int64_t attempt_elapsed_ms(const struct attempt *a)
{
	return proxy_now_ms(a->proxy) - a->started_ms;
}

bool attempt_reused_connection(const struct attempt *a)
{
	return a->reused;
}

bool attempt_response_started(const struct attempt *a)
{
	return a->response_started;
}

bool attempt_is_refused(const struct attempt *a)
{
	return a->meta.not_run;
}

const struct response_meta *attempt_meta(const struct attempt *a)
{
	return &a->meta;
}

bool attempt_is_declined(const struct attempt *a)
{
	return a->meta.declined;
}

uint16_t attempt_status(const struct attempt *a)
{
	return a->status;
}

struct evbuffer *attempt_headers(struct attempt *a)
{
	return a->headers;
}

struct evbuffer *attempt_body(struct attempt *a)
{
	return a->body;
}

int64_t attempt_expected_body_bytes(const struct attempt *a)
{
	return a->expected_body_bytes;
}

void attempt_pause_reading(struct attempt *a, bool paused)
{
	if (a->connection)
		http_stream_pause_reading(pool_stream(a->connection), paused);
}
