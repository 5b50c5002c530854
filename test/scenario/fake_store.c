#include <stdlib.h>
#include <string.h>

#include "scenario/sim_internal.h"

/**
 * @file
 * Fake store for scenarios: implements struct store with a hash table.
 */

struct sim_value {
	char *bytes;
	uint64_t mod_revision;
};

void sim_value_free(gpointer value)
{
	g_free(((struct sim_value *)value)->bytes);
	g_free(value);
}

/** @return whether the entry VM reaches the store. Lock held. */
static bool can_reach_store(const struct sim_entry *entry)
{
	return !entry->dead && !entry->cut_from_store &&
	       entry->sim->store_mode != STORE_MODE_DOWN;
}

static enum store_result fake_get(void *context, const char *key,
				  struct store_value *value)
{
	struct sim_entry *entry = context;
	struct sim *sim = entry->sim;
	enum store_result result = STORE_UNREACHABLE;
	const struct sim_value *stored;

	memset(value, 0, sizeof(*value));
	pthread_mutex_lock(&sim->lock);
	if (can_reach_store(entry)) {
		stored = g_hash_table_lookup(sim->values, key);
		result = STORE_OK;
		value->store_revision = sim->revision;
		if (stored) {
			value->bytes = strdup(stored->bytes);
			value->byte_count = (uint32_t)strlen(stored->bytes);
			value->mod_revision = stored->mod_revision;
		}
	}
	pthread_mutex_unlock(&sim->lock);
	return result;
}

static uint64_t mod_revision_of(struct sim *sim, const char *key)
{
	const struct sim_value *stored = g_hash_table_lookup(sim->values, key);

	return stored ? stored->mod_revision : 0;
}

static void write_value(struct sim *sim, const struct store_put *put)
{
	struct sim_value *value = g_new0(struct sim_value, 1);

	value->bytes = g_strdup(put->value);
	value->mod_revision = sim->revision;
	g_hash_table_replace(sim->values, g_strdup(put->key), value);
}

/** Writes all puts, or none if a comparison fails. Lock held. */
static enum store_result commit_puts(struct sim *sim,
				     const struct store_put *puts, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (puts[i].compare && mod_revision_of(sim, puts[i].key) !=
					       puts[i].expected_revision)
			return STORE_CONFLICT;
	sim->revision++;
	for (i = 0; i < count; i++)
		write_value(sim, &puts[i]);
	return STORE_OK;
}

static enum store_result fake_commit(void *context, const struct store_put *puts,
				     uint32_t put_count)
{
	struct sim_entry *entry = context;
	struct sim *sim = entry->sim;
	enum store_result result = STORE_UNREACHABLE;

	if (puts[0].compare && !sim_wait_while_paused(entry, PAUSE_BEFORE_CLAIM))
		return STORE_UNREACHABLE;
	pthread_mutex_lock(&sim->lock);
	if (can_reach_store(entry) && sim->store_mode == STORE_MODE_READ_ONLY)
		result = STORE_UNKNOWN;
	else if (can_reach_store(entry))
		result = commit_puts(sim, puts, put_count);
	if (sim->store_mode == STORE_MODE_LOSES_RESPONSES &&
	    result != STORE_UNREACHABLE)
		result = STORE_UNKNOWN;
	pthread_mutex_unlock(&sim->lock);
	return result;
}

static enum store_result fake_lease(void *context, uint32_t ttl_s, uint64_t *lease)
{
	struct sim_entry *entry = context;
	bool reachable;

	(void)ttl_s;
	pthread_mutex_lock(&entry->sim->lock);
	reachable = can_reach_store(entry);
	pthread_mutex_unlock(&entry->sim->lock);
	*lease = 1;
	return reachable ? STORE_OK : STORE_UNREACHABLE;
}

bool sim_is_outcome_recorded(struct sim *sim, const struct sim_order *order)
{
	char *key = g_strconcat(STORE_PREFIX_CLAIMS, order->key, NULL);
	const struct sim_value *stored = g_hash_table_lookup(sim->values, key);

	g_free(key);
	return stored && strstr(stored->bytes, "\"outcome\":2");
}

struct store sim_fake_store(struct sim_entry *entry)
{
	struct store store = {
		.get = fake_get,
		.commit = fake_commit,
		.lease = fake_lease,
		.context = entry,
	};

	return store;
}
