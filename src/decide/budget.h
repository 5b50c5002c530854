#ifndef DECIDE_BUDGET_H
#define DECIDE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Retry budget: limits retries to a fraction of the requests, so that failing
 * backend servers do not multiply the load. Does no locking.
 */

struct budget {
	uint32_t deposit_permille; /**< earned by each request */
	uint64_t balance_permille;
	uint64_t balance_max_permille;
};

/** Largest burst of retries after a period without any. */
#define BUDGET_BURST_RETRIES 10

/** @param permille retries allowed for each 1000 requests; 0 allows none. */
void budget_init(struct budget *budget, uint32_t permille);

/** Counts a request, which adds `permille` thousandths of a retry. */
void budget_deposit(struct budget *budget);

/** @return whether a retry may be sent; if so, it is deducted. */
bool budget_withdraw(struct budget *budget);

#endif
