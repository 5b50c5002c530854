#include <stdlib.h>
#include <string.h>

#include "scenario/world_internal.h"

/**
 * @file
 * The scenarios' store: the callbacks of struct store over a hash table.
 */

struct world_value {
	char *bytes;
	uint64_t mod_revision;
};

void world_value_free(gpointer value)
{
	g_free(((struct world_value *)value)->bytes);
	g_free(value);
}

/** Whether this process reaches the store now. The lock is held. */
static bool is_reached(const struct world_entry *entry)
{
	return !entry->dead && !entry->cut_from_store &&
	       entry->world->store_mode != STORE_DOWN;
}

static enum store_result fake_get(void *context, const char *key,
				  struct store_value *value)
{
	struct world_entry *entry = context;
	struct world *world = entry->world;
	enum store_result result = STORE_UNREACHABLE;
	const struct world_value *held;

	memset(value, 0, sizeof(*value));
	pthread_mutex_lock(&world->lock);
	if (is_reached(entry)) {
		held = g_hash_table_lookup(world->data, key);
		result = STORE_OK;
		value->store_revision = world->revision;
		if (held) {
			value->bytes = strdup(held->bytes);
			value->byte_count = (uint32_t)strlen(held->bytes);
			value->mod_revision = held->mod_revision;
		}
	}
	pthread_mutex_unlock(&world->lock);
	return result;
}

static uint64_t revision_of(struct world *world, const char *key)
{
	const struct world_value *held = g_hash_table_lookup(world->data, key);

	return held ? held->mod_revision : 0;
}

static void write_one(struct world *world, const struct store_put *put)
{
	struct world_value *value = g_new0(struct world_value, 1);

	value->bytes = g_strdup(put->value);
	value->mod_revision = world->revision;
	g_hash_table_replace(world->data, g_strdup(put->key), value);
}

/** The lock is held. */
static enum store_result write_all(struct world *world,
				   const struct store_put *puts, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (puts[i].compare && revision_of(world, puts[i].key) !=
					       puts[i].expected_revision)
			return STORE_CONFLICT;
	world->revision++;
	for (i = 0; i < count; i++)
		write_one(world, &puts[i]);
	return STORE_OK;
}

static enum store_result fake_commit(void *context, const struct store_put *puts,
				     uint32_t put_count)
{
	struct world_entry *entry = context;
	struct world *world = entry->world;
	enum store_result result = STORE_UNREACHABLE;

	if (puts[0].compare && !world_pass_pause(entry, PAUSE_BEFORE_CLAIM))
		return STORE_UNREACHABLE;
	pthread_mutex_lock(&world->lock);
	if (is_reached(entry) && world->store_mode == STORE_READ_ONLY)
		result = STORE_UNKNOWN;
	else if (is_reached(entry))
		result = write_all(world, puts, put_count);
	if (world->store_mode == STORE_LOSES_ANSWERS &&
	    result != STORE_UNREACHABLE)
		result = STORE_UNKNOWN;
	pthread_mutex_unlock(&world->lock);
	return result;
}

static enum store_result fake_lease(void *context, uint32_t ttl_s, uint64_t *lease)
{
	struct world_entry *entry = context;
	bool reached;

	(void)ttl_s;
	pthread_mutex_lock(&entry->world->lock);
	reached = is_reached(entry);
	pthread_mutex_unlock(&entry->world->lock);
	*lease = 1;
	return reached ? STORE_OK : STORE_UNREACHABLE;
}

bool world_is_recorded(struct world *world, const struct world_order *order)
{
	char *key = g_strconcat(STORE_PREFIX_CLAIMS, order->key, NULL);
	const struct world_value *held = g_hash_table_lookup(world->data, key);

	g_free(key);
	return held && strstr(held->bytes, "\"outcome\":2");
}

struct store world_store(struct world_entry *entry)
{
	struct store store = {
		.get = fake_get,
		.commit = fake_commit,
		.lease = fake_lease,
		.context = entry,
	};

	return store;
}
