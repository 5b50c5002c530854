#include "decide/budget.h"

#define RETRY_COST_PERMILLE 1000

void budget_init(struct budget *budget, uint32_t permille)
{
	budget->deposit_permille = permille;
	budget->balance_max_permille =
		permille ? BUDGET_BURST_RETRIES * RETRY_COST_PERMILLE : 0;
	budget->balance_permille = budget->balance_max_permille;
}

void budget_deposit(struct budget *budget)
{
	budget->balance_permille += budget->deposit_permille;
	if (budget->balance_permille > budget->balance_max_permille)
		budget->balance_permille = budget->balance_max_permille;
}

bool budget_withdraw(struct budget *budget)
{
	if (budget->balance_permille < RETRY_COST_PERMILLE)
		return false;
	budget->balance_permille -= RETRY_COST_PERMILLE;
	return true;
}
