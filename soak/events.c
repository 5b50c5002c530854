#include "events.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "net/timer.h"

/* Routes that a large configuration adds, and their greatest number. */
#define LARGE_CONFIG_ROUTES 1400
#define LARGE_CONFIG_ROUTES_MAX 4200

/* The store entry of a removed server is deleted after this time. */
#define UNLIST_DELAY_MS 4500

/* The start or the end of an event of the plan. */
struct step {
	struct events *events;
	struct soak_event *event;
	bool is_end;
};

static void run_after(struct events *events, int64_t ms, event_callback_fn run,
		      void *context)
{
	const struct timeval wait = timer_timeval(ms);

	event_base_once(events->fleet->base, -1, EV_TIMEOUT, run, context, &wait);
}

static struct fleet_vm *event_vm(struct events *events,
				 const struct soak_event *event)
{
	return &events->fleet->vms[event->target % events->fleet->vm_count];
}

/* Each removed server is replaced, so one is always left. */
static struct fleet_server *event_server(struct events *events,
					 const struct soak_event *event)
{
	struct fleet *fleet = events->fleet;
	uint32_t i = event->target % fleet->server_count;

	while (fleet->servers[i].removed)
		i = (i + 1) % fleet->server_count;
	return &fleet->servers[i];
}

/* Whether another active event has the same kind and target. */
static bool is_still_active(const struct events *events,
			    const struct soak_event *event)
{
	const GArray *list = events->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *other =
			&g_array_index(list, struct soak_event, i);

		if (other->is_active && other->kind == event->kind &&
		    (other->kind == SOAK_STORE || other->kind == SOAK_SLOW ||
		     other->target == event->target))
			return true;
	}
	return false;
}

/* Deletes the store entry of a removed server. */
struct unlist_task {
	struct events *events;
	char id[16];
};

static void on_unlist(evutil_socket_t fd, short what, void *context)
{
	struct unlist_task *task = context;

	(void)fd;
	(void)what;
	fleet_post_control(task->events->fleet, "/unlist", "{\"id\":\"%s\"}",
			   task->id);
	g_free(task);
}

static void remove_server(struct events *events, const struct soak_event *event)
{
	struct fleet_server *server = event_server(events, event);
	struct unlist_task *task = g_new0(struct unlist_task, 1);

	fleet_add_server(events->fleet, server->domain);
	server->removed = true;
	fleet_post_control(events->fleet,
			   event->kind == SOAK_DRAIN ? "/drain" : "/kill",
			   "{\"id\":\"%s\"}", server->id);
	task->events = events;
	g_strlcpy(task->id, server->id, sizeof(task->id));
	run_after(events, UNLIST_DELAY_MS, on_unlist, task);
}

static void kill_all_vms(struct events *events, const struct soak_event *event)
{
	uint32_t i;

	for (i = 0; i < events->fleet->vm_count; i++) {
		fleet_signal_vm(events->fleet, &events->fleet->vms[i], SIGKILL);
		fleet_schedule_vm_start(events->fleet, &events->fleet->vms[i],
					event->for_ms);
	}
}

static void stop_vm(struct events *events, const struct soak_event *event,
		    int signal)
{
	struct fleet_vm *vm = event_vm(events, event);

	fleet_signal_vm(events->fleet, vm, signal);
	/* a suspended process handles SIGTERM only when resumed */
	if (vm->paused)
		fleet_signal_vm(events->fleet, vm, SIGCONT);
	fleet_schedule_vm_start(events->fleet, vm, event->for_ms);
}

/* Sets the fault of all backend servers that are left. */
static void set_server_faults(struct fleet *fleet, const char *fault)
{
	uint32_t i;

	for (i = 0; i < fleet->server_count; i++)
		if (!fleet->servers[i].removed)
			fleet_post_control(fleet, "/fault",
					   "{\"id\":\"s%u\",\"fault\":\"%s\"}",
					   i, fault);
}

/* Cuts off the VMs that an active event names, and no others. */
static void apply_cuts(const struct events *events)
{
	const GArray *list = events->plan->events;
	struct fleet *fleet = events->fleet;
	uint32_t vm;
	guint i;

	for (vm = 0; vm < fleet->vm_count; vm++) {
		fleet->vms[vm].cut = NULL;
		for (i = 0; i < list->len; i++) {
			const struct soak_event *event =
				&g_array_index(list, struct soak_event, i);

			if (event->is_active &&
			    soak_event_cuts_vm(event, vm, fleet->vm_count))
				fleet->vms[vm].cut = event->how;
		}
	}
	fleet_apply_cuts(fleet);
}

