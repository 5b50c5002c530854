#include "workspace/keys.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "base/log.h"

#define SECRET_BYTES 192
#define CAPACITY_MIN 16
/* Part of the places that may be taken: an unknown key is compared with 13
 * others on average. */
#define LOAD_PERCENT_MAX 80
#define UNUSED UINT32_MAX

/* Open addressing with linear probing. Hashes and indices are two arrays, so
 * that a place takes 20 bytes and not 24. */
struct workspace_keys {
	struct workspace_key_hash *hashes;
	uint32_t *indices; /* of workspaces; UNUSED: the place is free */
	uint32_t capacity; /* a power of two */
	uint32_t count;
};

/* Without a secret, callers could compute which keys have equal hashes. */
static const unsigned char *get_secret(void)
{
	static unsigned char secret[SECRET_BYTES];
	static bool has_secret;

	if (has_secret)
		return secret;
	if (getrandom(secret, sizeof(secret), 0) != (ssize_t)sizeof(secret)) {
		log_error("config", "no random numbers for hashes of keys");
		abort();
	}
	has_secret = true;
	return secret;
}

struct workspace_key_hash workspace_key_hash(const char *key, size_t bytes)
{
	const XXH128_hash_t hash =
		XXH3_128bits_withSecret(key, bytes, get_secret(), SECRET_BYTES);

	return (struct workspace_key_hash){ hash.low64, hash.high64 };
}

static bool allocate(struct workspace_keys *keys, uint32_t capacity)
{
	keys->hashes = calloc(capacity, sizeof(*keys->hashes));
	keys->indices = malloc(capacity * sizeof(*keys->indices));
	keys->capacity = capacity;
	if (!keys->hashes || !keys->indices)
		return false;
	memset(keys->indices, 0xff, capacity * sizeof(*keys->indices));
	return true;
}

static void release(struct workspace_keys *keys)
{
	free(keys->hashes);
	free(keys->indices);
}

struct workspace_keys *workspace_keys_new(void)
{
	struct workspace_keys *keys = calloc(1, sizeof(*keys));

	if (keys && !allocate(keys, CAPACITY_MIN)) {
		workspace_keys_free(keys);
		return NULL;
	}
	return keys;
}

void workspace_keys_free(struct workspace_keys *keys)
{
	if (!keys)
		return;
	release(keys);
	free(keys);
}

/* @return the place of the hash, or the free one where it belongs. */
static uint32_t find_place(const struct workspace_keys *keys,
			   struct workspace_key_hash hash)
{
	const uint32_t mask = keys->capacity - 1;
	uint32_t place = (uint32_t)hash.low & mask;

	while (keys->indices[place] != UNUSED &&
	       (keys->hashes[place].low != hash.low ||
		keys->hashes[place].high != hash.high))
		place = (place + 1) & mask;
	return place;
}

static void put(struct workspace_keys *keys, struct workspace_key_hash hash,
		uint32_t workspace_index)
{
	const uint32_t place = find_place(keys, hash);

	keys->hashes[place] = hash;
	keys->indices[place] = workspace_index;
}

static bool grow(struct workspace_keys *keys)
{
	struct workspace_keys old = *keys;
	uint32_t i;

	if (!allocate(keys, old.capacity * 2)) {
		release(keys);
		*keys = old;
		return false;
	}
	for (i = 0; i < old.capacity; i++)
		if (old.indices[i] != UNUSED)
			put(keys, old.hashes[i], old.indices[i]);
	release(&old);
	return true;
}

bool workspace_keys_add(struct workspace_keys *keys, const char *key,
			uint32_t workspace_index)
{
	const struct workspace_key_hash hash =
		workspace_key_hash(key, strlen(key));
	const int64_t known = workspace_keys_find(keys, hash);

	if (known >= 0)
		return known == workspace_index;
	if ((uint64_t)keys->count * 100 >=
		    (uint64_t)keys->capacity * LOAD_PERCENT_MAX &&
	    !grow(keys))
		return false;
	put(keys, hash, workspace_index);
	keys->count++;
	return true;
}

int64_t workspace_keys_find(const struct workspace_keys *keys,
			    struct workspace_key_hash hash)
{
	const uint32_t index = keys->indices[find_place(keys, hash)];

	return index == UNUSED ? -1 : (int64_t)index;
}
