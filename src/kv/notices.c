#include "kv/notices.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "kv/kv_client.h"
#include "net/timer.h"

/* Lifetime of a key; longer than callers keep retrying. */
#define TTL_MS 120000
#define CALL_TIMEOUT_MS 1000
/* Delay before a failed call is repeated. */
#define RETRY_MS 1000
/* Keys waiting to be written: one for each server of the largest service. */
#define WAITING_MAX 1024
/* Keys that are written again when the store has lost them. */
#define WRITTEN_MAX 16

struct notice {
	char *key;
	char *value;
	bool rewrite;
};

struct notices {
	const struct clock *clock;
	struct kv_channel *channel;
	struct event *retry_timer;
	GQueue waiting; /* of struct notice */
	GQueue written; /* those that may be written again */
	struct notice *sending;
	uint64_t lease;		/* 0: none */
	int64_t lease_until_ms; /* then a new lease is requested */
};

static void send_next(struct notices *n);

static void notice_free(gpointer data)
{
	struct notice *notice = data;

	if (!notice)
		return;
	g_free(notice->key);
	g_free(notice->value);
	g_free(notice);
}

static struct notice *find_waiting(struct notices *n, const char *key)
{
	GList *link;

	for (link = n->waiting.head; link; link = link->next) {
		struct notice *notice = link->data;

		if (!strcmp(notice->key, key))
			return notice;
	}
	return NULL;
}

/* Puts a notice that was not written back in front, unless there is a newer
 * value. */
static void requeue(struct notices *n, struct notice *notice)
{
	if (find_waiting(n, notice->key))
		notice_free(notice);
	else
		g_queue_push_head(&n->waiting, notice);
}

static void keep_written(struct notices *n, struct notice *notice)
{
	if (!notice->rewrite) {
		notice_free(notice);
		return;
	}
	g_queue_push_tail(&n->written, notice);
	if (g_queue_get_length(&n->written) > WRITTEN_MAX)
		notice_free(g_queue_pop_head(&n->written));
}

static void on_written(void *context, uint16_t status, const char *body,
		       size_t bytes)
{
	struct notices *n = context;
	struct notice *notice = n->sending;

	(void)body;
	(void)bytes;
	n->sending = NULL;
	if (status == KV_STATUS_OK) {
		keep_written(n, notice);
		send_next(n);
		return;
	}
	log_warn("notices", "key not written to the store key=%s status=%u",
		 notice->key, status);
	if (status == KV_STATUS_NOT_FOUND)
		n->lease = 0;
	requeue(n, notice);
	timer_start(n->retry_timer, RETRY_MS);
}

static void on_lease_granted(void *context, uint16_t status, const char *body,
			     size_t bytes)
{
	struct notices *n = context;
	uint32_t ttl_ms;

	if (status != KV_STATUS_OK ||
	    !kv_decode_lease(body, bytes, &n->lease, &ttl_ms)) {
		log_warn("notices", "no lease for keys status=%u", status);
		n->lease = 0;
		timer_start(n->retry_timer, RETRY_MS);
		return;
	}
	n->lease_until_ms = clock_now_ms(n->clock) + ttl_ms / 2;
	send_next(n);
}

static void send_next(struct notices *n)
{
	struct kv_call call;

	if (g_queue_is_empty(&n->waiting) || kv_channel_is_busy(n->channel))
		return;
	if (!n->lease || clock_now_ms(n->clock) >= n->lease_until_ms) {
		kv_call_lease_grant(&call, TTL_MS);
		kv_channel_send(n->channel, &call, CALL_TIMEOUT_MS,
				on_lease_granted, n);
		return;
	}
	n->sending = g_queue_pop_head(&n->waiting);
	kv_call_put(&call, n->sending->key, n->sending->value, n->lease);
	kv_channel_send(n->channel, &call, CALL_TIMEOUT_MS, on_written, n);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	send_next(context);
}

void notices_write(struct notices *n, const char *key, const char *value,
		   bool rewrite)
{
	struct notice *notice = find_waiting(n, key);

	if (!notice && g_queue_get_length(&n->waiting) >= WAITING_MAX) {
		log_warn("notices", "too many keys are waiting; dropped key=%s",
			 key);
		return;
	}
	if (!notice) {
		notice = g_new0(struct notice, 1);
		notice->key = g_strdup(key);
		g_queue_push_tail(&n->waiting, notice);
	}
	g_free(notice->value);
	notice->value = g_strdup(value);
	notice->rewrite = rewrite;
	/* after a failure, the timer goes on */
	if (!evtimer_pending(n->retry_timer, NULL))
		send_next(n);
}

void notices_on_new_era(struct notices *n)
{
	struct notice *notice;

	n->lease = 0;
	while ((notice = g_queue_pop_tail(&n->written)))
		requeue(n, notice);
	send_next(n);
}

struct notices *notices_new(struct event_base *base, const struct clock *clock,
			    const struct sockaddr_in *store)
{
	struct notices *n = g_new0(struct notices, 1);

	n->clock = clock;
	n->channel = kv_channel_new(base, store, KV_SERVER_STORE);
	n->retry_timer = evtimer_new(base, on_retry_timer, n);
	return n;
}

void notices_free(struct notices *n)
{
	if (!n)
		return;
	kv_channel_free(n->channel);
	event_free(n->retry_timer);
	notice_free(n->sending);
	g_queue_clear_full(&n->waiting, notice_free);
	g_queue_clear_full(&n->written, notice_free);
	g_free(n);
}
