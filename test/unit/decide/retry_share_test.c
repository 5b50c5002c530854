#include "decide/retry_share.h"
#include "unit/test.h"

#define VMS 26
#define WINDOW_MS 10000
#define STEPS 4000

static const struct retry_share_rule rule = {
	.ratio = 0.2,
	.extra = 139,
	.window_ms = WINDOW_MS,
	.vm_count = VMS,
};

/* Load pattern: every request fails and is retried at once, on all entry VMs.
 * In no window may the fleet send more retries than the rule allows. */
static void fleet_stays_under_the_budget(void)
{
	static struct retry_share shares[VMS];
	static uint32_t requests[STEPS];
	static uint32_t retries[STEPS];
	uint32_t step;
	uint32_t i;

	for (step = 0; step < STEPS; step++) {
		int64_t now_ms = 100000 + step * 10;

		for (i = 0; i < VMS; i++) {
			/* a burst of four times the load in the middle */
			bool sends = (step + i) % 8 == 0 ||
				     (step > 1500 && step < 2000 &&
				      (step + i) % 2 == 0);

			if (!sends)
				continue;
			retry_share_count_request(&shares[i], &rule, now_ms);
			requests[step]++;
			while (retry_share_acquire(&shares[i], &rule, now_ms))
				retries[step]++;
		}
	}
	for (step = 0; step + WINDOW_MS / 10 < STEPS; step += 50) {
		double sent = 0;
		double retried = 0;

		for (i = 0; i < WINDOW_MS / 10; i++) {
			sent += requests[step + i];
			retried += retries[step + i];
		}
		g_assert_cmpfloat(retried, <=, 0.2 * sent + 139);
	}
}

static void idle_vm_may_retry(void)
{
	struct retry_share share = { 0 };

	g_assert_true(retry_share_acquire(&share, &rule, 5000));
	g_assert_true(retry_share_acquire(&share, &rule, 5000));
}

static void old_requests_earn_no_retries(void)
{
	struct retry_share share = { 0 };
	uint32_t acquired = 0;
	uint32_t i;

	for (i = 0; i < 1000; i++)
		retry_share_count_request(&share, &rule, 1000);
	while (retry_share_acquire(&share, &rule, 1000 + 5 * WINDOW_MS))
		acquired++;
	g_assert_cmpuint(acquired, <=, 139 / VMS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("retry_share", fleet_stays_under_the_budget);
	ADD_TEST("retry_share", idle_vm_may_retry);
	ADD_TEST("retry_share", old_requests_earn_no_retries);
	return g_test_run();
}
