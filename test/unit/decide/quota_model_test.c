#include "unit/decide/quota_model.h"

/* Guards against a fleet that admits more than a workspace's quota in some
 * window, against quotas of which much is left unused, and against refusals of
 * requests within them. */

static struct run draw_run(double rate)
{
	struct run run = { .rule = { rate, rate }, .usual = rate / 1.6 };

	return run;
}

static const double rates[] = { 2, 5, 12, 40, 110, 350, 900 };

static void assert_windows(const char *what, const struct run *run)
{
	const double most = largest_window(&run->rule, 0, LENGTH_MS);

	if (most <= 1)
		return;
	g_test_message("%s: rate=%g window=%.3f of the allowed", what,
		       run->rule.rate_per_s, most);
	g_test_fail();
}

static void cut_off(double part, int64_t from_ms, int64_t length_ms)
{
	uint32_t i;

	for (i = 0; i < VMS; i++) {
		if (g_rand_double(random_source) >= part)
			continue;
		vms[i].cut_from_ms = from_ms;
		vms[i].cut_until_ms = from_ms + length_ms;
	}
}

/* @return the requests that a single token bucket would have refused. */
static uint32_t refused_by_one_bucket(const struct quota_rule *rule)
{
	double tokens = rule->burst;
	uint32_t refused = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < STEPS; i++) {
		tokens = fmin(tokens + rule->rate_per_s * STEP_MS / MS_PER_S,
			      rule->burst);
		for (k = 0; k < offered[i]; k++) {
			if (tokens >= 1)
				tokens -= 1;
			else
				refused++;
		}
	}
	return refused;
}

/* Load pattern: demand steadily at 1/1.6 of the quota. */
static void steady_demand_is_not_refused(void)
{
	static const double factors[] = { 1, 1.3 };
	size_t i;
	size_t k;

	for (k = 0; k < ARRAY_SIZE(factors); k++)
		for (i = 0; i < ARRAY_SIZE(rates); i++) {
			struct run run = draw_run(rates[i]);
			uint64_t total;
			uint64_t refused;
			uint32_t unavoidable;

			run.loss = 0.01;
			run.overload = factors[k];
			run.silent_others = i % 2;
			setup(&run);
			run_fleet(&run);
			total = sum_between(offered, 0, LENGTH_MS);
			refused = total - sum_between(admitted, 0, LENGTH_MS);
			unavoidable = refused_by_one_bucket(&run.rule);
			g_test_message("rate=%g refused=%u of %u, %u by one "
				       "bucket",
				       rates[i], (uint32_t)refused,
				       (uint32_t)total, unavoidable);
			g_assert_cmpuint(refused, <=,
					 unavoidable + MAX(total / 200, 1));
			assert_windows("steady", &run);
		}
}

/* Load pattern: a workspace sends 7.5 times its usual for 6.5 s. */
static void surge_keeps_the_windows(void)
{
	size_t i;

	for (i = 0; i < 2 * ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i / 2]);
		double used;

		run.loss = 0.02;
		run.surge_ms = 12000 + 130 * i;
		run.silent_others = i % 2;
		setup(&run);
		run_fleet(&run);
		assert_windows("surge", &run);
		used = (double)sum_between(admitted, run.surge_ms,
					   run.surge_ms + SURGE_MS) /
		       (run.rule.rate_per_s * SURGE_MS / MS_PER_S);
		g_assert_cmpfloat(used, >, 0.9);
	}
}

/* Load pattern: demand at 2.5 times the quota, from the start. */
static void steady_excess_uses_the_quota(void)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i]);
		double used;

		run.loss = 0.02;
		run.overload = 4;
		setup(&run);
		run_fleet(&run);
		assert_windows("excess", &run);
		used = (double)sum_between(admitted, 5000, LENGTH_MS) /
		       (rates[i] * (LENGTH_MS - 5000) / MS_PER_S);
		g_assert_cmpfloat(used, >, 0.9);
	}
}

/* Moves nearly all demand to the first `count` VMs. */
static void concentrate_demand(uint32_t count)
{
	uint32_t i;

	for (i = 0; i < VMS; i++)
		vms[i].weight = i < count ? 0.95 / count : 0.05 / (VMS - count);
}

