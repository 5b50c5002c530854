#include "entry/claims.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/ring.h"

#define RING_SLOTS 4096
#define BATCH_MAX 32
#define IDLE_WAIT_MS 100
#define KEY_BYTES (ORDER_KEY_BYTES_MAX + 64)
#define VALUE_BYTES 256
#define PROBE_PERIOD_MS 1000
#define EXPIRE_PERIOD_MS 1000

/* The lease lasts this many times the order memory, so that a claim outlives
 * every record of its key. */
#define LEASE_MEMORY_FACTOR 2

/** A write queued for the thread. */
struct claim_write {
	char key[KEY_BYTES];
	char value[VALUE_BYTES];
	uint64_t nonce;
	uint32_t memory_ms;
	bool is_outcome; /* no thread waits for it; freed once written */
	bool done;
	enum store_result result;
};

struct claims {
	struct entry *entry;
	void (*expire)(struct entry *entry);
	struct ring *ring;
	pthread_t thread;
	atomic_bool stopping;
	pthread_mutex_t lock; /* guards `done` of every claim_write */
	pthread_cond_t written;
	uint64_t lease;
	int64_t lease_expires_ms;
	int64_t probed_ms;
	int64_t expired_ms;
	atomic_uint_fast64_t nonce;
};

static void format_value(struct claims *claims, struct claim_write *claim,
			 uint64_t digest, enum verdict outcome)
{
	claim->nonce = ++claims->nonce;
	snprintf(claim->value, VALUE_BYTES,
		 "{\"holder\":\"%s\",\"incarnation\":\"%" PRIx64
		 "\",\"digest\":\"%" PRIx64 "\",\"nonce\":\"%" PRIx64
		 "\",\"outcome\":%d}",
		 claims->entry->settings.name, claims->entry->incarnation,
		 digest, claim->nonce, (int)outcome);
}

static bool parse_value(const char *value, struct claims_record *record)
{
	json_t *json = json_loads(value, 0, NULL);
	const char *holder = NULL;
	const char *incarnation = NULL;
	const char *digest = NULL;
	const char *nonce = NULL;
	int outcome = VERDICT_MAY_HAVE_RUN;
	bool parsed;

	parsed = json &&
		 !json_unpack(json, "{s:s,s:s,s:s,s:s,s:i}", "holder", &holder,
			      "incarnation", &incarnation, "digest", &digest,
			      "nonce", &nonce, "outcome", &outcome);
	memset(record, 0, sizeof(*record));
	record->outcome = VERDICT_MAY_HAVE_RUN;
	if (parsed) {
		snprintf(record->holder, sizeof(record->holder), "%s", holder);
		record->incarnation = strtoull(incarnation, NULL, 16);
		record->digest = strtoull(digest, NULL, 16);
		record->nonce = strtoull(nonce, NULL, 16);
		if (outcome == VERDICT_RAN)
			record->outcome = VERDICT_RAN;
	}
	json_decref(json);
	return parsed;
}

/**
 * @return a lease that lasts long enough for claims written now, or 0 if the
 * store granted none. A lease is shared until it is too short.
 */
static uint64_t get_lease(struct claims *claims, uint32_t memory_ms)
{
	int64_t now_ms = clock_now_ms(&claims->entry->clock);
	uint32_t ttl_s =
		(uint32_t)(memory_ms / MS_PER_S) * LEASE_MEMORY_FACTOR + 1;

	if (claims->lease &&
	    claims->lease_expires_ms - now_ms > (int64_t)memory_ms * 3 / 2)
		return claims->lease;
	claims->lease = 0;
	if (claims->entry->store.lease(claims->entry->store.context, ttl_s,
				       &claims->lease) != STORE_OK)
		return 0;
	claims->lease_expires_ms = now_ms + ttl_s * MS_PER_S;
	return claims->lease;
}

