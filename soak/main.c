#include <argtable2.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ask.h"
#include "base/attributes.h"
#include "base/log.h"
#include "judge.h"
#include "net/timer.h"

/**
 * @file
 * auburnreach-soak: real entry VMs and a stand-in of the platform on loopback,
 * faults from outside by a plan, and callers all the while.
 */

/* Until VMs have found each other and servers are warm. */
#define START_MS 4000
/* After the last event: leases lapse after 3.5 s, and machines are held to
 * their bounds 4 s after the last fault. */
#define SETTLE_MS 8000
/* Every request of this time at the end must be served. */
#define LAST_MS 2000
/* When the memory of VMs is looked at first. */
#define EARLY_MS 5000
/* Until callers have heard the last answers. */
#define HEAR_MS 3000
#define ASK_TIMEOUT_MS 5000
/* A configuration is in force and a leaving server left after this time. */
#define BOUND_MS 2500
/* The entry of a server that crashed is gone after this time. */
#define UNLIST_MS 4500

struct soak {
	struct event_base *base;
	struct fleet fleet;
	struct callers *callers;
	struct soak_plan plan;
	uint32_t caller_count;
	uint32_t rss_early_kb;
	json_t *runs;
	json_t *late;
};

/* One event of the plan, at its begin or at its end. */
struct step {
	struct soak *soak;
	struct soak_event *event;
	bool is_end;
};

static void after(struct soak *soak, int64_t ms, event_callback_fn run,
		  void *context)
{
	const struct timeval wait = timer_span(ms);

	event_base_once(soak->base, -1, EV_TIMEOUT, run, context, &wait);
}

static struct fleet_vm *vm_of(struct soak *soak, const struct soak_event *event)
{
	return &soak->fleet.vms[event->target % soak->fleet.vm_count];
}

/* A server that was not taken away yet; there is always one. */
static struct fleet_server *server_of(struct soak *soak,
				      const struct soak_event *event)
{
	struct fleet *fleet = &soak->fleet;
	uint32_t i = event->target % fleet->server_count;

	while (fleet->servers[i].gone)
		i = (i + 1) % fleet->server_count;
	return &fleet->servers[i];
}

/* Whether another event does the same to the same thing now. */
static bool still_done(const struct soak *soak, const struct soak_event *event)
{
	const GArray *list = soak->plan.events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *other =
			&g_array_index(list, struct soak_event, i);

		if (other->is_on && other->kind == event->kind &&
		    (other->kind == SOAK_STORE || other->target == event->target))
			return true;
	}
	return false;
}

/* The entry of a server that was taken away. */
struct unlisting {
	struct soak *soak;
	char id[16];
};

static void on_unlist(evutil_socket_t fd, short what, void *context)
{
	struct unlisting *unlisting = context;

	(void)fd;
	(void)what;
	fleet_steer(&unlisting->soak->fleet, "/unlist", "{\"id\":\"%s\"}",
		    unlisting->id);
	g_free(unlisting);
}

static void take_server(struct soak *soak, const struct soak_event *event)
{
	struct fleet_server *server = server_of(soak, event);
	struct unlisting *unlisting = g_new0(struct unlisting, 1);

	fleet_add_server(&soak->fleet, server->domain);
	server->gone = true;
	fleet_steer(&soak->fleet, event->kind == SOAK_DRAIN ? "/drain" : "/kill",
		    "{\"id\":\"%s\"}", server->id);
	unlisting->soak = soak;
	g_strlcpy(unlisting->id, server->id, sizeof(unlisting->id));
	after(soak, UNLIST_MS, on_unlist, unlisting);
}

static void kill_all(struct soak *soak, const struct soak_event *event)
{
	uint32_t i;

	for (i = 0; i < soak->fleet.vm_count; i++) {
		fleet_signal_vm(&soak->fleet, &soak->fleet.vms[i], SIGKILL);
		fleet_start_vm_later(&soak->fleet, &soak->fleet.vms[i],
				     event->for_ms);
	}
}

