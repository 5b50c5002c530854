#ifndef ENTRY_PASS_H
#define ENTRY_PASS_H

#include "entry/forward.h"

/**
 * @file
 * Passes an order on to the entry VM that is its key's home.
 */

/**
 * Passes an order to its home and fills in the exchange's outcome. Blocks up to
 * the exchange's deadline, plus a margin for the response to return.
 *
 * @return true if the exchange has ended; false if the home is dead or provably
 * did not receive the order, which this process may then decide.
 */
bool pass_to_home(struct entry *entry, struct exchange *exchange,
		  const struct order_key *home);

#endif
