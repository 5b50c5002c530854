#include <argtable2.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/log.h"
#include "events.h"
#include "http_call.h"
#include "judge.h"
#include "net/timer.h"

/**
 * @file
 * auburnreach-soak: runs entry VMs and the platform stand-in on loopback,
 * injects faults from outside as a plan says, and sends requests throughout.
 */

/* Until VMs have discovered each other and servers have warmed up. */
#define STARTUP_MS 4000
/* From the last event to the final phase: leases expire after 3.5 s, and VMs
 * must meet their time bounds again 4 s after the last fault. */
#define SETTLE_MS 8000
/* Every request in this final phase must succeed. */
#define FINAL_PHASE_MS 2000
#define RSS_FIRST_SAMPLE_MS 5000
/* For the responses to the last requests. */
#define RESPONSE_GRACE_MS 3000
/* Longer than any request may take. */
#define RESPONSE_GRACE_MAX_MS 12000
#define RESPONSE_CHECK_MS 100
#define CONTROL_TIMEOUT_MS 5000
/* A configuration is in force, and a draining server gets no new work, after
 * this time. */
#define PROPAGATION_MAX_MS 2500
struct soak {
	struct event_base *base;
	struct fleet fleet;
	struct callers *callers;
	struct soak_plan plan;
	struct events events;
	uint32_t caller_count;
	int64_t give_up_ms; /* on requests in progress, on the callers' clock */
	uint32_t rss_early_kb;
	json_t *runs;
	json_t *late_runs;
	json_t *limits;
	int64_t started_ms;
};

static void run_after(struct soak *soak, int64_t ms, event_callback_fn run,
		      void *context)
{
	const struct timeval wait = timer_timeval(ms);

	event_base_once(soak->base, -1, EV_TIMEOUT, run, context, &wait);
}

static void on_limits(void *context, uint16_t status, const char *body,
		      size_t bytes)
{
	struct soak *soak = context;

	soak->limits = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	event_base_loopbreak(soak->base);
}

static void on_late_runs(void *context, uint16_t status, const char *body,
			 size_t bytes)
{
	struct soak *soak = context;

	soak->late_runs = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	http_call_start(soak->base, soak->fleet.control_address, "/limits",
			NULL, CONTROL_TIMEOUT_MS, on_limits, soak);
}

static void on_runs(void *context, uint16_t status, const char *body, size_t bytes)
{
	struct soak *soak = context;
	char target[32];

	soak->runs = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	g_snprintf(target, sizeof(target), "/late?%d", PROPAGATION_MAX_MS);
	http_call_start(soak->base, soak->fleet.control_address, target, NULL,
			CONTROL_TIMEOUT_MS, on_late_runs, soak);
}

static void on_callers_done(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	if (callers_are_waiting(soak->callers) &&
	    callers_elapsed_ms(soak->callers) < soak->give_up_ms) {
		run_after(soak, RESPONSE_CHECK_MS, on_callers_done, soak);
		return;
	}
	callers_give_up(soak->callers);
	http_call_start(soak->base, soak->fleet.control_address, "/runs", NULL,
			CONTROL_TIMEOUT_MS, on_runs, soak);
}

static void on_plan_end(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	callers_stop(soak->callers);
	soak->give_up_ms =
		callers_elapsed_ms(soak->callers) + RESPONSE_GRACE_MAX_MS;
	run_after(soak, RESPONSE_GRACE_MS, on_callers_done, soak);
}

/* @return the most resident memory that a process has had; 0: unknown. */
static uint32_t process_rss_kb(pid_t pid)
{
	char *name = g_strdup_printf("/proc/%d/status", pid);
	uint32_t kb = 0;
	char *text;
	char *line;

	if (g_file_get_contents(name, &text, NULL, NULL)) {
		line = strstr(text, "VmHWM:");
		kb = line ? (uint32_t)atoi(line + strlen("VmHWM:")) : 0;
		g_free(text);
	}
	g_free(name);
	return kb;
}

static uint32_t largest_process_rss_kb(const struct soak *soak)
{
	uint32_t largest = 0;
	uint32_t i;

	for (i = 0; i < soak->fleet.vm_count; i++)
		if (soak->fleet.vms[i].pid)
			largest = MAX(largest,
				      process_rss_kb(soak->fleet.vms[i].pid));
	return largest;
}

static void on_first_rss_sample(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	soak->rss_early_kb = largest_process_rss_kb(soak);
}

