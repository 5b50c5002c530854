#ifndef WORKSPACE_KEYS_H
#define WORKSPACE_KEYS_H

#include <stddef.h>

#include "base/attributes.h"
#include "fleet/config_defs.h"

/**
 * @file
 * The keys of a configuration's workspaces. A key is found by a hash that is
 * keyed with a random secret of the process, in constant time; keys are not
 * kept as text. Loop's thread only.
 */

struct workspace_keys;

/** Hash of a key. Differs between processes. */
struct workspace_key_hash {
	uint64_t low;
	uint64_t high;
};

/** @return the hash of a key, which needs no terminating NUL. */
struct workspace_key_hash workspace_key_hash(const char *key, size_t bytes);

/** @return an empty table that the caller frees, or NULL. */
struct workspace_keys *workspace_keys_new(void);
/** NULL is allowed. */
void workspace_keys_free(struct workspace_keys *keys);

/** Adds a key. @return false if another workspace has it, or out of memory. */
MUST_USE bool workspace_keys_add(struct workspace_keys *keys, const char *key,
				 uint32_t workspace_index);

/** @return the index of the workspace that has the key, or -1. */
int64_t workspace_keys_find(const struct workspace_keys *keys,
			    struct workspace_key_hash hash);

#endif
