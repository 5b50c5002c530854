#include <argtable2.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/clock.h"
#include "bench_defs.h"
#include "caller.h"

/**
 * @file
 * Generates load at a fixed rate (open loop): operations start on schedule,
 * whether or not earlier ones have ended, and latency is measured from the
 * scheduled start.
 */

enum operation_kind {
	KIND_LOOKUP,
	KIND_GET,
	KIND_ORDER,
	KIND_COUNT,
};

static const char *const kind_names[] = { "look-up", "get", "order" };

struct load {
	struct caller_options options;
	struct caller_pools *pools;
	char **regions;
	uint32_t region_count;
	uint32_t caller_count;
	uint32_t rate_per_s;
	uint32_t operation_count;
	uint32_t kind_permille[KIND_COUNT];
	uint32_t fault_permille;
	const char *fault;
	int64_t start_ns;
	atomic_uint next_operation;
	FILE *history;
	pthread_mutex_t history_lock; /* guards `history` */
};

struct load_thread {
	struct load *load;
	pthread_t thread;
	struct samples samples[KIND_COUNT];
	uint64_t failed[KIND_COUNT];
	uint64_t mismatched_count;
	uint64_t attempts;
	uint64_t told_not_run;
	uint64_t told_may_have_run;
	struct caller *callers;
	uint32_t caller_count;
};

static enum operation_kind choose_kind(const struct load *load,
				       uint32_t sample_permille)
{
	if (sample_permille < load->kind_permille[KIND_LOOKUP])
		return KIND_LOOKUP;
	if (sample_permille <
	    load->kind_permille[KIND_LOOKUP] + load->kind_permille[KIND_GET])
		return KIND_GET;
	return KIND_ORDER;
}

static void write_history(struct load *load, const struct caller *caller,
			  enum operation_kind kind,
			  const struct caller_outcome *outcome,
			  int64_t latency_us)
{
	uint32_t i;

	if (!load->history || kind == KIND_LOOKUP)
		return;
	pthread_mutex_lock(&load->history_lock);
	fprintf(load->history,
		"{\"kind\":\"%s\",\"caller\":\"%s\",\"key\":\"%s\",\"region\":"
		"\"%s\",\"ok\":%s,\"wrong\":%s,\"latency_us\":%" PRId64
		",\"at_ms\":%" PRId64 ",\"attempts\":[",
		kind_names[kind], caller->tag, outcome->key,
		caller->entry_region, outcome->succeeded ? "true" : "false",
		outcome->response_mismatched ? "true" : "false", latency_us,
		(clock_now_ns(&clock_system) - load->start_ns) / NS_PER_MS);
	for (i = 0; i < outcome->attempt_count; i++)
		fprintf(load->history,
			"%s{\"entry\":\"%s\",\"status\":%u,\"verdict\":\"%s\","
			"\"request_id\":\"%s\"}",
			i ? "," : "", outcome->attempts[i].address,
			outcome->attempts[i].status,
			verdict_text(outcome->attempts[i].verdict),
			outcome->attempts[i].request_id);
	fprintf(load->history, "]}\n");
	pthread_mutex_unlock(&load->history_lock);
}

static void count_outcome(struct load_thread *thread, enum operation_kind kind,
			  const struct caller_outcome *outcome)
{
	uint32_t i;

	thread->attempts += outcome->attempt_count;
	for (i = 0; i < outcome->attempt_count; i++) {
		thread->told_not_run +=
			outcome->attempts[i].verdict == VERDICT_NOT_RUN;
		thread->told_may_have_run +=
			outcome->attempts[i].verdict == VERDICT_MAY_HAVE_RUN;
	}
	thread->mismatched_count += outcome->response_mismatched;
	if (!outcome->succeeded)
		thread->failed[kind]++;
}

