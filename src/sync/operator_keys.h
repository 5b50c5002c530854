#ifndef SYNC_OPERATOR_KEYS_H
#define SYNC_OPERATOR_KEYS_H

#include "kv/kv_defs.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Applies the operator's keys of the store: the configuration, and which
 * failure domains are evacuated. Event loop's thread.
 */

/** Applies a key that was written; for a configuration, see
 * config_loader_put(). */
void operator_keys_put(struct proxy *proxy, const struct kv_item *item);

/** Applies the removal of a key: the end of an evacuation. */
void operator_keys_remove(struct proxy *proxy, const char *key);

#endif