static void on_started(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	soak->callers = callers_new(&soak->fleet, soak->caller_count,
				    soak->plan.slow_callers, PROPAGATION_MAX_MS);
	callers_mark_published(soak->callers, soak->fleet.version);
	soak->events =
		(struct events){ &soak->fleet, soak->callers, &soak->plan };
	soak->started_ms = clock_now_ms(&clock_system);
	events_schedule(&soak->events);
	run_after(soak, RSS_FIRST_SAMPLE_MS, on_first_rss_sample, soak);
	run_after(soak, soak->plan.length_ms + SETTLE_MS + FINAL_PHASE_MS,
		  on_plan_end, soak);
}

static uint32_t judge_soak(struct soak *soak)
{
	struct evidence evidence = {
		.plan = &soak->plan,
		.records = callers_records(soak->callers),
		.runs = soak->runs,
		.late_runs = soak->late_runs,
		.limits = soak->limits,
		.started_ms = soak->started_ms,
		.vm_count = soak->fleet.vm_count,
		.served_from_ms = soak->plan.length_ms + SETTLE_MS,
		.unexpected_exits = soak->fleet.unexpected_exits,
		.rss_early_kb = soak->rss_early_kb,
		.rss_max_kb = largest_process_rss_kb(soak),
	};

	if (!soak->runs || !soak->late_runs || !soak->limits) {
		printf("BROKEN: no response from the platform stand-in\n");
		return 1;
	}
	return judge_evidence(&evidence);
}

static int run_soak(struct soak *soak, uint32_t vm_count)
{
	uint32_t count = 1;

	signal(SIGPIPE, SIG_IGN);
	soak->base = event_base_new();
	soak->fleet.base = soak->base;
	g_mkdir_with_parents(soak->fleet.out_dir, 0755);
	if (fleet_start(&soak->fleet, vm_count)) {
		run_after(soak, STARTUP_MS, on_started, soak);
		event_base_dispatch(soak->base);
		count = judge_soak(soak);
	}
	fleet_stop(&soak->fleet);
	return count ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0("s", "seed", "N", "seed of a random plan (1)");
	struct arg_file *file = arg_file0("p", "plan", "FILE", "plan to run");
	struct arg_int *length =
		arg_int0("l", "length", "MS", "length of a random plan (15000)");
	struct arg_int *vms = arg_int0(NULL, "vms", "N", "entry VMs (6)");
	struct arg_int *callers = arg_int0(NULL, "callers", "N", "callers (36)");
	struct arg_str *build = arg_str0(NULL, "build", "DIR",
					 "directory of the programs (build)");
	struct arg_str *old = arg_str0(
		NULL, "old", "DIR",
		"programs of an earlier build, from which VMs are upgraded");
	struct arg_str *out =
		arg_str0(NULL, "out", "DIR", "directory for logs (build/soak)");
	struct arg_lit *print =
		arg_lit0(NULL, "print", "print the plan and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_end *end_of = arg_end(5);
	void *table[] = { seed, file, length, vms,  callers, build,
			  old,	out,  print,  help, end_of };
	static struct soak soak;
	int problems = arg_parse(argc, argv, table);
	int code = EXIT_FAILURE;
	bool valid = true;
	uint32_t vm_count;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = EXIT_SUCCESS;
		goto out;
	}
	if (problems) {
		arg_print_errors(stderr, end_of, "auburnreach-soak");
		goto out;
	}
	if (file->count)
		valid = soak_plan_read(file->filename[0], &soak.plan);
	else
		soak.plan = soak_plan_generate(
			(uint32_t)(seed->count ? seed->ival[0] : 1),
			length->count ? length->ival[0] : 15000);
	soak.caller_count = (uint32_t)(callers->count ? callers->ival[0] : 36);
	soak.fleet.server_shape = soak.plan.servers;
	soak.fleet.large_bodies = soak.plan.large_bodies;
	soak.fleet.build_dir = build->count ? build->sval[0] : "build";
	if (old->count)
		soak.fleet.old_dir = old->sval[0];
	vm_count = vms->count ? (uint32_t)MIN(vms->ival[0], FLEET_VMS_MAX) : 6;
	if (old->count && !file->count)
		soak_plan_add_upgrade(&soak.plan,
				      (uint32_t)(seed->count ? seed->ival[0] : 1),
				      vm_count);
	soak.fleet.out_dir = out->count ? out->sval[0] : "build/soak";
	if (print->count)
		soak_plan_print(&soak.plan, stdout);
	if (valid && print->count)
		code = EXIT_SUCCESS;
	else if (valid)
		code = run_soak(&soak, vm_count);
	soak_plan_clear(&soak.plan);
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