/* Makes each server name the limit of an active event, or none. */
static void apply_limits(const struct events *events)
{
	const GArray *list = events->plan->events;
	struct fleet *fleet = events->fleet;
	uint32_t server;
	guint i;

	for (server = 0; server < fleet->server_count; server++) {
		const char *limit = "";

		for (i = 0; i < list->len; i++) {
			const struct soak_event *event =
				&g_array_index(list, struct soak_event, i);

			if (event->is_active &&
			    soak_event_limits_server(event, server,
						     fleet->server_count))
				limit = event->how;
		}
		if (!fleet->servers[server].removed)
			fleet_post_control(fleet, "/limit",
					   "{\"id\":\"s%u\",\"limit\":\"%s\"}",
					   server, limit);
	}
}

static void begin_event(struct events *events, const struct soak_event *event)
{
	struct fleet *fleet = events->fleet;

	switch (event->kind) {
	case SOAK_KILL:
		stop_vm(events, event, SIGKILL);
		break;
	case SOAK_TERM:
		stop_vm(events, event, SIGTERM);
		break;
	case SOAK_UPGRADE:
		event_vm(events, event)->runs_old =
			fleet->old_dir && !strcmp(event->how, "old");
		stop_vm(events, event, SIGTERM);
		break;
	case SOAK_PAUSE:
		fleet_signal_vm(fleet, event_vm(events, event), SIGSTOP);
		break;
	case SOAK_HUP:
		fleet_signal_vm(fleet, event_vm(events, event), SIGHUP);
		break;
	case SOAK_KILL_ALL:
		kill_all_vms(events, event);
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
		fault_proxy_set_mode(event_vm(events, event)->store_proxy,
				     event->how);
		break;
	case SOAK_SERVER_LINK:
		fault_proxy_set_mode(event_server(events, event)->proxy,
				     event->how);
		break;
	case SOAK_SERVER:
		fleet_post_control(fleet, "/fault",
				   "{\"id\":\"%s\",\"fault\":\"%s\"}",
				   event_server(events, event)->id, event->how);
		break;
	case SOAK_CRASH:
	case SOAK_DRAIN:
		remove_server(events, event);
		break;
	case SOAK_EVACUATE:
		fleet_post_control(fleet, "/evacuate",
				   "{\"domain\":\"%s\",\"on\":true}",
				   fleet_domains[event->target % FLEET_DOMAINS]);
		break;
	case SOAK_SLOW:
		set_server_faults(fleet, event->how);
		break;
	case SOAK_CUT:
	case SOAK_CUT_HALF:
		apply_cuts(events);
		break;
	case SOAK_LIMIT:
	case SOAK_LIMIT_ALL:
		apply_limits(events);
		break;
	case SOAK_ODD_ENTRY:
		fleet_post_control(fleet, "/odd-entry", "{\"how\":\"%s\"}",
				   event->how);
		break;
	case SOAK_CONFIG:
	default:
		if (!strcmp(event->how, "large"))
			fleet->unused_routes =
				MIN(fleet->unused_routes + LARGE_CONFIG_ROUTES,
				    LARGE_CONFIG_ROUTES_MAX);
		fleet_publish(fleet);
		callers_mark_published(events->callers, fleet->version);
		break;
	}
}

static void end_event(struct events *events, const struct soak_event *event)
{
	struct fleet *fleet = events->fleet;
	uint32_t i;

	if (event->kind == SOAK_CUT || event->kind == SOAK_CUT_HALF)
		apply_cuts(events);
	if (event->kind == SOAK_LIMIT || event->kind == SOAK_LIMIT_ALL)
		apply_limits(events);
	if (is_still_active(events, event))
		return;
	switch (event->kind) {
	case SOAK_PAUSE:
		if (event_vm(events, event)->paused)
			fleet_signal_vm(fleet, event_vm(events, event), SIGCONT);
		break;
	case SOAK_STORE:
		fleet_post_control(fleet, "/fault", "{\"fault\":\"sound\"}");
		break;
	case SOAK_STORE_BACK:
		fleet_post_control(fleet, "/go-back", "{\"rewrite\":true}");
		break;
	case SOAK_STORE_LINK:
		fault_proxy_set_mode(event_vm(events, event)->store_proxy,
				     "pass");
		break;
	case SOAK_SERVER_LINK:
		for (i = 0; i < fleet->server_count; i++)
			fault_proxy_set_mode(fleet->servers[i].proxy, "pass");
		break;
	case SOAK_SERVER:
	case SOAK_SLOW:
		set_server_faults(fleet, "none");
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
		callers_elapsed_ms(step->events->callers),
		step->is_end ? "end of" : "begin",
		soak_kind_name(step->event->kind), step->event->target,
		step->event->how);
	step->event->is_active = !step->is_end;
	if (step->is_end)
		end_event(step->events, step->event);
	else
		begin_event(step->events, step->event);
	g_free(step);
}

static void add_step(struct events *events, struct soak_event *event, bool is_end)
{
	struct step *step = g_new0(struct step, 1);

	step->events = events;
	step->event = event;
	step->is_end = is_end;
	run_after(events, event->at_ms + (is_end ? event->for_ms : 0), on_step,
		  step);
}

void events_schedule(struct events *events)
{
	const GArray *list = events->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		add_step(events, event, false);
		add_step(events, event, true);
	}
}
