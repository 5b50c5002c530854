#include <event2/buffer.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_stream.h"
#include "platform/header_codec.h"
#include "platform/kv_codec.h"

/**
 * @file
 * Fuzzes the HTTP parser and the header codec, which read what callers and
 * backend servers send.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

static struct event_base *base;
static struct http_stream *stream;

static void on_head(void *context, const struct http_head *head)
{
	(void)context;
	request_meta_decode(head);
	response_meta_decode(head);
	kv_decode_era(head);
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	(void)context;
	(void)data;
	(void)bytes;
}

static void on_complete(void *context)
{
	(void)context;
	http_stream_read_next(stream);
}

static void on_ended(void *context, enum http_end_reason end)
{
	(void)context;
	(void)end;
	http_stream_free(stream);
	stream = NULL;
}

static const struct http_stream_events events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	int fds[2];
	int i;

	if (!base)
		base = event_base_new();
	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds))
		return 0;
	stream = http_stream_accept(base, fds[0], 4096, &events, NULL);
	if (stream && write(fds[1], data, size) < 0)
		goto out; /* the input exceeds the socket buffer */
	for (i = 0; i < 8; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
out:
	close(fds[1]);
	for (i = 0; i < 4; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	http_stream_free(stream);
	stream = NULL;
	return 0;
}
