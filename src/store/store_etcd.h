#ifndef STORE_STORE_ETCD_H
#define STORE_STORE_ETCD_H

#include "store/store_defs.h"

/**
 * @file
 * Store adapter for the JSON gateway of the etcd v3 API.
 */

struct store_etcd;

/**
 * @param address "IP:port" of the gateway.
 * @param timeout_ms time limit of one call.
 * @return an adapter that the caller frees with store_etcd_free(), or NULL.
 */
struct store_etcd *store_etcd_new(const char *address, uint32_t timeout_ms);
void store_etcd_free(struct store_etcd *etcd);

/** @return the adapter's callbacks; the adapter must outlive them. */
struct store store_etcd_as_store(struct store_etcd *etcd);

#endif