static void stop_vm(struct soak *soak, const struct soak_event *event, int signal)
{
	struct fleet_vm *vm = vm_of(soak, event);

	fleet_signal_vm(&soak->fleet, vm, signal);
	/* a process that is paused hears SIGTERM when it goes on */
	if (vm->paused)
		fleet_signal_vm(&soak->fleet, vm, SIGCONT);
	fleet_start_vm_later(&soak->fleet, vm, event->for_ms);
}

static void begin(struct soak *soak, const struct soak_event *event)
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
		fleet_signal_vm(fleet, vm_of(soak, event), SIGSTOP);
		break;
	case SOAK_HUP:
		fleet_signal_vm(fleet, vm_of(soak, event), SIGHUP);
		break;
	case SOAK_KILL_ALL:
		kill_all(soak, event);
		break;
	case SOAK_STORE:
		fleet_steer(fleet, "/fault", "{\"fault\":\"%s\"}", event->how);
		break;
	case SOAK_COMPACT:
		fleet_steer(fleet, "/compact", "{}");
		break;
	case SOAK_STORE_LINK:
		proxy_link_set(vm_of(soak, event)->store_link, event->how);
		break;
	case SOAK_SERVER_LINK:
		proxy_link_set(server_of(soak, event)->link, event->how);
		break;
	case SOAK_SERVER:
		fleet_steer(fleet, "/fault", "{\"id\":\"%s\",\"fault\":\"%s\"}",
			    server_of(soak, event)->id, event->how);
		break;
	case SOAK_CRASH:
	case SOAK_DRAIN:
		take_server(soak, event);
		break;
	case SOAK_EVACUATE:
		fleet_steer(fleet, "/evacuate", "{\"domain\":\"%s\",\"on\":true}",
			    fleet_domains[event->target % FLEET_DOMAINS]);
		break;
	case SOAK_CONFIG:
	default:
		fleet_publish(fleet);
		callers_published(soak->callers, fleet->version);
		break;
	}
}

