#include "net/linger.h"
#include "request/caller_internal.h"

/* Callers' connections during a graceful shutdown. */

/* During a shutdown, time for a caller that has connected to send a request. */
#define FIRST_BYTE_TIMEOUT_MS 1000

static bool is_idle(const struct caller *caller)
{
	return !caller_first_request(caller) &&
	       !http_stream_has_message_begun(caller->stream) &&
	       !evbuffer_get_length(http_stream_output(caller->stream)) &&
	       proxy_now_ms(caller->proxy) - caller->idle_since_ms >=
		       FIRST_BYTE_TIMEOUT_MS;
}

static void close_callers(struct proxy *proxy, bool only_idle)
{
	GList *link = g_queue_peek_head_link(&proxy->callers);

	while (link) {
		struct caller *caller = link->data;

		link = link->next;
		if (only_idle && !is_idle(caller))
			continue;
		http_stream_free(caller->stream);
		caller_free(caller);
	}
}

bool callers_have_left(const struct proxy *proxy)
{
	return !proxy->callers.length && !linger_unsent_count();
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
		if (caller_first_request(caller))
			end_requests(caller);
	}
}

void callers_close_all(struct proxy *proxy)
{
	close_callers(proxy, false);
}
