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

/* The store sends no larger response: a page holds about 1 MB of values, a
 * third more in base64. */
#define RESPONSE_BYTES_MAX (4 * 1024 * 1024)
/* A connection is closed when sent bytes stay unacknowledged this long. */
#define UNACKED_MAX_MS 1000
/* Connecting takes one round trip, 70 ms between regions. */
#define CONNECT_TIMEOUT_MS 500
/* Once a response has begun, a call ends after this time without another byte,
 * and after this time in all. A configuration of thousands of routes takes a
 * relay's link, which it shares with other followers, for seconds. */
#define STALL_TIMEOUT_MS 1000
#define RESPONSE_TIMEOUT_MS 6000

struct kv_channel {
	struct event_base *base;
	struct sockaddr_in address;
	enum kv_server server;
	char host[64];
	struct http_stream *stream;
	struct event *timeout;
	struct evbuffer *body;
	uint16_t status;
	uint64_t era; /* see kv_channel_era() */
	bool keep_alive;
	bool is_compressed;  /* the response in progress is */
	bool is_watch;	     /* the call in progress is */
	uint32_t timeout_ms; /* of the call in progress */
	int64_t sent_ms;     /* start of the call in progress */
	int64_t head_ms;     /* when its response began */
	kv_done_cb done;
	void *context;
};

/* Calls about quotas are repeated soon, and elsewhere. */
static uint32_t connect_timeout_ms(const struct kv_channel *channel)
{
	if (channel->server == KV_SERVER_QUOTA)
		return channel->timeout_ms;
	return CONNECT_TIMEOUT_MS;
}

static void disconnect(struct kv_channel *channel)
{
	http_stream_free(channel->stream);
	channel->stream = NULL;
}

static void record_metrics(const struct kv_channel *channel, uint16_t status)
{
	if (!status)
		counter_add(COUNTER_STORE_ERRORS, 1);
	else if (!channel->is_watch)
		histogram_add(HISTOGRAM_STORE,
			      clock_now_ms(&clock_system) - channel->sent_ms);
}

/* The `done` callback may send the next call or free the channel. */
static void finish(struct kv_channel *channel, uint16_t status)
{
	kv_done_cb done = channel->done;
	struct evbuffer *body = channel->body;

	if (!done)
		return;
	if (channel->server == KV_SERVER_STORE)
		record_metrics(channel, status);
	channel->done = NULL;
	evtimer_del(channel->timeout);
	channel->body = evbuffer_new();
	done(channel->context, status, (const char *)evbuffer_pullup(body, -1),
	     evbuffer_get_length(body));
	evbuffer_free(body);
}

static void on_connected(void *context)
{
	struct kv_channel *channel = context;

	if (channel->done)
		timer_start(channel->timeout, channel->timeout_ms);
}

static void record_progress(struct kv_channel *channel)
{
	const int64_t left_ms = channel->head_ms + RESPONSE_TIMEOUT_MS -
				clock_now_ms(&clock_system);

	if (channel->done)
		timer_start(channel->timeout,
			    CLAMP(left_ms, 0, STALL_TIMEOUT_MS));
}

static void on_head(void *context, const struct http_head *head)
{
	struct kv_channel *channel = context;

	channel->head_ms = clock_now_ms(&clock_system);
	record_progress(channel);
	channel->status = head->status;
	channel->era = kv_decode_era(head);
	channel->keep_alive = head->keep_alive;
	channel->is_compressed =
		http_head_has_token(head, "Content-Encoding", COMPRESS_CODING);
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct kv_channel *channel = context;

	evbuffer_add(channel->body, data, bytes);
	record_progress(channel);
	if (evbuffer_get_length(channel->body) <= RESPONSE_BYTES_MAX)
		return;
	disconnect(channel);
	finish(channel, KV_STATUS_NONE);
}