static void run_operation(struct load_thread *thread, uint32_t index,
			  GRand *random)
{
	struct load *load = thread->load;
	int64_t due_ns = load->start_ns + (int64_t)index * NS_PER_MS *
						  MS_PER_S / load->rate_per_s;
	enum operation_kind kind =
		choose_kind(load, (uint32_t)g_rand_int_range(random, 0, 1000));
	struct caller *caller =
		&thread->callers[g_rand_int_range(random, 0,
						  (gint32)thread->caller_count)];
	bool inject_fault = (uint32_t)g_rand_int_range(random, 0, 1000) <
			    load->fault_permille;
	struct caller_outcome outcome;
	int64_t latency_us;

	bench_sleep_until(due_ns);
	memset(&outcome, 0, sizeof(outcome));
	if (kind == KIND_LOOKUP)
		outcome.succeeded = caller_fetch_entries(caller);
	else if (kind == KIND_GET)
		caller_run_get(caller, &outcome);
	else
		caller_place_order(caller, inject_fault ? load->fault : NULL,
				   &outcome);
	latency_us = (clock_now_ns(&clock_system) - due_ns) / 1000;
	if (outcome.succeeded)
		samples_add(&thread->samples[kind], latency_us);
	count_outcome(thread, kind, &outcome);
	write_history(load, caller, kind, &outcome, latency_us);
}

static void *load_thread_main(void *context)
{
	struct load_thread *thread = context;
	struct load *load = thread->load;
	GRand *random;
	uint32_t index;

	random = g_rand_new_with_seed(
		(guint32)(uintptr_t)(thread->callers[0].key_counter + 1));
	while ((index = load->next_operation++) < load->operation_count)
		run_operation(thread, index, random);
	g_rand_free(random);
	return NULL;
}

static void init_callers(struct load_thread *thread, uint32_t thread_index)
{
	struct load *load = thread->load;
	uint32_t i, caller_number;

	thread->caller_count = load->caller_count;
	thread->callers = g_new0(struct caller, thread->caller_count);
	for (i = 0; i < thread->caller_count; i++) {
		struct caller *caller = &thread->callers[i];

		caller_number = thread_index * load->caller_count + i;
		caller->options = &load->options;
		caller->pools = load->pools;
		caller->next_lookup = caller_number;
		caller->key_counter = (uint64_t)caller_number * 1000000;
		snprintf(caller->tag, sizeof(caller->tag), "caller%u",
			 caller_number);
		snprintf(caller->client_address, sizeof(caller->client_address),
			 "10.%u.%u.1", caller_number / 256 % 256,
			 caller_number % 256);
		g_strlcpy(caller->from_region,
			  load->regions[caller_number % load->region_count],
			  sizeof(caller->from_region));
	}
}

static void print_results(struct load *load, struct load_thread *threads,
			  uint32_t thread_count)
{
	uint64_t attempts = 0, mismatched_count = 0, not_run = 0,
		 may_have_run = 0;
	struct samples merged;
	uint64_t failed;
	uint32_t i;
	int kind;

	for (kind = 0; kind < KIND_COUNT; kind++) {
		samples_init(&merged, load->operation_count);
		failed = 0;
		for (i = 0; i < thread_count; i++) {
			samples_merge(&merged, &threads[i].samples[kind]);
			failed += threads[i].failed[kind];
		}
		if (merged.count || failed) {
			samples_print(&merged, kind_names[kind]);
			printf("%-10s failed=%" PRIu64 "\n", kind_names[kind],
			       failed);
		}
		samples_free(&merged);
	}
	for (i = 0; i < thread_count; i++) {
		attempts += threads[i].attempts;
		mismatched_count += threads[i].mismatched_count;
		not_run += threads[i].told_not_run;
		may_have_run += threads[i].told_may_have_run;
	}
	printf("%-10s attempts=%" PRIu64 " told_not_run=%" PRIu64
	       " told_may_have_run=%" PRIu64 " wrong_answers=%" PRIu64 "\n",
	       "callers", attempts, not_run, may_have_run, mismatched_count);
}

static void run_load(struct load *load, uint32_t thread_count)
{
	struct load_thread *threads = g_new0(struct load_thread, thread_count);
	uint32_t i;
	int kind;

	load->pools = caller_pools_new();
	load->start_ns = clock_now_ns(&clock_system) + 50 * NS_PER_MS;
	for (i = 0; i < thread_count; i++) {
		threads[i].load = load;
		init_callers(&threads[i], i);
		for (kind = 0; kind < KIND_COUNT; kind++)
			samples_init(&threads[i].samples[kind],
				     load->operation_count);
		pthread_create(&threads[i].thread, NULL, load_thread_main,
			       &threads[i]);
	}
	for (i = 0; i < thread_count; i++)
		pthread_join(threads[i].thread, NULL);
	print_results(load, threads, thread_count);
	for (i = 0; i < thread_count; i++) {
		for (kind = 0; kind < KIND_COUNT; kind++)
			samples_free(&threads[i].samples[kind]);
		g_free(threads[i].callers);
	}
	g_free(threads);
	caller_pools_free(load->pools);
}

