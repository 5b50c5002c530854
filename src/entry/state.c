#include "entry/state.h"

#include "entry/explain.h"
#include "entry/lookup_snapshot.h"
#include "entry/serve.h"
#include "entry/steering.h"

static void on_document_applied(void *context, const struct document *doc)
{
	struct entry *entry = context;

	backends_apply_document(entry->backends, doc);
	if (entry->steering)
		steering_apply_document(entry->steering, doc);
	serve_apply_document(entry, doc);
}

static void init_locks(struct entry *entry)
{
	pthread_condattr_t attributes;

	pthread_mutex_init(&entry->state_lock, NULL);
	pthread_mutex_init(&entry->order_lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&entry->order_done, &attributes);
	pthread_condattr_destroy(&attributes);
}

bool state_init(struct entry *entry)
{
	init_locks(entry);
	entry->started_ms = clock_now_ms(&entry->clock);
	entry->current = current_new(on_document_applied, entry);
	entry->backends =
		backends_new(entry->settings.failure_domain, &entry->clock);
	entry->explain = explain_new();
	entry->lookup_snapshots = lookup_snapshot_cache_new();
	entry->orders = orders_new(entry->settings.orders_max,
				   entry->settings.order_answer_bytes_max);
	return entry->current && entry->backends && entry->explain &&
	       entry->lookup_snapshots && entry->orders;
}

void state_clear(struct entry *entry)
{
	orders_free(entry->orders);
	lookup_snapshot_cache_free(entry->lookup_snapshots);
	explain_free(entry->explain);
	backends_free(entry->backends);
	current_free(entry->current);
	pthread_cond_destroy(&entry->order_done);
	pthread_mutex_destroy(&entry->order_lock);
	pthread_mutex_destroy(&entry->state_lock);
}