static void end(struct soak *soak, const struct soak_event *event)
{
	struct fleet *fleet = &soak->fleet;
	uint32_t i;

	if (still_done(soak, event))
		return;
	switch (event->kind) {
	case SOAK_PAUSE:
		if (vm_of(soak, event)->paused)
			fleet_signal_vm(fleet, vm_of(soak, event), SIGCONT);
		break;
	case SOAK_STORE:
		fleet_steer(fleet, "/fault", "{\"fault\":\"sound\"}");
		break;
	case SOAK_STORE_LINK:
		proxy_link_set(vm_of(soak, event)->store_link, "pass");
		break;
	case SOAK_SERVER_LINK:
		for (i = 0; i < fleet->server_count; i++)
			proxy_link_set(fleet->servers[i].link, "pass");
		break;
	case SOAK_SERVER:
		for (i = 0; i < fleet->server_count; i++)
			if (!fleet->servers[i].gone)
				fleet_steer(fleet, "/fault",
					    "{\"id\":\"s%u\",\"fault\":"
					    "\"none\"}",
					    i);
		break;
	case SOAK_EVACUATE:
		fleet_steer(fleet, "/evacuate",
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
		callers_now_ms(step->soak->callers),
		step->is_end ? "end of" : "begin",
		soak_kind_name(step->event->kind), step->event->target,
		step->event->how);
	step->event->is_on = !step->is_end;
	if (step->is_end)
		end(step->soak, step->event);
	else
		begin(step->soak, step->event);
	g_free(step);
}

static void add_step(struct soak *soak, struct soak_event *event, bool is_end)
{
	struct step *step = g_new0(struct step, 1);

	step->soak = soak;
	step->event = event;
	step->is_end = is_end;
	after(soak, event->at_ms + (is_end ? event->for_ms : 0), on_step, step);
}

static void on_late(void *context, uint16_t status, const char *body, size_t bytes)
{
	struct soak *soak = context;

	soak->late = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	event_base_loopbreak(soak->base);
}

static void on_runs(void *context, uint16_t status, const char *body, size_t bytes)
{
	struct soak *soak = context;
	char target[32];

	soak->runs = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	g_snprintf(target, sizeof(target), "/late?%d", BOUND_MS);
	ask(soak->base, soak->fleet.control, target, NULL, ASK_TIMEOUT_MS,
	    on_late, soak);
}

static void on_heard(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	ask(soak->base, soak->fleet.control, "/runs", NULL, ASK_TIMEOUT_MS,
	    on_runs, soak);
}

static void on_end(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	callers_stop(soak->callers);
	after(soak, HEAR_MS, on_heard, soak);
}

/* @return the memory of a process, in KB; 0: not known. */
static uint32_t rss_kb(pid_t pid)
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

static uint32_t largest_rss_kb(const struct soak *soak)
{
	uint32_t largest = 0;
	uint32_t i;

	for (i = 0; i < soak->fleet.vm_count; i++)
		if (soak->fleet.vms[i].pid)
			largest = MAX(largest, rss_kb(soak->fleet.vms[i].pid));
	return largest;
}

static void on_early(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;

	(void)fd;
	(void)what;
	soak->rss_early_kb = largest_rss_kb(soak);
}

static void on_started(evutil_socket_t fd, short what, void *context)
{
	struct soak *soak = context;
	const GArray *list = soak->plan.events;
	guint i;

	(void)fd;
	(void)what;
	soak->callers = callers_new(&soak->fleet, soak->caller_count, BOUND_MS);
	callers_published(soak->callers, soak->fleet.version);
	for (i = 0; i < list->len; i++) {
		struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		add_step(soak, event, false);
		add_step(soak, event, true);
	}
	after(soak, EARLY_MS, on_early, soak);
	after(soak, soak->plan.length_ms + SETTLE_MS + LAST_MS, on_end, soak);
}

static uint32_t judge_all(struct soak *soak)
{
	struct evidence evidence = {
		.plan = &soak->plan,
		.seen = callers_seen(soak->callers),
		.runs = soak->runs,
		.late = soak->late,
		.served_from_ms = soak->plan.length_ms + SETTLE_MS,
		.own_ends = soak->fleet.own_ends,
		.rss_early_kb = soak->rss_early_kb,
		.rss_max_kb = largest_rss_kb(soak),
	};

	if (!soak->runs || !soak->late) {
		printf("BROKEN: the stand-in of the platform does not answer\n");
		return 1;
	}
	return judge(&evidence);
}

static int run(struct soak *soak, uint32_t vm_count)
{
	uint32_t count = 1;

	signal(SIGPIPE, SIG_IGN);
	soak->base = event_base_new();
	soak->fleet.base = soak->base;
	g_mkdir_with_parents(soak->fleet.out, 0755);
	if (fleet_start(&soak->fleet, vm_count)) {
		after(soak, START_MS, on_started, soak);
		event_base_dispatch(soak->base);
		count = judge_all(soak);
	}
	fleet_stop(&soak->fleet);
	return count ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0("s", "seed", "N", "draws the plan");
	struct arg_file *file = arg_file0("p", "plan", "FILE", "a plan to play");
	struct arg_int *length =
		arg_int0("l", "length", "MS", "length of a drawn plan (15000)");
	struct arg_int *vms = arg_int0(NULL, "vms", "N", "entry VMs (6)");
	struct arg_int *callers = arg_int0(NULL, "callers", "N", "callers (12)");
	struct arg_str *build =
		arg_str0(NULL, "build", "DIR", "folder of the programs (build)");
	struct arg_str *out =
		arg_str0(NULL, "out", "DIR", "folder for logs (build/soak)");
	struct arg_lit *print =
		arg_lit0(NULL, "print", "print the plan and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
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
		soak.plan =
			soak_plan_draw((uint32_t)(seed->count ? seed->ival[0] : 1),
				       length->count ? length->ival[0] : 15000);
	soak.caller_count = (uint32_t)(callers->count ? callers->ival[0] : 12);
	soak.fleet.build = build->count ? build->sval[0] : "build";
	soak.fleet.out = out->count ? out->sval[0] : "build/soak";
	if (print->count)
		soak_plan_print(&soak.plan, stdout);
	if (valid && print->count)
		code = EXIT_SUCCESS;
	else if (valid)
		code = run(&soak, vms->count ? (uint32_t)MIN(vms->ival[0],
							     FLEET_VMS_MAX)
					     : 6);
	soak_plan_clear(&soak.plan);
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