static enum store_result commit(struct claims *claims, struct claim_write **batch,
				uint32_t count, uint64_t lease)
{
	struct store_put puts[BATCH_MAX];
	uint32_t i;

	memset(puts, 0, sizeof(puts));
	for (i = 0; i < count; i++) {
		puts[i].key = batch[i]->key;
		puts[i].value = batch[i]->value;
		puts[i].lease = lease;
		puts[i].compare = !batch[i]->is_outcome;
	}
	return claims->entry->store.commit(claims->entry->store.context, puts,
					   count);
}

static void complete_write(struct claims *claims, struct claim_write *claim,
			   enum store_result result)
{
	if (claim->is_outcome) {
		free(claim);
		return;
	}
	pthread_mutex_lock(&claims->lock);
	claim->result = result;
	claim->done = true;
	pthread_cond_broadcast(&claims->written);
	pthread_mutex_unlock(&claims->lock);
}

static void update_unclaimed(struct claims *claims, bool unclaimed)
{
	struct entry *entry = claims->entry;

	if (entry->unclaimed == unclaimed)
		return;
	entry->unclaimed = unclaimed;
	entry->fleet.set_unclaimed(entry->fleet.context, unclaimed);
	log_warn("order", "%s",
		 unclaimed ? "store has gone away: new keys run without claims"
			   : "store is reachable again: new keys are claimed");
}

static void write_batch(struct claims *claims, struct claim_write **batch,
			uint32_t count)
{
	enum store_result result = STORE_UNREACHABLE;
	uint32_t memory_ms = 0;
	uint64_t lease;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (batch[i]->memory_ms > memory_ms)
			memory_ms = batch[i]->memory_ms;
	lease = get_lease(claims, memory_ms);
	if (lease)
		result = commit(claims, batch, count, lease);
	update_unclaimed(claims, result == STORE_UNREACHABLE ||
					 result == STORE_UNKNOWN);
	if (result == STORE_CONFLICT && count > 1) {
		/* one of the keys is already claimed: write each by itself */
		for (i = 0; i < count; i++)
			complete_write(claims, batch[i],
				       commit(claims, &batch[i], 1, lease));
		return;
	}
	for (i = 0; i < count; i++)
		complete_write(claims, batch[i], result);
}

/** While the store is unreachable, checks periodically if it is back. */
static void probe_store(struct claims *claims)
{
	int64_t now_ms = clock_now_ms(&claims->entry->clock);
	struct store_value value;

	if (!claims->entry->unclaimed ||
	    now_ms - claims->probed_ms < PROBE_PERIOD_MS)
		return;
	claims->probed_ms = now_ms;
	if (claims->entry->store.get(claims->entry->store.context,
				     STORE_KEY_HEAD, &value) != STORE_OK)
		return;
	free(value.bytes);
	update_unclaimed(claims, false);
}

/** Expires remembered orders once per EXPIRE_PERIOD_MS. */
static void expire_orders(struct claims *claims)
{
	int64_t now_ms = clock_now_ms(&claims->entry->clock);

	if (now_ms - claims->expired_ms < EXPIRE_PERIOD_MS)
		return;
	claims->expired_ms = now_ms;
	claims->expire(claims->entry);
}

static void *thread_main(void *context)
{
	struct claims *claims = context;
	struct claim_write *batch[BATCH_MAX];
	uint32_t count;

	for (;;) {
		count = 0;
		expire_orders(claims);
		batch[0] = ring_pop(claims->ring, IDLE_WAIT_MS);
		if (!batch[0]) {
			if (claims->stopping)
				break;
			probe_store(claims);
			continue;
		}
		do
			count++;
		while (count < BATCH_MAX &&
		       (batch[count] = ring_pop(claims->ring, 0)));
		write_batch(claims, batch, count);
	}
	return NULL;
}

