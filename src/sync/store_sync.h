#ifndef SYNC_STORE_SYNC_H
#define SYNC_STORE_SYNC_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Keeps the data path's view of the platform in sync with the platform's store:
 * configuration, evacuations, backend servers, and the other entry VMs. Used on
 * the event loop's thread.
 */

/** Starts to read from and watch the store. @return NULL if out of memory. */
struct store_sync *store_sync_new(struct proxy *proxy,
				  const struct sockaddr_in *store);
void store_sync_free(struct store_sync *store_sync);

/** @return whether the operator's keys and the server list have been read. */
bool store_sync_is_complete(const struct store_sync *store_sync);

/** Reads all keys again after this process was paused. */
void store_sync_reload(struct store_sync *store_sync);

/** The store does not respond: restarts the reads that go to the store
 * directly, and retries less often if the relay does not respond either. */
void store_sync_on_store_unreachable(struct store_sync *store_sync);
/** The store responds again. */
void store_sync_on_store_reachable(struct store_sync *store_sync);

/** @return time since the server list was last confirmed by the store, in ms;
 * -1: never. */
int64_t store_sync_servers_age_ms(const struct store_sync *store_sync);

/** @return the same for the keys of the entry VMs. */
int64_t store_sync_fleet_age_ms(const struct store_sync *store_sync);

/** @return the store's era as last read with the configuration; 0: unknown. */
uint64_t store_sync_era(const struct store_sync *store_sync);

/** @return the VM that reads from the store for this one; "": none. */
const char *store_sync_relay(const struct store_sync *store_sync);

/** @return the server of reads for other VMs; NULL: not configured. */
struct relay *store_sync_relay_server(const struct store_sync *store_sync);

#endif