/* Load pattern: demand at ten times the quota, nearly all of it at one or a few
 * VMs, whose reports carry many requests each. Guards against a demand that is
 * overestimated by these reports, and buckets that overflow between them: one
 * VM used 0.81 of a quota without a burst. */
static void concentrated_excess_uses_the_quota(void)
{
	static const uint32_t counts[] = { 1, 3, 12 };
	size_t i;
	size_t k;

	for (k = 0; k < 2 * ARRAY_SIZE(counts); k++)
		for (i = 0; i < ARRAY_SIZE(rates); i++) {
			struct run run = draw_run(rates[i]);
			double used;

			run.loss = 0.01;
			run.overload = 16;
			if (k % 2)
				run.rule.burst = 0;
			setup(&run);
			concentrate_demand(counts[k / 2]);
			run_fleet(&run);
			assert_windows("concentrated", &run);
			/* a few requests by chance at the smallest limits */
			used = (double)(4 + sum_between(admitted, 5000,
							LENGTH_MS)) /
			       (rates[i] * (LENGTH_MS - 5000) / MS_PER_S);
			g_test_message("vms=%u rate=%g burst=%g used=%.3f",
				       counts[k / 2], rates[i], run.rule.burst,
				       used);
			g_assert_cmpfloat(used, >, 0.9);
		}
}

/* Load pattern: 17% of the VMs lose the coordinator during a surge, and keep
 * their callers and servers. */
static void cut_off_vms_keep_the_windows(void)
{
	size_t i;
	int64_t offset_ms;

	for (i = 0; i < ARRAY_SIZE(rates); i++)
		for (offset_ms = -1000; offset_ms <= 5000; offset_ms += 1500) {
			struct run run = draw_run(rates[i]);
			double used;

			run.loss = 0.01;
			run.surge_ms = 15000;
			setup(&run);
			cut_off(0.17, run.surge_ms + offset_ms, 5000);
			run_fleet(&run);
			assert_windows("cut", &run);
			used = (double)(2 + sum_between(admitted, run.surge_ms,
							run.surge_ms + SURGE_MS)) /
			       (run.rule.rate_per_s * SURGE_MS / MS_PER_S);
			g_assert_cmpfloat(used, >, 0.9);
		}
}

/* A VM with a higher rank joins: VMs hear of it at different times, and two
 * coordinators serve meanwhile. `spread_ms` is the longest difference. */
static void change_coordinator(double rate, int64_t spread_ms, double moving)
{
	struct run run = draw_run(rate);
	uint32_t i;

	run.loss = 0.01;
	run.overload = 4;
	setup(&run);
	for (i = 0; i < VMS; i++)
		if (g_rand_double(random_source) < moving)
			vms[i].moves_ms =
				15000 + g_rand_int_range(random_source, 0,
							 (gint32)spread_ms);
	run_fleet(&run);
	assert_windows("change", &run);
	if (moving >= 1)
		g_assert_cmpfloat(sum_between(admitted, 10000, LENGTH_MS) + 4, >,
				  0.9 * rate * (LENGTH_MS - 10000) / MS_PER_S);
}

static void two_coordinators_keep_the_windows(void)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(rates); i++) {
		change_coordinator(rates[i], 100, 1);
		change_coordinator(rates[i], 2000, 1);
		change_coordinator(rates[i], 5000, 1);
		change_coordinator(rates[i], 1000, 0.2);
		change_coordinator(rates[i], 1000, 0.5);
		change_coordinator(rates[i], 1000, 0.8);
	}
}

/* The coordinator dies; VMs report to the next one until the list of VMs tells
 * of it. */
static void dead_coordinator_is_replaced(void)
{
	size_t i;
	uint32_t k;

	for (i = 0; i < ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i]);

		run.loss = 0.01;
		run.overload = 4;
		setup(&run);
		coordinators[0].dead_from_ms = 15000;
		coordinators[0].dead_until_ms = LENGTH_MS;
		for (k = 0; k < VMS; k++)
			vms[k].moves_ms = 20000 + 3 * k;
		run_fleet(&run);
		assert_windows("dead", &run);
		g_assert_cmpfloat(sum_between(admitted, 10000, LENGTH_MS) + 4, >,
				  0.9 * rates[i] * (LENGTH_MS - 10000) / MS_PER_S);
	}
}

