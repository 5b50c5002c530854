#include "kv/kv_client.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "kv/compress.h"
#include "net/http_stream.h"
#include "net/timer.h"

/* A larger answer cannot come from the store: a page holds about 1 MB of
 * values, a third more in base64. */
#define ANSWER_BYTES_MAX (4 * 1024 * 1024)
/* Sent bytes that the store's kernel has not confirmed end a connection. */
#define SILENCE_MAX_MS 1000
/* A connection takes a round trip, 70 ms between regions. */
#define CONNECT_TIMEOUT_MS 500

/* Calls with a longer timeout wait on purpose. */
#define WATCH_TIMEOUT_MIN_MS 5000

struct kv_line {
	struct event_base *base;
	struct sockaddr_in address;
	enum kv_server server;
	char host[64];
	struct http_stream *stream;
	struct event *timeout;
	struct evbuffer *body;
	uint16_t status;
	bool keep_alive;
	bool compressed;     /* the answer is */
	uint32_t timeout_ms; /* of the call in progress */
	int64_t sent_ms;     /* when the call in progress began */
	kv_done done;
	void *context;
};

static void disconnect(struct kv_line *line)
{
	http_stream_free(line->stream);
	line->stream = NULL;
}

static void count_answer(const struct kv_line *line, uint16_t status)
{
	if (!status)
		counter_add(COUNTER_STORE_ERRORS, 1);
	else if (line->timeout_ms < WATCH_TIMEOUT_MIN_MS)
		histogram_add(HISTOGRAM_STORE,
			      clock_now_ms(&clock_system) - line->sent_ms);
}

/* `done` may send the next call or free the line. */
static void finish(struct kv_line *line, uint16_t status)
{
	kv_done done = line->done;
	struct evbuffer *body = line->body;

	if (!done)
		return;
	if (line->server == KV_SERVER_STORE)
		count_answer(line, status);
	line->done = NULL;
	evtimer_del(line->timeout);
	line->body = evbuffer_new();
	done(line->context, status, (const char *)evbuffer_pullup(body, -1),
	     evbuffer_get_length(body));
	evbuffer_free(body);
}

static void on_connected(void *context)
{
	struct kv_line *line = context;

	if (line->done)
		timer_start(line->timeout, line->timeout_ms);
}

static void on_head(void *context, const struct http_head *head)
{
	struct kv_line *line = context;

	line->status = head->status;
	line->keep_alive = head->keep_alive;
	line->compressed =
		http_head_has_token(head, "Content-Encoding", COMPRESS_CODING);
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct kv_line *line = context;

	evbuffer_add(line->body, data, bytes);
	if (evbuffer_get_length(line->body) <= ANSWER_BYTES_MAX)
		return;
	disconnect(line);
	finish(line, KV_STATUS_NONE);
}

static void on_complete(void *context)
{
	struct kv_line *line = context;

	if (!line->keep_alive)
		disconnect(line);
	if (line->compressed && !compress_restore(line->body, ANSWER_BYTES_MAX)) {
		log_warn("store", "answer cannot be restored server=%s",
			 line->host);
		line->status = KV_STATUS_NONE;
	}
	finish(line, line->status);
}

static void on_ended(void *context, enum http_end end)
{
	struct kv_line *line = context;

	(void)end;
	disconnect(line);
	finish(line, KV_STATUS_NONE);
}

static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	struct kv_line *line = context;

	(void)fd;
	(void)what;
	disconnect(line);
	finish(line, KV_STATUS_NONE);
}

static const struct http_stream_events line_events = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

struct kv_line *kv_line_new(struct event_base *base,
			    const struct sockaddr_in *address,
			    enum kv_server server)
{
	struct kv_line *line = calloc(1, sizeof(*line));

	if (!line)
		return NULL;
	line->base = base;
	line->address = *address;
	line->server = server;
	line->timeout = evtimer_new(base, on_timeout, line);
	line->body = evbuffer_new();
	evutil_inet_ntop(AF_INET, &address->sin_addr, line->host,
			 sizeof(line->host));
	return line;
}

void kv_line_free(struct kv_line *line)
{
	if (!line)
		return;
	disconnect(line);
	event_free(line->timeout);
	evbuffer_free(line->body);
	free(line);
}

void kv_line_drop(struct kv_line *line)
{
	disconnect(line);
	line->done = NULL;
	evtimer_del(line->timeout);
	evbuffer_drain(line->body, evbuffer_get_length(line->body));
}

bool kv_line_busy(const struct kv_line *line)
{
	return line->done != NULL;
}

void kv_line_send(struct kv_line *line, struct kv_call *call,
		  uint32_t timeout_ms, kv_done done, void *context)
{
	struct evbuffer *output;

	counter_add(line->server == KV_SERVER_STORE ? COUNTER_STORE_CALLS
						    : COUNTER_RELAY_CALLS,
		    1);
	line->done = done;
	line->context = context;
	line->status = KV_STATUS_NONE;
	evbuffer_drain(line->body, evbuffer_get_length(line->body));
	line->timeout_ms = timeout_ms;
	line->sent_ms = clock_now_ms(&clock_system);
	timer_start(line->timeout,
		    line->stream ? timeout_ms : CONNECT_TIMEOUT_MS);
	if (!line->stream)
		line->stream =
			http_stream_connect(line->base, &line->address,
					    SILENCE_MAX_MS, &line_events, line);
	if (!line->stream)
		goto out; /* the timeout reports it */
	http_stream_next(line->stream);
	output = http_stream_output(line->stream);
	evbuffer_add_printf(output,
			    "%s %s HTTP/1.1\r\nHost: %s\r\n"
			    "Content-Length: %zu\r\n",
			    call->method, call->target->str, line->host,
			    call->body->len);
	if (line->server == KV_SERVER_RELAY)
		evbuffer_add_printf(output,
				    "Accept-Encoding: " COMPRESS_CODING "\r\n");
	if (call->body->len)
		evbuffer_add_printf(output, "Content-Type: application/json\r\n");
	evbuffer_add_printf(output, "\r\n%s", call->body->str);
out:
	kv_call_clear(call);
}