struct claims *claims_start(struct entry *entry,
			    void (*expire)(struct entry *entry))
{
	struct claims *claims = calloc(1, sizeof(*claims));

	if (!claims)
		return NULL;
	claims->entry = entry;
	claims->expire = expire;
	claims->ring = ring_new(RING_SLOTS);
	pthread_mutex_init(&claims->lock, NULL);
	pthread_cond_init(&claims->written, NULL);
	if (claims->ring &&
	    !pthread_create(&claims->thread, NULL, thread_main, claims))
		return claims;
	ring_free(claims->ring);
	free(claims);
	return NULL;
}

void claims_stop(struct claims *claims)
{
	if (!claims)
		return;
	claims->stopping = true;
	pthread_join(claims->thread, NULL);
	ring_free(claims->ring);
	pthread_mutex_destroy(&claims->lock);
	pthread_cond_destroy(&claims->written);
	free(claims);
}

static void format_store_key(const char *key, char *text)
{
	snprintf(text, KEY_BYTES, "%s%s", STORE_PREFIX_CLAIMS, key);
}

/** Reads the claim to a key and tells whether it is this process's. */
static enum claims_result read_holder(struct claims *claims,
				      const struct claim_write *claim,
				      struct claims_record *record)
{
	struct entry *entry = claims->entry;
	struct store_value value;
	enum claims_result result = CLAIMS_HELD_BY_OTHER;

	if (entry->store.get(entry->store.context, claim->key, &value) != STORE_OK)
		return CLAIMS_UNKNOWN;
	if (!value.bytes)
		result = CLAIMS_UNKNOWN;
	else if (parse_value(value.bytes, record) &&
		 !strcmp(record->holder, entry->settings.name) &&
		 record->incarnation == entry->incarnation)
		result = CLAIMS_ALREADY_OWNED;
	free(value.bytes);
	return result;
}

static enum store_result write_and_wait(struct claims *claims,
					struct claim_write *claim)
{
	if (!ring_push(claims->ring, claim))
		return STORE_UNREACHABLE;
	pthread_mutex_lock(&claims->lock);
	while (!claim->done)
		pthread_cond_wait(&claims->written, &claims->lock);
	pthread_mutex_unlock(&claims->lock);
	return claim->result;
}

enum claims_result claims_acquire(struct claims *claims, const char *key,
				  uint64_t digest, uint32_t memory_ms,
				  struct claims_record *record)
{
	struct claim_write claim = { .memory_ms = memory_ms };
	enum claims_result found;

	memset(record, 0, sizeof(*record));
	record->outcome = VERDICT_MAY_HAVE_RUN;
	format_store_key(key, claim.key);
	format_value(claims, &claim, digest, VERDICT_MAY_HAVE_RUN);
	counter_add(COUNTER_CLAIMS, 1);
	switch (write_and_wait(claims, &claim)) {
	case STORE_OK:
		return CLAIMS_ACQUIRED;
	case STORE_UNREACHABLE:
		return CLAIMS_STORE_UNREACHABLE;
	case STORE_CONFLICT:
		counter_add(COUNTER_CLAIMS_LOST, 1);
		found = read_holder(claims, &claim, record);
		/* the key exists, even if its holder could not be read */
		return found == CLAIMS_UNKNOWN ? CLAIMS_HELD_BY_OTHER : found;
	default:
		counter_add(COUNTER_CLAIMS_UNKNOWN, 1);
		found = read_holder(claims, &claim, record);
		if (found == CLAIMS_ALREADY_OWNED && record->nonce == claim.nonce)
			return CLAIMS_ACQUIRED;
		return found;
	}
}

void claims_record_outcome(struct claims *claims, const char *key,
			   uint64_t digest, enum verdict outcome)
{
	struct claim_write *claim = calloc(1, sizeof(*claim));

	if (!claim)
		return;
	format_store_key(key, claim->key);
	format_value(claims, claim, digest, outcome);
	claim->is_outcome = true;
	claim->memory_ms = 0;
	if (!ring_push(claims->ring, claim))
		free(claim);
}
