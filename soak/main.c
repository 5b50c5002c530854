#include <argtable2.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/log.h"
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
#define CONTROL_TIMEOUT_MS 5000
/* A configuration is in force, and a draining server gets no new work, after
 * this time. */
#define PROPAGATION_MAX_MS 2500
/* The store entry of a removed server is deleted after this time. */
#define UNLIST_DELAY_MS 4500

struct soak {
	struct event_base *base;
	struct fleet fleet;
	struct callers *callers;
	struct soak_plan plan;
	uint32_t caller_count;
	uint32_t rss_early_kb;
	json_t *runs;
	json_t *late_runs;
};

/* The start or the end of an event of the plan. */
struct step {
	struct soak *soak;
	struct soak_event *event;
	bool is_end;
};

static void run_after(struct soak *soak, int64_t ms, event_callback_fn run,
		      void *context)
{
	const struct timeval wait = timer_timeval(ms);

	event_base_once(soak->base, -1, EV_TIMEOUT, run, context, &wait);
}

static struct fleet_vm *event_vm(struct soak *soak, const struct soak_event *event)
{
	return &soak->fleet.vms[event->target % soak->fleet.vm_count];
}

/* Each removed server is replaced, so one is always left. */
static struct fleet_server *event_server(struct soak *soak,
					 const struct soak_event *event)
{
	struct fleet *fleet = &soak->fleet;
	uint32_t i = event->target % fleet->server_count;

	while (fleet->servers[i].removed)
		i = (i + 1) % fleet->server_count;
	return &fleet->servers[i];
}

/* Whether another active event has the same kind and target. */
static bool is_still_active(const struct soak *soak,
			    const struct soak_event *event)
{
	const GArray *list = soak->plan.events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *other =
			&g_array_index(list, struct soak_event, i);

		if (other->is_active && other->kind == event->kind &&
		    (other->kind == SOAK_STORE || other->target == event->target))
			return true;
	}
	return false;
}

/* Deletes the store entry of a removed server. */
struct unlist_task {
	struct soak *soak;
	char id[16];
};

static void on_unlist(evutil_socket_t fd, short what, void *context)
{
	struct unlist_task *task = context;

	(void)fd;
	(void)what;
	fleet_post_control(&task->soak->fleet, "/unlist", "{\"id\":\"%s\"}",
			   task->id);
	g_free(task);
}

static void remove_server(struct soak *soak, const struct soak_event *event)
{
	struct fleet_server *server = event_server(soak, event);
	struct unlist_task *task = g_new0(struct unlist_task, 1);

	fleet_add_server(&soak->fleet, server->domain);
	server->removed = true;
	fleet_post_control(&soak->fleet,
			   event->kind == SOAK_DRAIN ? "/drain" : "/kill",
			   "{\"id\":\"%s\"}", server->id);
	task->soak = soak;
	g_strlcpy(task->id, server->id, sizeof(task->id));
	run_after(soak, UNLIST_DELAY_MS, on_unlist, task);
}

static void kill_all_vms(struct soak *soak, const struct soak_event *event)
{
	uint32_t i;

	for (i = 0; i < soak->fleet.vm_count; i++) {
		fleet_signal_vm(&soak->fleet, &soak->fleet.vms[i], SIGKILL);
		fleet_schedule_vm_start(&soak->fleet, &soak->fleet.vms[i],
					event->for_ms);
	}
}

static void stop_vm(struct soak *soak, const struct soak_event *event, int signal)
{
	struct fleet_vm *vm = event_vm(soak, event);

	fleet_signal_vm(&soak->fleet, vm, signal);
	/* a suspended process handles SIGTERM only when resumed */
	if (vm->paused)
		fleet_signal_vm(&soak->fleet, vm, SIGCONT);
	fleet_schedule_vm_start(&soak->fleet, vm, event->for_ms);
}

static void begin_event(struct soak *soak, const struct soak_event *event)
{
	struct fleet *fleet = &soak->fleet;

	switch (event->kind) {
	case SOAK_KILL:
		stop_vm(soak, event, SIGKILL);
		break;
	case SOAK_TERM:
		stop_vm(soak, event, SIGTERM);
		break;
	case SOAK_PAUSE:
		fleet_signal_vm(fleet, event_vm(soak, event), SIGSTOP);
		break;
	case SOAK_HUP:
		fleet_signal_vm(fleet, event_vm(soak, event), SIGHUP);
		break;
	case SOAK_KILL_ALL:
		kill_all_vms(soak, event);
		break;
	case SOAK_STORE:
		fleet_post_control(fleet, "/fault", "{\"fault\":\"%s\"}",
				   event->how);
		break;
	case SOAK_COMPACT:
		fleet_post_control(fleet, "/compact", "{}");
		break;
	case SOAK_STORE_BACK:
		fleet_post_control(fleet, "/copy", "{}");
		break;
	case SOAK_STORE_LINK:
		fault_proxy_set_mode(event_vm(soak, event)->store_proxy,
				     event->how);
		break;
	case SOAK_SERVER_LINK:
		fault_proxy_set_mode(event_server(soak, event)->proxy,
				     event->how);
		break;
	case SOAK_SERVER:
		fleet_post_control(fleet, "/fault",
				   "{\"id\":\"%s\",\"fault\":\"%s\"}",
				   event_server(soak, event)->id, event->how);
		break;
	case SOAK_CRASH:
	case SOAK_DRAIN:
		remove_server(soak, event);
		break;
	case SOAK_EVACUATE:
		fleet_post_control(fleet, "/evacuate",
				   "{\"domain\":\"%s\",\"on\":true}",
				   fleet_domains[event->target % FLEET_DOMAINS]);
		break;
	case SOAK_CONFIG:
	default:
		fleet_publish(fleet);
		callers_mark_published(soak->callers, fleet->version);
		break;
	}
}

