#include "kv/relay.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "kv/compress.h"
#include "net/timer.h"
#include "platform/kv_codec.h"

/* Responses from this size on are compressed: many VMs may start at the same
 * time and read all keys over this VM's network link. */
#define COMPRESS_BYTES_MIN 4096
/* Longest wait of one watch, the same as at the store. */
#define WATCH_WAIT_MAX_MS 30000
/* How long a request waits while the feed is being refreshed: a VM that has
 * just become the relay, or whose watch was cut, reads from the store within
 * this time. Shorter than the timeout of calls to a relay. */
#define REFRESH_WAIT_MS 800

#define CONTENT_TYPE_JSON "Content-Type: application/json\r\n"
#define CONTENT_ENCODING_DEFLATE "Content-Encoding: " COMPRESS_CODING "\r\n"

struct relay {
	struct event_base *base;
	struct responder *responder;
	struct relay_feed *feeds;
	size_t feed_count;
	const char *other_path; /* see relay_set_handler() */
	responder_handler other_handler;
	void *other_context;
};

/* The last encoded body, cached because most VMs request the same. */
struct response {
	bool valid;
	uint64_t era;
	bool is_watch;
	bool compressed;
	uint64_t since_revision; /* of the request */
	uint64_t revision;	 /* up to which the body is complete */
	struct evbuffer *body;
};

struct relay_feed {
	struct feed *feed;
	GQueue waiting; /* struct waiting_read */
	struct response response;
};

/* A watch that waits for a change, or any read that waits until the feed is
 * current. */
struct waiting_read {
	struct relay_feed *owner;
	struct responder_request *request;
	struct event *deadline;
	bool is_watch;
	uint64_t revision; /* watch only */
	uint64_t era;	   /* of `revision` */
};

/* Encodes the body unless the cached one fits. */
static void encode_response(struct response *response, uint64_t era,
			    struct kv_page *page, bool is_watch,
			    uint64_t since_revision)
{
	if (response->valid && response->era == era &&
	    response->is_watch == is_watch &&
	    response->since_revision == since_revision &&
	    response->revision == page->current_revision)
		return;
	response->valid = true;
	response->era = era;
	response->is_watch = is_watch;
	response->since_revision = since_revision;
	response->revision = page->current_revision;
	evbuffer_drain(response->body, evbuffer_get_length(response->body));
	if (is_watch)
		kv_encode_events(response->body, page);
	else
		kv_encode_page(response->body, page);
	response->compressed =
		evbuffer_get_length(response->body) >= COMPRESS_BYTES_MIN &&
		compress_deflate(response->body);
}

static void send_response(struct relay_feed *owner,
			  struct responder_request *request,
			  enum feed_result result, struct kv_page *page,
			  bool is_watch, uint64_t since_revision)
{
	struct response *response = &owner->response;
	GString *headers = g_string_new(NULL);
	struct evbuffer *body;

	counter_add(COUNTER_RELAY_ANSWERS, 1);
	kv_encode_era(headers, feed_era(owner->feed));
	if (result == FEED_STALE || result == FEED_HISTORY_GONE) {
		responder_reply(request,
				result == FEED_HISTORY_GONE
					? KV_STATUS_HISTORY_GONE
					: KV_STATUS_UNAVAILABLE,
				headers->str, NULL);
		g_string_free(headers, true);
		return;
	}
	encode_response(response, feed_era(owner->feed), page, is_watch,
			since_revision);
	free(page->items);
	body = evbuffer_new();
	evbuffer_add_buffer_reference(body, response->body);
	g_string_append(headers, response->compressed
					 ? CONTENT_TYPE_JSON CONTENT_ENCODING_DEFLATE
					 : CONTENT_TYPE_JSON);
	responder_reply(request, KV_STATUS_OK, headers->str, body);
	g_string_free(headers, true);
	evbuffer_free(body);
}

static void waiting_read_free(struct waiting_read *read)
{
	g_queue_remove(&read->owner->waiting, read);
	event_free(read->deadline);
	g_free(read);
}

static void on_requester_gone(void *context)
{
	waiting_read_free(context);
}

/* @param era of the revision. */
static enum feed_result read_feed(const struct relay_feed *owner, bool is_watch,
				  uint64_t revision, uint64_t era,
				  struct kv_page *page)
{
	if (is_watch && era != feed_era(owner->feed))
		return FEED_HISTORY_GONE;
	return is_watch ? feed_since(owner->feed, revision, page)
			: feed_all(owner->feed, page);
}

static bool must_wait(const struct relay_feed *owner, enum feed_result result)
{
	return result == FEED_NO_CHANGES ||
	       (result == FEED_STALE && feed_is_refreshing(owner->feed));
}

