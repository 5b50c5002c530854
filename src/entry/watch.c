#include "entry/watch.h"

#include <stdlib.h>
#include <time.h>

#include "base/deadline.h"
#include "base/log.h"
#include "decide/rank.h"

#define WATCHERS_PER_DOMAIN 2
/* A watch is renewed after this time, so that one that failed silently is
 * replaced. */
#define WATCH_WAIT_MS 5000
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 4000
/* An entry VM that does not watch reads the store at this interval, plus up to
 * READ_SPREAD_MS depending on its name. */
#define READ_PERIOD_MS 60000
#define READ_SPREAD_MS 30000
#define POLL_MS 100
#define VM_LIST_PERIOD_MS 30000

struct watch {
	struct entry *entry;
	pthread_t thread;
	atomic_bool stopping;
	int64_t document_read_ms;
	int64_t vm_list_read_ms;
	uint32_t retry_ms;
};

static void sleep_ms(struct watch *watch, uint32_t ms)
{
	const struct timespec step = { 0, POLL_MS * NS_PER_MS };
	uint32_t slept;

	for (slept = 0; slept < ms && !watch->stopping; slept += POLL_MS)
		clock_nanosleep(CLOCK_MONOTONIC, 0, &step, NULL);
}

/** Reads the document. @return whether the store responded. */
static bool read_document(struct watch *watch)
{
	struct entry *entry = watch->entry;
	struct store_value value;

	watch->document_read_ms = clock_now_ms(&entry->clock);
	if (entry->store.get(entry->store.context, STORE_KEY_DOCUMENT, &value) !=
	    STORE_OK)
		return false;
	if (value.bytes)
		current_apply(entry->current, value.bytes, value.byte_count,
			      "store");
	free(value.bytes);
	return true;
}

static bool on_change(void *context)
{
	struct watch *watch = context;

	return read_document(watch) && !watch->stopping;
}

static void add_seed(void *context, const char *key, const char *value)
{
	struct watch *watch = context;
	json_t *json = json_loads(value, 0, NULL);
	const char *address =
		json_string_value(json_object_get(json, "peer_address"));

	(void)key;
	if (address && schema_is_address(address))
		peer_add_seed(watch->entry->peer, address);
	json_decref(json);
}

/**
 * Reads the platform's list of VMs. The list lags, so its addresses are used
 * only as seeds to contact.
 */
static void read_vm_list(struct watch *watch)
{
	struct entry *entry = watch->entry;
	int64_t now_ms = clock_now_ms(&entry->clock);

	if (watch->vm_list_read_ms &&
	    now_ms - watch->vm_list_read_ms < VM_LIST_PERIOD_MS)
		return;
	watch->vm_list_read_ms = now_ms;
	entry->store.list(entry->store.context, STORE_PREFIX_VMS, add_seed,
			  watch);
}

static void back_off(struct watch *watch)
{
	if (!watch->retry_ms)
		log_warn("watch", "store does not answer");
	watch->retry_ms = watch->retry_ms ? watch->retry_ms * 2 : RETRY_MIN_MS;
	if (watch->retry_ms > RETRY_MAX_MS)
		watch->retry_ms = RETRY_MAX_MS;
	sleep_ms(watch, watch->retry_ms);
}

static void watch_once(struct watch *watch)
{
	struct entry *entry = watch->entry;

	if (!read_document(watch) ||
	    entry->store.watch(entry->store.context, STORE_KEY_HEAD,
			       WATCH_WAIT_MS, on_change, watch) != STORE_OK) {
		back_off(watch);
		return;
	}
	if (watch->retry_ms)
		log_info("watch", "store answers again");
	watch->retry_ms = 0;
	read_vm_list(watch);
}

/**
 * Whether an entry VM that does not watch should read the document now. The
 * interval depends on the VM's name, which spreads reads over the fleet.
 */
static bool is_read_due(const struct watch *watch)
{
	int64_t spread_ms = (int64_t)(rank_hash(watch->entry->settings.name) %
				      READ_SPREAD_MS);
	int64_t since_ms =
		clock_now_ms(&watch->entry->clock) - watch->document_read_ms;

	return since_ms > READ_PERIOD_MS + spread_ms;
}

static void *thread_main(void *context)
{
	struct watch *watch = context;

	deadline_observe_end();
	read_document(watch);
	while (!watch->stopping) {
		if (peer_watch_rank(watch->entry->peer) < WATCHERS_PER_DOMAIN) {
			watch_once(watch);
			continue;
		}
		if (is_read_due(watch))
			read_document(watch);
		sleep_ms(watch, POLL_MS);
	}
	return NULL;
}

struct watch *watch_start(struct entry *entry)
{
	struct watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->entry = entry;
	if (!pthread_create(&watch->thread, NULL, thread_main, watch))
		return watch;
	free(watch);
	return NULL;
}

void watch_stop(struct watch *watch)
{
	if (!watch)
		return;
	watch->stopping = true;
	/* ends a call to the store that waits for a change */
	deadline_set_end(clock_now_ns(&clock_system));
	pthread_join(watch->thread, NULL);
	free(watch);
}
