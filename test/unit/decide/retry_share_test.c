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

/* Load pattern: every send fails and is repeated at once, on all entry VMs. In
 * no window may the fleet repeat more than the rule allows. */
static void fleet_stays_under_the_budget(void)
{
	static struct retry_share shares[VMS];
	static uint32_t requests[STEPS];
	static uint32_t repeats[STEPS];
	uint32_t step;
	uint32_t i;

	for (step = 0; step < STEPS; step++) {
		int64_t now_ms = 100000 + step * 10;

		for (i = 0; i < VMS; i++) {
			/* a burst of four times the load in the middle */
			bool asked = (step + i) % 8 == 0 ||
				     (step > 1500 && step < 2000 &&
				      (step + i) % 2 == 0);

			if (!asked)
				continue;
			retry_share_request(&shares[i], &rule, now_ms);
			requests[step]++;
			while (retry_share_take(&shares[i], &rule, now_ms))
				repeats[step]++;
		}
	}
	for (step = 0; step + WINDOW_MS / 10 < STEPS; step += 50) {
		double asked = 0;
		double repeated = 0;

		for (i = 0; i < WINDOW_MS / 10; i++) {
			asked += requests[step + i];
			repeated += repeats[step + i];
		}
		g_assert_cmpfloat(repeated, <=, 0.2 * asked + 139);
	}
}

static void quiet_vm_may_repeat_a_little(void)
{
	struct retry_share share = { 0 };

	g_assert_true(retry_share_take(&share, &rule, 5000));
	g_assert_true(retry_share_take(&share, &rule, 5000));
}

static void nothing_is_saved_up(void)
{
	struct retry_share share = { 0 };
	uint32_t taken = 0;
	uint32_t i;

	for (i = 0; i < 1000; i++)
		retry_share_request(&share, &rule, 1000);
	while (retry_share_take(&share, &rule, 1000 + 5 * WINDOW_MS))
		taken++;
	g_assert_cmpuint(taken, <=, 139 / VMS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("retry_share", fleet_stays_under_the_budget);
	ADD_TEST("retry_share", quiet_vm_may_repeat_a_little);
	ADD_TEST("retry_share", nothing_is_saved_up);
	return g_test_run();
}
