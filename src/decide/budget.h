#ifndef DECIDE_BUDGET_H
#define DECIDE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Bounds retries to a fraction of the requests, so that failing backend
 * servers do not multiply the load. Pure: no locks.
 */

struct budget {
	uint32_t deposit_permille; /**< of one retry, a request */
	uint64_t balance_permille;
	uint64_t balance_max_permille;
};

/** Largest burst of retries that a quiet period can save up. */
#define BUDGET_BURST_RETRIES 10

/** @param permille retries allowed, in thousandths of the requests. */
void budget_init(struct budget *budget, uint32_t permille);

/** Counts a request: it earns a part of a retry. */
void budget_deposit(struct budget *budget);

/** @return whether a retry may be sent; if so it is paid for. */
bool budget_withdraw(struct budget *budget);

#endif