int bench_load(int argc, char **argv)
{
	struct arg_str *entries = arg_str1("e", "entries", "IP:PORT,...",
					   "entry VMs to query for look-ups");
	struct arg_str *service = arg_str1("s", "service", "NAME", "the service");
	struct arg_str *prefix =
		arg_str1("p", "path", "PATH", "the service's path_prefix");
	struct arg_str *regions =
		arg_str1("f", "from", "REGION,...", "the callers' regions");
	struct arg_int *rate =
		arg_int0("r", "rate", "N", "operations per second (100)");
	struct arg_int *seconds =
		arg_int0("t", "seconds", "N", "how many seconds (10)");
	struct arg_int *lookups = arg_int0(NULL, "lookups", "N",
					   "look-ups per 1000 operations (0)");
	struct arg_int *orders = arg_int0(NULL, "orders", "N",
					  "orders per 1000 operations (200)");
	struct arg_str *fault = arg_str0(NULL, "fault", "NAME",
					 "fault that stand-in servers inject");
	struct arg_int *fault_permille =
		arg_int0(NULL, "fault-orders", "N",
			 "orders with the fault, per 1000 (0)");
	struct arg_int *threads =
		arg_int0(NULL, "threads", "N", "concurrent operations (32)");
	struct arg_int *timeout = arg_int0(NULL, "timeout", "MS",
					   "timeout of one attempt in ms (5000)");
	struct arg_int *attempts =
		arg_int0(NULL, "attempts", "N",
			 "attempts per operation, at most (6)");
	struct arg_file *history = arg_file0("o", "history", "FILE",
					     "file for the callers' operations");
	struct arg_end *end = arg_end(8);
	void *table[] = { entries, service, prefix,   regions, rate,
			  seconds, lookups, orders,   fault,   fault_permille,
			  threads, timeout, attempts, history, end };
	struct load load = { .rate_per_s = 100 };
	int code = 2;
	uint32_t thread_count = 32;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, BENCH_PROGRAM " load");
		arg_print_glossary(stderr, table, "  %-26s %s\n");
		goto out;
	}
	load.options.lookup_addresses = g_strsplit(entries->sval[0], ",", -1);
	load.options.lookup_address_count =
		g_strv_length(load.options.lookup_addresses);
	load.options.service = service->sval[0];
	load.options.path_prefix = prefix->sval[0];
	load.options.timeout_ms =
		timeout->count ? (uint32_t)timeout->ival[0] : 5000;
	load.options.attempts_max =
		attempts->count ? (uint32_t)attempts->ival[0] : 6;
	load.options.retry_delay_ms = 200;
	load.regions = g_strsplit(regions->sval[0], ",", -1);
	load.region_count = g_strv_length(load.regions);
	load.caller_count = 4;
	if (rate->count && rate->ival[0] > 0)
		load.rate_per_s = (uint32_t)rate->ival[0];
	load.operation_count = load.rate_per_s *
			       (seconds->count ? (uint32_t)seconds->ival[0] : 10);
	load.kind_permille[KIND_LOOKUP] =
		lookups->count ? (uint32_t)lookups->ival[0] : 0;
	load.kind_permille[KIND_ORDER] =
		orders->count ? (uint32_t)orders->ival[0] : 200;
	load.kind_permille[KIND_GET] = 1000 - load.kind_permille[KIND_LOOKUP] -
				       load.kind_permille[KIND_ORDER];
	load.fault = fault->count ? fault->sval[0] : NULL;
	load.fault_permille = load.fault && fault_permille->count
				      ? (uint32_t)fault_permille->ival[0]
				      : 0;
	if (threads->count && threads->ival[0] > 0)
		thread_count = (uint32_t)threads->ival[0];
	pthread_mutex_init(&load.history_lock, NULL);
	if (history->count)
		load.history = fopen(history->filename[0], "w");
	run_load(&load, thread_count);
	if (load.history)
		fclose(load.history);
	g_strfreev(load.options.lookup_addresses);
	g_strfreev(load.regions);
	code = 0;
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
