#ifndef TEST_UNIT_DECIDE_QUOTA_MODEL_H
#define TEST_UNIT_DECIDE_QUOTA_MODEL_H

#include <math.h>

#include "base/clock.h"
#include "decide/quota_bucket.h"
#include "decide/quota_share.h"
#include "unit/test.h"

/**
 * @file
 * An event-driven model of entry VMs and quota coordinators on its own clock,
 * without a network: requests of one workspace, reports that are late or lost,
 * VMs that are cut off, frozen or of the build before. Used by one test program.
 */

#define VMS 140
#define COORDINATORS 2
#define STEP_MS 5
#define LENGTH_MS 40000
#define STEPS (LENGTH_MS / STEP_MS)
#define INTERVAL_MS 500
#define INTERVAL_NEAR_MS 200
#define INTERVAL_URGENT_MS 50
#define INTERVAL_POLL_MS 1000
#define CALL_TIMEOUT_MS 250
#define RETRY_MS 3000
#define EXCLUDED_MS 2000 /* less than a lease term */
#define SURGE_FACTOR 7.5
#define SURGE_MS 6500

struct coordinator {
	struct quota_bucket bucket;
	bool has_bucket;
	struct quota_peer peers[VMS];
	int64_t dead_from_ms;
	int64_t dead_until_ms;
};

struct vm {
	struct quota_share share;
	double weight;
	int64_t delay_ms;
	int64_t cut_from_ms;
	int64_t cut_until_ms;
	int64_t down_from_ms; /* frozen or dead: no requests, no messages */
	int64_t down_until_ms;
	int64_t moves_ms; /* its list names coordinator 1 from then */
	int64_t last_call_ms;
	int64_t arrives_ms; /* of the report in progress; 0: none */
	int64_t reply_ms;   /* of its reply; 0: lost or not answered yet */
	int64_t excluded_until_ms;
	uint32_t failures;
	uint32_t target;
	bool busy;
	bool idle; /* the coordinator knows that it has nothing to report */
	bool displaced;
	bool has_entry; /* the report in progress is of the workspace */
	bool unlimited; /* the build before */
	struct quota_report report;
	struct quota_grant grant;
	uint64_t granted_by; /* coordinator + 1 */
};

struct run {
	struct quota_rule rule;
	double usual;
	double loss;
	int64_t surge_ms; /* start; 0: none */
	double overload;  /* demand as a factor of the usual, all the time */
	double lowered;	  /* factor to the limit from the middle on; 0: none */
	uint32_t unlimited;
	uint32_t silent_others; /* VMs have no other workspaces to report */
};

static struct vm vms[VMS];
static struct coordinator coordinators[COORDINATORS];
static uint32_t admitted[STEPS];
static uint32_t offered[STEPS];
static GRand *random_source;

static void setup(const struct run *run)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < COORDINATORS; i++)
		quota_bucket_clear(&coordinators[i].bucket);
	memset(coordinators, 0, sizeof(coordinators));
	memset(vms, 0, sizeof(vms));
	memset(admitted, 0, sizeof(admitted));
	memset(offered, 0, sizeof(offered));
	for (i = 0; i < VMS; i++) {
		struct vm *vm = &vms[i];

		vm->weight = -log(1 - g_rand_double(random_source)) *
			     (i < 12 ? 3 : 1);
		sum += vm->weight;
		vm->delay_ms = i % 3 ? 35 : 2;
		vm->last_call_ms =
			g_rand_int_range(random_source, -INTERVAL_MS, 0);
		vm->moves_ms = INT64_MAX;
		vm->excluded_until_ms = -LENGTH_MS;
		vm->unlimited = i >= VMS - run->unlimited;
		quota_share_init(&vm->share, &run->rule,
				 g_rand_double(random_source));
	}
	for (i = 0; i < VMS; i++)
		vms[i].weight /= sum;
}