static void end_event(struct soak *soak, const struct soak_event *event)
{
	struct fleet *fleet = &soak->fleet;
	uint32_t i;

	if (is_still_active(soak, event))
		return;
	switch (event->kind) {
	case SOAK_PAUSE:
		if (event_vm(soak, event)->paused)
			fleet_signal_vm(fleet, event_vm(soak, event), SIGCONT);
		break;
	case SOAK_STORE:
		fleet_post_control(fleet, "/fault", "{\"fault\":\"sound\"}");
		break;
	case SOAK_STORE_BACK:
		fleet_post_control(fleet, "/go-back", "{\"rewrite\":true}");
		break;
	case SOAK_STORE_LINK:
		fault_proxy_set_mode(event_vm(soak, event)->store_proxy, "pass");
		break;
	case SOAK_SERVER_LINK:
		for (i = 0; i < fleet->server_count; i++)
			fault_proxy_set_mode(fleet->servers[i].proxy, "pass");
		break;
	case SOAK_SERVER:
		for (i = 0; i < fleet->server_count; i++)
			if (!fleet->servers[i].removed)
				fleet_post_control(fleet, "/fault",
						   "{\"id\":\"s%u\",\"fault\":"
						   "\"none\"}",
						   i);
		break;
	case SOAK_EVACUATE:
		fleet_post_control(fleet, "/evacuate",
				   "{\"domain\":\"%s\",\"on\":false}",
				   fleet_domains[event->target % FLEET_DOMAINS]);
		break;
	default:
		break;
	}
}

static void on_step(evutil_socket_t fd, short what, void *context)
{
	struct step *step = context;

	(void)fd;
	(void)what;
	fprintf(stderr, "soak: %6" PRId64 " %s %s target=%u how=%s\n",
		callers_elapsed_ms(step->soak->callers),
		step->is_end ? "end of" : "begin",
		soak_kind_name(step->event->kind), step->event->target,
		step->event->how);
	step->event->is_active = !step->is_end;
	if (step->is_end)
		end_event(step->soak, step->event);
	else
		begin_event(step->soak, step->event);
	g_free(step);
}

static void add_step(struct soak *soak, struct soak_event *event, bool is_end)
{
	struct step *step = g_new0(struct step, 1);

	step->soak = soak;
	step->event = event;
	step->is_end = is_end;
	run_after(soak, event->at_ms + (is_end ? event->for_ms : 0), on_step,
		  step);
}

static void on_late_runs(void *context, uint16_t status, const char *body,
			 size_t bytes)
{
	struct soak *soak = context;

	soak->late_runs = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	event_base_loopbreak(soak->base);
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
	http_call_start(soak->base, soak->fleet.control_address, "/runs", NULL,
			CONTROL_TIMEOUT_MS, on_runs, soak);
}

static void on_plan_end(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	callers_stop(soak->callers);
	run_after(soak, RESPONSE_GRACE_MS, on_callers_done, soak);
}

/* @return the resident memory of a process, or 0 if unknown. */
static uint32_t process_rss_kb(pid_t pid)
{
	char *name = g_strdup_printf("/proc/%d/status", pid);
	uint32_t kb = 0;
	char *text;
	char *line;

	if (g_file_get_contents(name, &text, NULL, NULL)) {
		line = strstr(text, "VmRSS:");
		kb = line ? (uint32_t)atoi(line + strlen("VmRSS:")) : 0;
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
	const GArray *list = soak->plan.events;
	guint i;

	(void)fd;
	(void)what;
	soak->callers = callers_new(&soak->fleet, soak->caller_count,
				    PROPAGATION_MAX_MS);
	callers_mark_published(soak->callers, soak->fleet.version);
	for (i = 0; i < list->len; i++) {
		struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		add_step(soak, event, false);
		add_step(soak, event, true);
	}
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
		.served_from_ms = soak->plan.length_ms + SETTLE_MS,
		.unexpected_exits = soak->fleet.unexpected_exits,
		.rss_early_kb = soak->rss_early_kb,
		.rss_max_kb = largest_process_rss_kb(soak),
	};

	if (!soak->runs || !soak->late_runs) {
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
	struct arg_int *callers = arg_int0(NULL, "callers", "N", "callers (12)");
	struct arg_str *build = arg_str0(NULL, "build", "DIR",
					 "directory of the programs (build)");
	struct arg_str *out =
		arg_str0(NULL, "out", "DIR", "directory for logs (build/soak)");
	struct arg_lit *print =
		arg_lit0(NULL, "print", "print the plan and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_end *end_of = arg_end(5);
	void *table[] = { seed,	 file, length, vms,  callers,
			  build, out,  print,  help, end_of };
	static struct soak soak;
	int problems = arg_parse(argc, argv, table);
	int code = EXIT_FAILURE;
	bool valid = true;

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
	soak.caller_count = (uint32_t)(callers->count ? callers->ival[0] : 12);
	soak.fleet.build_dir = build->count ? build->sval[0] : "build";
	soak.fleet.out_dir = out->count ? out->sval[0] : "build/soak";
	if (print->count)
		soak_plan_print(&soak.plan, stdout);
	if (valid && print->count)
		code = EXIT_SUCCESS;
	else if (valid)
		code = run_soak(&soak, vms->count ? (uint32_t)MIN(vms->ival[0],
								  FLEET_VMS_MAX)
						  : 6);
	soak_plan_clear(&soak.plan);
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
