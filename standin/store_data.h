#ifndef STANDIN_STORE_DATA_H
#define STANDIN_STORE_DATA_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The keys and values of standin-store. Every function may be called from any
 * thread.
 */

void store_data_init(void);

/** Each takes a request of the gateway and returns a new answer. */
json_t *store_data_range(json_t *request);
json_t *store_data_txn(json_t *request);
json_t *store_data_lease(json_t *request);

/** @return the decoded key, which the caller frees. */
char *store_data_key(json_t *encoded);

/** @return the revision of a key's last write; 0 when it is absent. */
uint64_t store_data_revision_of(const char *key);

/** Waits until a key's revision is not `seen`. @return false after `ms`. */
bool store_data_wait(const char *key, uint64_t seen, uint32_t ms);

void store_data_snapshot(void);
void store_data_restore(void);

#endif