static double demand(const struct run *run, int64_t now_ms)
{
	double rate = run->usual * (run->overload > 0 ? run->overload : 1);

	if (run->surge_ms && now_ms >= run->surge_ms &&
	    now_ms < run->surge_ms + SURGE_MS)
		rate = run->usual * SURGE_FACTOR;
	return rate;
}

static uint32_t draw_poisson(double mean)
{
	const double limit = exp(-mean);
	double product = g_rand_double(random_source);
	uint32_t count = 0;

	while (product > limit) {
		product *= g_rand_double(random_source);
		count++;
	}
	return count;
}

static bool is_dead(const struct coordinator *coordinator, int64_t now_ms)
{
	return coordinator->dead_until_ms &&
	       now_ms >= coordinator->dead_from_ms &&
	       now_ms < coordinator->dead_until_ms;
}

static bool is_cut(const struct vm *vm, int64_t now_ms)
{
	return now_ms >= vm->cut_from_ms && now_ms < vm->cut_until_ms;
}

static bool is_down(const struct vm *vm, int64_t now_ms)
{
	return now_ms >= vm->down_from_ms && now_ms < vm->down_until_ms;
}

static void begin_call(const struct run *run, struct vm *vm,
		       const struct quota_view *view, int64_t now_ms)
{
	uint32_t first = now_ms >= vm->moves_ms;

	vm->displaced = now_ms < vm->excluded_until_ms;
	vm->target = vm->displaced ? !first : first;
	vm->busy = true;
	vm->last_call_ms = now_ms;
	vm->reply_ms = 0;
	vm->arrives_ms = now_ms + vm->delay_ms;
	vm->has_entry = quota_share_has_news(&vm->share);
	if (vm->has_entry)
		vm->report = quota_share_report(&vm->share, view, vm->displaced,
						now_ms);
	if (vm->granted_by == vm->target + 1)
		vm->report.held = -1;
	if (is_cut(vm, now_ms) || g_rand_double(random_source) < run->loss)
		vm->arrives_ms = 0;
}

static void serve_call(const struct run *run, struct vm *vm, uint32_t slot,
		       const struct quota_rule *rule, int64_t now_ms)
{
	struct coordinator *coordinator = &coordinators[vm->target];
	const struct quota_fleet fleet = { coordinator->peers, VMS, VMS,
					   run->unlimited };

	vm->arrives_ms = 0;
	if (is_dead(coordinator, now_ms))
		return;
	if (!coordinator->has_bucket)
		quota_bucket_init(&coordinator->bucket, rule,
				  vm->granted_by &&
					  vm->granted_by != vm->target + 1,
				  now_ms);
	coordinator->has_bucket = true;
	quota_bucket_set_rule(&coordinator->bucket, rule);
	quota_peer_record(&coordinator->peers[slot],
			  run->silent_others && !vm->has_entry, vm->displaced,
			  now_ms);
	if (vm->has_entry) {
		quota_bucket_record(&coordinator->bucket, slot, &vm->report,
				    &fleet, now_ms);
		vm->grant = quota_bucket_grant(&coordinator->bucket, slot,
					       &fleet, now_ms);
	} else {
		vm->grant.fraction = quota_bucket_fraction(&coordinator->bucket,
							   &fleet, now_ms);
	}
	coordinator->peers[slot].must_report = vm->grant.fraction < 1;
	if (!is_cut(vm, now_ms) && g_rand_double(random_source) >= run->loss)
		vm->reply_ms = now_ms + vm->delay_ms;
}

