#include "net/linger.h"
#include "net/responder.h"
#include "platform/header_codec.h"
#include "request/caller_internal.h"

/* Callers' connections during a graceful shutdown. */

/* During a shutdown, time for a caller that has connected to send a request. */
#define FIRST_BYTE_TIMEOUT_MS 1000

static bool is_unused(const struct caller *caller)
{
	return !caller_first_request(caller) &&
	       !http_stream_has_message_begun(caller->stream) &&
	       !evbuffer_get_length(http_stream_output(caller->stream));
}

static bool is_idle(const struct caller *caller)
{
	return is_unused(caller) &&
	       proxy_now_ms(caller->proxy) - caller->idle_since_ms >=
		       FIRST_BYTE_TIMEOUT_MS;
}

/* Refuses whatever is on its way on a connection from which nothing more is
 * read. The other VM can then place it: a mere close would leave open whether
 * the request was read. On an idle connection, it closes its end. */
static void refuse_unread(struct caller *caller)
{
	struct evbuffer *out = http_stream_output(caller->stream);

	evbuffer_add_printf(out, "HTTP/1.1 503 %s\r\n",
			    responder_reason_phrase(503));
	response_refusal_encode(out, true);
	evbuffer_add_printf(out, "Content-Length: 0\r\n"
				 "Connection: close\r\n\r\n");
	http_stream_free_lingering(caller->stream);
}

static void close_callers(struct proxy *proxy, bool only_idle)
{
	GList *link = g_queue_peek_head_link(&proxy->callers);

	while (link) {
		struct caller *caller = link->data;

		link = link->next;
		if (only_idle && !is_idle(caller))
			continue;
		if (only_idle && caller->is_handoff)
			refuse_unread(caller);
		else
			http_stream_free(caller->stream);
		caller_free(caller);
	}
}

bool callers_have_left(const struct proxy *proxy)
{
	return !proxy->callers.length && !linger_undelivered_count();
}

void callers_close_idle(struct proxy *proxy)
{
	close_callers(proxy, true);
}

/* May free the caller. */
static void end_requests(struct caller *caller)
{
	const GList *link;

	/* the connection goes on when all have their response */
	caller->advancing = true;
	for (link = caller->requests.head; link; link = link->next) {
		struct caller_request *request = link->data;

		exchange_end_at_exit(request->exchange);
	}
	caller_advance(caller);
}

void callers_end_requests(struct proxy *proxy)
{
	GList *link = g_queue_peek_head_link(&proxy->callers);

	while (link) {
		struct caller *caller = link->data;

		link = link->next;
		if (caller_first_request(caller)) {
			end_requests(caller);
		} else if (caller->is_handoff && is_unused(caller)) {
			refuse_unread(caller);
			caller_free(caller);
		}
	}
}

void callers_close_all(struct proxy *proxy)
{
	close_callers(proxy, false);
}