/* Frees the waiting read and responds with `page`. */
static void end_wait(struct waiting_read *read, enum feed_result result,
		     struct kv_page *page)
{
	const struct waiting_read ended = *read;

	waiting_read_free(read);
	send_response(ended.owner, ended.request, result, page, ended.is_watch,
		      ended.revision);
}

static void on_deadline(evutil_socket_t fd, short what, void *context)
{
	struct waiting_read *read = context;
	struct kv_page page;
	enum feed_result result = read_feed(read->owner, read->is_watch,
					    read->revision, read->era, &page);

	(void)fd;
	(void)what;
	end_wait(read, result, &page);
}

static void on_feed_changed(void *context)
{
	struct relay_feed *owner = context;
	GList *link = owner->waiting.head;

	while (link) {
		struct waiting_read *read = link->data;
		struct kv_page page;
		enum feed_result result =
			read_feed(owner, read->is_watch, read->revision,
				  read->era, &page);

		link = link->next;
		if (!must_wait(owner, result))
			end_wait(read, result, &page);
	}
}

static void add_waiting_read(struct relay *relay, struct relay_feed *owner,
			     struct responder_request *request,
			     const struct kv_read_call *call, uint32_t wait_ms)
{
	struct waiting_read *read = g_new0(struct waiting_read, 1);

	read->owner = owner;
	read->request = request;
	read->is_watch = call->is_watch;
	read->revision = call->revision;
	read->era = feed_era(owner->feed);
	read->deadline = evtimer_new(relay->base, on_deadline, read);
	request->on_disconnect = on_requester_gone;
	request->context = read;
	g_queue_push_tail(&owner->waiting, read);
	timer_start(read->deadline, wait_ms);
}

static struct relay_feed *find_feed(struct relay *relay, const char *prefix)
{
	size_t i;

	for (i = 0; i < relay->feed_count; i++)
		if (!strcmp(feed_prefix(relay->feeds[i].feed), prefix))
			return &relay->feeds[i];
	return NULL;
}

static void on_request(void *context, struct responder_request *request)
{
	struct relay *relay = context;
	struct relay_feed *owner;
	enum feed_result result;
	struct kv_read_call read;
	struct kv_page page;

	if (relay->other_path &&
	    !strcmp(request->head->target, relay->other_path)) {
		relay->other_handler(relay->other_context, request);
		return;
	}
	if (!kv_decode_read_call(request->head->target, &read)) {
		responder_reply(request, 400, NULL, NULL);
		return;
	}
	owner = find_feed(relay, read.prefix);
	if (!owner) {
		responder_reply(request, 404, NULL, NULL);
		return;
	}
	result = read_feed(owner, read.is_watch, read.revision,
			   feed_era(owner->feed), &page);
	if (must_wait(owner, result))
		add_waiting_read(relay, owner, request, &read,
				 result == FEED_NO_CHANGES
					 ? MIN(read.wait_ms, WATCH_WAIT_MAX_MS)
					 : REFRESH_WAIT_MS);
	else
		send_response(owner, request, result, &page, read.is_watch,
			      read.revision);
}

struct relay *relay_new(struct event_base *base, const char *address,
			struct feed *const *feeds, size_t feed_count)
{
	struct relay *relay = g_new0(struct relay, 1);
	size_t i;

	relay->base = base;
	relay->responder = responder_new(base, address, on_request, relay);
	if (!relay->responder) {
		g_free(relay);
		return NULL;
	}
	relay->feeds = g_new0(struct relay_feed, feed_count);
	relay->feed_count = feed_count;
	for (i = 0; i < feed_count; i++) {
		relay->feeds[i].feed = feeds[i];
		relay->feeds[i].response.body = evbuffer_new();
		feed_set_listener(feeds[i], on_feed_changed, &relay->feeds[i]);
	}
	return relay;
}

void relay_set_handler(struct relay *relay, const char *path,
		       responder_handler handler, void *context)
{
	relay->other_path = path;
	relay->other_handler = handler;
	relay->other_context = context;
}

void relay_free(struct relay *relay)
{
	size_t i;

	if (!relay)
		return;
	for (i = 0; i < relay->feed_count; i++)
		feed_set_listener(relay->feeds[i].feed, NULL, NULL);
	/* frees the waiting reads, see on_requester_gone() */
	responder_free(relay->responder);
	for (i = 0; i < relay->feed_count; i++)
		evbuffer_free(relay->feeds[i].response.body);
	g_free(relay->feeds);
	g_free(relay);
}