static void end_call(struct vm *vm, int64_t now_ms)
{
	if (vm->reply_ms && now_ms >= vm->reply_ms) {
		vm->busy = false;
		vm->failures = 0;
		vm->granted_by = vm->target + 1;
		vm->idle = !vm->has_entry;
		if (!vm->displaced)
			vm->excluded_until_ms = -LENGTH_MS;
		if (vm->has_entry)
			quota_share_reply(&vm->share, &vm->grant, now_ms);
		else
			quota_share_hint(&vm->share, vm->grant.fraction, now_ms);
	} else if (now_ms - vm->last_call_ms >= CALL_TIMEOUT_MS) {
		vm->busy = false;
		quota_share_fail(&vm->share);
		vm->last_call_ms = 0;
		if (++vm->failures >=
		    (now_ms - vm->excluded_until_ms < RETRY_MS ? 1 : 2)) {
			vm->failures = 0;
			vm->excluded_until_ms = vm->displaced
							? -LENGTH_MS
							: now_ms + EXCLUDED_MS;
		}
	}
}

static void run_vm(const struct run *run, uint32_t slot,
		   const struct quota_view *view, const struct quota_rule *rule,
		   int64_t now_ms)
{
	struct vm *vm = &vms[slot];
	uint32_t count = draw_poisson(demand(run, now_ms) * vm->weight *
				      STEP_MS / MS_PER_S);
	int64_t interval_ms = INTERVAL_MS;

	if (is_down(vm, now_ms))
		return;
	offered[now_ms / STEP_MS] += count;
	for (; count; count--)
		admitted[now_ms / STEP_MS] +=
			vm->unlimited ||
			!quota_share_admit(&vm->share, view, now_ms);
	if (vm->unlimited)
		return;
	if (vm->arrives_ms && now_ms >= vm->arrives_ms)
		serve_call(run, vm, slot, rule, now_ms);
	if (vm->busy)
		end_call(vm, now_ms);
	if (vm->share.near_limit)
		interval_ms = INTERVAL_NEAR_MS;
	if (quota_share_is_urgent(&vm->share, now_ms))
		interval_ms = INTERVAL_URGENT_MS;
	if (!quota_share_has_news(&vm->share) && vm->idle)
		interval_ms = quota_share_needs_poll(&vm->share, view)
				      ? INTERVAL_POLL_MS
				      : INT64_MAX;
	if (!run->silent_others)
		interval_ms = MIN(interval_ms, INTERVAL_MS);
	if (!vm->busy && now_ms - vm->last_call_ms >= interval_ms)
		begin_call(run, vm, view, now_ms);
}

static void run_fleet(const struct run *run)
{
	const struct quota_view view = { VMS, true };
	struct quota_rule rule = run->rule;
	int64_t now_ms;
	uint32_t i;

	for (now_ms = STEP_MS; now_ms < LENGTH_MS; now_ms += STEP_MS) {
		if (run->lowered > 0 && now_ms == LENGTH_MS / 2) {
			rule.rate_per_s *= run->lowered;
			rule.burst *= run->lowered;
			for (i = 0; i < VMS; i++)
				quota_share_set_rule(&vms[i].share, &rule);
		}
		for (i = 0; i < VMS; i++)
			run_vm(run, i, &view, &rule, now_ms);
	}
}

static uint64_t sum_between(const uint32_t *counts, int64_t from_ms, int64_t to_ms)
{
	uint64_t sum = 0;
	int64_t i;

	for (i = from_ms / STEP_MS; i < to_ms / STEP_MS; i++)
		sum += counts[i];
	return sum;
}

/* @return the largest number of requests in a window that begins at `from_ms`
 * or later, as a part of what is allowed. */
static double largest_window(const struct quota_rule *rule, int64_t from_ms,
			     int64_t to_ms)
{
	const int64_t steps = QUOTA_WINDOW_MS / STEP_MS;
	const double allowed = (rule->rate_per_s * 5 + rule->burst) * 1.1 + 20;
	uint64_t sum = 0;
	uint64_t most = 0;
	int64_t i;

	for (i = from_ms / STEP_MS; i < to_ms / STEP_MS; i++) {
		sum += admitted[i];
		if (i >= from_ms / STEP_MS + steps)
			sum -= admitted[i - steps];
		most = MAX(most, sum);
	}
	return (double)most / allowed;
}

#endif
