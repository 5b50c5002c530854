#ifndef ENTRY_PASS_H
#define ENTRY_PASS_H

#include "entry/forward.h"

/**
 * @file
 * Passes an order to the entry VM that is its key's home.
 */

/**
 * @return false when the home is gone or was proven not to have seen the
 * order; then this process may decide. True when the exchange has ended.
 */
bool pass_to_home(struct entry *entry, struct exchange *exchange,
		  const struct order_key *home);

#endif
