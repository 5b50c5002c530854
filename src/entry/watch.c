#include "entry/watch.h"

#include <stdlib.h>
#include <time.h>

#include "base/log.h"
#include "decide/rank.h"

#define WATCHERS 2
/* A watch is renewed after this, so that one that died unseen is replaced. */
#define WATCH_WAIT_MS 5000
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 4000
/* An entry VM that does not watch reads the store this often. */
#define LOOK_PERIOD_MS 60000
#define LOOK_SPREAD_MS 30000
#define STEP_MS 100
#define VM_LIST_PERIOD_MS 30000

struct watch {
	struct entry *entry;
	pthread_t thread;
	atomic_bool stopping;
	int64_t looked_ms;
	int64_t listed_ms;
	uint32_t retry_ms;
};

static void sleep_ms(struct watch *watch, uint32_t ms)
{
	const struct timespec step = { 0, STEP_MS * NS_PER_MS };
	uint32_t slept;

	for (slept = 0; slept < ms && !watch->stopping; slept += STEP_MS)
		clock_nanosleep(CLOCK_MONOTONIC, 0, &step, NULL);
}

/** Reads the document. @return whether the store answered. */
static bool look(struct watch *watch)
{
	struct entry *entry = watch->entry;
	struct store_value value;

	watch->looked_ms = clock_now_ms(&entry->clock);
	if (entry->store.get(entry->store.context, STORE_KEY_DOCUMENT, &value) !=
	    STORE_OK)
		return false;
	if (value.bytes)
		current_offer(entry->current, value.bytes, value.byte_count,
			      "store");
	free(value.bytes);
	return true;
}

static bool on_change(void *context)
{
	struct watch *watch = context;

	return look(watch) && !watch->stopping;
}

static void add_vm(void *context, const char *key, const char *value)
{
	struct watch *watch = context;
	json_t *json = json_loads(value, 0, NULL);
	const char *address =
		json_string_value(json_object_get(json, "peer_address"));

	(void)key;
	if (address && shape_is_address(address))
		peer_add_seed(watch->entry->peer, address);
	json_decref(json);
}

/** The platform's list of VMs lags; its addresses are only spoken to. */
static void read_vm_list(struct watch *watch)
{
	struct entry *entry = watch->entry;
	int64_t now_ms = clock_now_ms(&entry->clock);

	if (watch->listed_ms && now_ms - watch->listed_ms < VM_LIST_PERIOD_MS)
		return;
	watch->listed_ms = now_ms;
	entry->store.list(entry->store.context, STORE_PREFIX_VMS, add_vm, watch);
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

	if (!look(watch) ||
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

/** When an entry VM that does not watch looks next: spread over the fleet. */
static bool look_is_due(const struct watch *watch)
{
	int64_t spread_ms = (int64_t)(rank_hash(watch->entry->settings.name) %
				      LOOK_SPREAD_MS);
	int64_t since_ms = clock_now_ms(&watch->entry->clock) - watch->looked_ms;

	return since_ms > LOOK_PERIOD_MS + spread_ms;
}

static void *run(void *context)
{
	struct watch *watch = context;

	look(watch);
	while (!watch->stopping) {
		if (peer_watch_rank(watch->entry->peer) < WATCHERS) {
			watch_once(watch);
			continue;
		}
		if (look_is_due(watch))
			look(watch);
		sleep_ms(watch, STEP_MS);
	}
	return NULL;
}

struct watch *watch_start(struct entry *entry)
{
	struct watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->entry = entry;
	if (!pthread_create(&watch->thread, NULL, run, watch))
		return watch;
	free(watch);
	return NULL;
}

void watch_stop(struct watch *watch)
{
	if (!watch)
		return;
	watch->stopping = true;
	pthread_join(watch->thread, NULL);
	free(watch);
}