/* Load pattern: the coordinator changes, or dies, while demand is as usual. */
static void usual_demand_is_not_refused_at_a_change(void)
{
	size_t i;
	uint32_t k;

	for (i = 0; i < 2 * ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i / 2]);
		uint64_t total;
		uint64_t refused;

		run.silent_others = i % 2;
		setup(&run);
		if (i % 4 < 2) {
			coordinators[0].dead_from_ms = 15000;
			coordinators[0].dead_until_ms = LENGTH_MS;
		}
		for (k = 0; k < VMS; k++)
			vms[k].moves_ms = (i % 4 < 2 ? 20000 : 15000) + 7 * k;
		run_fleet(&run);
		assert_windows("usual", &run);
		total = sum_between(offered, 0, LENGTH_MS);
		refused = total - sum_between(admitted, 0, LENGTH_MS);
		/* VMs go by their last share until they ask the next one */
		g_assert_cmpuint(refused * 50, <=, total + 250);
		g_test_message("rate=%g dead=%d refused=%u of %u",
			       run.rule.rate_per_s, i % 4 < 2,
			       (uint32_t)refused, (uint32_t)total);
	}
}

static void lowered_limit_applies_after_a_window(void)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i]);
		struct quota_rule lowered = { rates[i] / 4, rates[i] / 4 };

		run.loss = 0.01;
		run.lowered = 0.25;
		run.overload = 1.5;
		setup(&run);
		run_fleet(&run);
		g_assert_cmpfloat(largest_window(&lowered,
						 LENGTH_MS / 2 + QUOTA_WINDOW_MS,
						 LENGTH_MS),
				  <=, 1);
		/* a few requests more or less by chance at the smallest limits */
		g_assert_cmpfloat(sum_between(admitted, 26000, LENGTH_MS) + 4, >,
				  0.9 * lowered.rate_per_s *
					  (LENGTH_MS - 26000) / MS_PER_S);
	}
}

/* VMs die, freeze and come back under excess demand, and start anew. */
static void frozen_vms_keep_the_windows(void)
{
	size_t i;
	uint32_t k;

	for (i = 0; i < ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i]);

		run.loss = 0.03;
		run.overload = 3;
		setup(&run);
		for (k = 0; k < VMS; k++) {
			vms[k].down_from_ms =
				g_rand_int_range(random_source, 8000, 30000);
			vms[k].down_until_ms =
				vms[k].down_from_ms +
				g_rand_int_range(random_source, 300, 9000);
		}
		run_fleet(&run);
		assert_windows("frozen", &run);
	}
}

/* A third of the fleet runs a build that neither limits nor reports. */
static void builds_before_are_allowed_for(void)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(rates); i++) {
		struct run run = draw_run(rates[i]);

		run.overload = 1.4;
		run.unlimited = VMS / 3;
		setup(&run);
		run_fleet(&run);
		assert_windows("mixed", &run);
	}
}

int main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	random_source = g_rand_new_with_seed(2026);
	ADD_TEST("quota_model", steady_demand_is_not_refused);
	ADD_TEST("quota_model", surge_keeps_the_windows);
	ADD_TEST("quota_model", steady_excess_uses_the_quota);
	ADD_TEST("quota_model", concentrated_excess_uses_the_quota);
	ADD_TEST("quota_model", cut_off_vms_keep_the_windows);
	ADD_TEST("quota_model", two_coordinators_keep_the_windows);
	ADD_TEST("quota_model", dead_coordinator_is_replaced);
	ADD_TEST("quota_model", usual_demand_is_not_refused_at_a_change);
	ADD_TEST("quota_model", lowered_limit_applies_after_a_window);
	ADD_TEST("quota_model", frozen_vms_keep_the_windows);
	ADD_TEST("quota_model", builds_before_are_allowed_for);
	result = g_test_run();
	g_rand_free(random_source);
	return result;
}
