#include "kv/relay.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "kv/compress.h"
#include "net/responder.h"
#include "net/timer.h"
#include "platform/kv_codec.h"

/* Larger answers are compressed: many VMs may start together and read
 * everything over this VM's link. */
#define COMPRESS_BYTES_MIN 4096
/* Longest wait of one watch, as at the store. */
#define WAIT_MAX_MS 30000

#define JSON_TYPE "Content-Type: application/json\r\n"
#define COMPRESSED "Content-Encoding: " COMPRESS_CODING "\r\n"

struct relay {
	struct event_base *base;
	struct responder *responder;
	struct relay_feed *feeds;
	size_t feed_count;
};

/* The last body that was made: most VMs ask for the same. */
struct answer {
	bool valid;
	bool is_watch;
	bool compressed;
	uint64_t since;	   /* revision that was asked for */
	uint64_t revision; /* revision that was answered */
	struct evbuffer *body;
};

struct relay_feed {
	struct feed *feed;
	GQueue watches; /* struct watch that wait for a change */
	struct answer answer;
};

struct watch {
	struct relay_feed *owner;
	struct responder_request *request;
	struct event *deadline;
	uint64_t revision;
};

/* Makes the body unless the last one fits. */
static void make_answer(struct answer *answer, struct kv_page *page,
			bool is_watch, uint64_t since)
{
	if (answer->valid && answer->is_watch == is_watch &&
	    answer->since == since && answer->revision == page->current_revision)
		return;
	answer->valid = true;
	answer->is_watch = is_watch;
	answer->since = since;
	answer->revision = page->current_revision;
	evbuffer_drain(answer->body, evbuffer_get_length(answer->body));
	if (is_watch)
		kv_encode_events(answer->body, page);
	else
		kv_encode_page(answer->body, page);
	answer->compressed =
		evbuffer_get_length(answer->body) >= COMPRESS_BYTES_MIN &&
		compress_buffer(answer->body);
}

static void reply(struct relay_feed *owner, struct responder_request *request,
		  enum feed_result result, struct kv_page *page, bool is_watch,
		  uint64_t since)
{
	struct answer *answer = &owner->answer;
	struct evbuffer *body;

	counter_add(COUNTER_RELAY_ANSWERS, 1);
	if (result == FEED_STALE || result == FEED_GONE) {
		responder_reply(request,
				result == FEED_GONE ? KV_STATUS_HISTORY_GONE
						    : KV_STATUS_UNAVAILABLE,
				NULL, NULL);
		return;
	}
	make_answer(answer, page, is_watch, since);
	free(page->items);
	body = evbuffer_new();
	evbuffer_add_buffer_reference(body, answer->body);
	responder_reply(request, KV_STATUS_OK,
			answer->compressed ? JSON_TYPE COMPRESSED : JSON_TYPE,
			body);
	evbuffer_free(body);
}

static void watch_free(struct watch *watch)
{
	g_queue_remove(&watch->owner->watches, watch);
	event_free(watch->deadline);
	g_free(watch);
}

static void on_gone(void *context)
{
	watch_free(context);
}

/* Answers a watch that has waited long enough. */
static void on_deadline(evutil_socket_t fd, short what, void *context)
{
	struct watch *watch = context;
	struct relay_feed *owner = watch->owner;
	struct responder_request *request = watch->request;
	const uint64_t since = watch->revision;
	struct kv_page page;
	enum feed_result result = feed_since(owner->feed, since, &page);

	(void)fd;
	(void)what;
	watch_free(watch);
	reply(owner, request, result, &page, true, since);
}

static void on_feed_changed(void *context)
{
	struct relay_feed *owner = context;
	GList *link = owner->watches.head;

	while (link) {
		struct watch *watch = link->data;
		struct responder_request *request = watch->request;
		const uint64_t since = watch->revision;
		struct kv_page page;
		enum feed_result result = feed_since(owner->feed, since, &page);

		link = link->next;
		if (result == FEED_NOTHING)
			continue;
		watch_free(watch);
		reply(owner, request, result, &page, true, since);
	}
}

static void hold(struct relay *relay, struct relay_feed *owner,
		 struct responder_request *request, const struct kv_read *read)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->owner = owner;
	watch->request = request;
	watch->revision = read->revision;
	watch->deadline = evtimer_new(relay->base, on_deadline, watch);
	request->gone = on_gone;
	request->context = watch;
	g_queue_push_tail(&owner->watches, watch);
	timer_start(watch->deadline, MIN(read->wait_ms, WAIT_MAX_MS));
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
	struct kv_read read;
	struct kv_page page;

	if (!kv_decode_read(request->head->target, &read)) {
		responder_reply(request, 400, NULL, NULL);
		return;
	}
	owner = find_feed(relay, read.prefix);
	if (!owner) {
		responder_reply(request, 404, NULL, NULL);
		return;
	}
	result = read.is_watch ? feed_since(owner->feed, read.revision, &page)
			       : feed_all(owner->feed, &page);
	if (read.is_watch && result == FEED_NOTHING)
		hold(relay, owner, request, &read);
	else
		reply(owner, request, result, &page, read.is_watch,
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
		relay->feeds[i].answer.body = evbuffer_new();
		feed_listen(feeds[i], on_feed_changed, &relay->feeds[i]);
	}
	return relay;
}

void relay_free(struct relay *relay)
{
	size_t i;

	if (!relay)
		return;
	for (i = 0; i < relay->feed_count; i++)
		feed_listen(relay->feeds[i].feed, NULL, NULL);
	/* ends the watches */
	responder_free(relay->responder);
	for (i = 0; i < relay->feed_count; i++)
		evbuffer_free(relay->feeds[i].answer.body);
	g_free(relay->feeds);
	g_free(relay);
}