static void on_complete(void *context)
{
	struct kv_channel *channel = context;

	if (!channel->keep_alive)
		disconnect(channel);
	if (channel->is_compressed &&
	    !compress_inflate(channel->body, RESPONSE_BYTES_MAX)) {
		log_warn("store", "response cannot be decompressed server=%s",
			 channel->host);
		channel->status = KV_STATUS_NONE;
	}
	finish(channel, channel->status);
}

static void on_stream_ended(void *context, enum http_end_reason end)
{
	struct kv_channel *channel = context;

	(void)end;
	disconnect(channel);
	finish(channel, KV_STATUS_NONE);
}

static void on_timeout(evutil_socket_t fd, short what, void *context)
{
	struct kv_channel *channel = context;

	(void)fd;
	(void)what;
	disconnect(channel);
	finish(channel, KV_STATUS_NONE);
}

static const struct http_stream_events stream_events = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_stream_ended,
};

struct kv_channel *kv_channel_new(struct event_base *base,
				  const struct sockaddr_in *address,
				  enum kv_server server)
{
	struct kv_channel *channel = calloc(1, sizeof(*channel));

	if (!channel)
		return NULL;
	channel->base = base;
	channel->address = *address;
	channel->server = server;
	channel->timeout = evtimer_new(base, on_timeout, channel);
	channel->body = evbuffer_new();
	evutil_inet_ntop(AF_INET, &address->sin_addr, channel->host,
			 sizeof(channel->host));
	return channel;
}

void kv_channel_free(struct kv_channel *channel)
{
	if (!channel)
		return;
	disconnect(channel);
	event_free(channel->timeout);
	evbuffer_free(channel->body);
	free(channel);
}

void kv_channel_cancel(struct kv_channel *channel)
{
	disconnect(channel);
	channel->done = NULL;
	evtimer_del(channel->timeout);
	evbuffer_drain(channel->body, evbuffer_get_length(channel->body));
}

uint64_t kv_channel_era(const struct kv_channel *channel)
{
	return channel->era;
}

bool kv_channel_is_busy(const struct kv_channel *channel)
{
	return channel->done != NULL;
}

static enum counter call_counter(enum kv_server server)
{
	switch (server) {
	case KV_SERVER_RELAY:
		return COUNTER_RELAY_CALLS;
	case KV_SERVER_QUOTA:
		return COUNTER_QUOTA_REPORTS;
	default:
		return COUNTER_STORE_CALLS;
	}
}

void kv_channel_send(struct kv_channel *channel, struct kv_call *call,
		     uint32_t timeout_ms, kv_done_cb done, void *context)
{
	struct evbuffer *output;

	counter_add(call_counter(channel->server), 1);
	channel->done = done;
	channel->context = context;
	channel->status = KV_STATUS_NONE;
	channel->era = 0;
	evbuffer_drain(channel->body, evbuffer_get_length(channel->body));
	channel->timeout_ms = timeout_ms;
	channel->is_watch = call->is_watch;
	channel->sent_ms = clock_now_ms(&clock_system);
	timer_start(channel->timeout,
		    channel->stream ? timeout_ms : connect_timeout_ms(channel));
	if (!channel->stream)
		channel->stream =
			http_stream_connect(channel->base, &channel->address,
					    UNACKED_MAX_MS, &stream_events,
					    channel);
	if (!channel->stream)
		goto out; /* the timeout reports the failure */
	http_stream_read_next(channel->stream);
	output = http_stream_output(channel->stream);
	evbuffer_add_printf(output,
			    "%s %s HTTP/1.1\r\nHost: %s\r\n"
			    "Content-Length: %zu\r\n",
			    call->method, call->target->str, channel->host,
			    call->body->len);
	if (channel->server == KV_SERVER_RELAY)
		evbuffer_add_printf(output,
				    "Accept-Encoding: " COMPRESS_CODING "\r\n");
	if (call->body->len)
		evbuffer_add_printf(output, "Content-Type: application/json\r\n");
	evbuffer_add_printf(output, "\r\n%s", call->body->str);
out:
	kv_call_clear(call);
}
