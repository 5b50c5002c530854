#ifndef STANDIN_STORE_DATA_H
#define STANDIN_STORE_DATA_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The in-memory data of standin-store. All functions are thread-safe.
 */

void store_data_init(void);

/** Each handles a request of the etcd JSON gateway and returns a new response. */
json_t *store_data_range(json_t *request);
json_t *store_data_txn(json_t *request);
json_t *store_data_grant_lease(json_t *request);

/** @return the decoded key, which the caller frees. */
char *store_data_decode_key(json_t *encoded);

/** @return the revision of a key's last write, or 0 if the key is absent. */
uint64_t store_data_key_revision(const char *key);

/**
 * Waits until a key's revision differs from `last_revision`.
 *
 * @param timeout_ms rounded down to seconds.
 * @return false on timeout.
 */
bool store_data_wait_for_change(const char *key, uint64_t last_revision,
				uint32_t timeout_ms);

void store_data_snapshot(void);
void store_data_restore(void);

#endif
