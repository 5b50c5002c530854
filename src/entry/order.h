#ifndef ENTRY_ORDER_H
#define ENTRY_ORDER_H

#include "entry/forward.h"

/**
 * @file
 * Runs non-idempotent requests (orders) at most once for each key.
 *
 * A key issued by a look-up names its home, the entry VM that remembers it;
 * other entry VMs pass the request there. Before an order runs, its key is
 * claimed in the store, so that no other entry VM can run it again after the
 * home is lost. A key issued while its home could not reach the store is marked
 * as unclaimed: it runs without a claim, and only at its home.
 */

/**
 * Runs a non-idempotent exchange and fills in its outcome. Blocks up to the
 * exchange's deadline. Any thread.
 *
 * @param key the caller's Idempotency-Key, or NULL.
 */
void order_run(struct entry *entry, struct exchange *exchange, const char *key);

/** Removes expired orders; called about once a second. */
void order_expire(struct entry *entry);

#endif
