#ifndef ENTRY_ORDER_H
#define ENTRY_ORDER_H

#include "entry/forward.h"

/**
 * @file
 * Non-idempotent requests: each key runs at most once.
 *
 * A key that a look-up handed out names its home, the entry VM that remembers
 * it; any other passes the request there. With the store at hand every run is
 * preceded by a claim to the key, which is what makes a lost home safe. A key
 * handed out while its home could not reach the store says so; it runs without
 * a claim, and only at its home.
 */

/**
 * Runs a non-idempotent exchange.
 *
 * @param key the caller's Idempotency-Key, or NULL.
 */
void order_run(struct entry *entry, struct exchange *exchange, const char *key);

/** Forgets what has expired; called about once a second. */
void order_expire(struct entry *entry);

#endif
