#include "fleet.h"

#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "free_port.h"
#include "http_call.h"
#include "net/timer.h"
#include "socket_owner.h"

/* Initial backend servers. */
#define SERVERS_PER_DOMAIN 2
#define CONTROL_TIMEOUT_MS 3000
/* The platform stand-in listens within this time. */
#define PLATFORM_START_MS 300
#define CALL_BYTES 512

const char *const fleet_domains[FLEET_DOMAINS] = { "fyn-a", "fyn-b", "jyl-a" };
const char *const fleet_regions[FLEET_DOMAINS] = { "fyn", "fyn", "jyl" };

static void assign_address(char *address)
{
	g_snprintf(address, ADDRESS_BYTES, "127.0.0.1:%d", free_port_find());
}

/* @return the name of the file that says to which ports a VM cannot connect. */
static char *cut_file_name(const struct fleet *fleet, const char *vm_name)
{
	return g_strdup_printf("%s/%s.cut", fleet->out_dir, vm_name);
}

static void set_vm_environment(const struct fleet *fleet, const char *vm_name,
			       const char *settings)
{
	char *cut_file = cut_file_name(fleet, vm_name);

	g_setenv("AUBURNREACH_CONFIG", settings, true);
	g_setenv("CUT_PATH_FILE", cut_file, true);
	g_free(cut_file);
}

/* @return the child's process ID. */
static pid_t spawn(const struct fleet *fleet, const char *log_name,
		   char *const *args, const char *settings)
{
	char *log = g_strdup_printf("%s/%s.log", fleet->out_dir, log_name);
	pid_t pid = fork();
	int fd;

	if (!pid) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		if (settings)
			set_vm_environment(fleet, log_name, settings);
		execv(args[0], args);
		_exit(127);
	}
	g_free(log);
	return pid;
}

/* Settings are read by the build that comes with them: earlier ones reject keys
 * that they do not know. */
static void write_settings(const struct fleet_vm *vm, const char *file_name)
{
	char *handoff =
		vm->runs_old ? g_strdup("")
			     : g_strdup_printf(" \"handoff_address\": \"%s\", "
					       "\"cpu_share\": \"0.5\",\n",
					       vm->handoff_address);
	char *text = g_strdup_printf(
		"{\"name\": \"%s\", \"region\": \"%s\", \"failure_domain\": "
		"\"%s\",\n"
		" \"failure_domains\": [{\"name\": \"fyn-a\", \"region\": "
		"\"fyn\"},\n  {\"name\": \"fyn-b\", \"region\": \"fyn\"}, "
		"{\"name\": \"jyl-a\", \"region\": \"jyl\"}],\n"
		" \"request_address\": \"%s\", \"ready_address\": \"%s\",\n"
		" \"directory_address\": \"%s\", \"metrics_address\": "
		"\"%s\",\n \"relay_address\": \"%s\", \"store_address\": "
		"\"%s\",\n%s \"bounds\": \"DrainMs=2500,GraceS=6,"
		"BudgetRatio=0.2,BudgetExtra=100,BudgetWindowS=10,"
		"MaxShift=0.15\"}\n",
		vm->name, fleet_regions[vm->domain], fleet_domains[vm->domain],
		vm->request_address, vm->ready_address, vm->directory_address,
		vm->metrics_address, vm->relay_address, vm->store_address,
		handoff);

	if (!g_file_set_contents(file_name, text, -1, NULL))
		fprintf(stderr, "soak: cannot write settings file %s\n",
			file_name);
	g_free(handoff);
	g_free(text);
}

/* @return the path of the program; early builds cannot be cut off from servers. */
static char *vm_program(const struct fleet *fleet, const struct fleet_vm *vm)
{
	const char *dir = vm->runs_old ? fleet->old_dir : fleet->build_dir;
	char *program = g_strdup_printf("%s/entry-cuttable", dir);

	if (g_file_test(program, G_FILE_TEST_IS_EXECUTABLE))
		return program;
	g_free(program);
	return g_strdup_printf("%s/auburnreach-entry", dir);
}

void fleet_start_vm(struct fleet *fleet, struct fleet_vm *vm)
{
	char *program = vm_program(fleet, vm);
	char *file = g_strdup_printf("%s/%s.json", fleet->out_dir, vm->name);
	char *args[] = { program, NULL };

	if (!vm->pid) {
		write_settings(vm, file);
		vm->stopping = false;
		vm->paused = false;
		vm->pid = spawn(fleet, vm->name, args, file);
	}
	g_free(program);
	g_free(file);
}

void fleet_signal_vm(struct fleet *fleet, struct fleet_vm *vm, int signal)
{
	(void)fleet;
	if (!vm->pid)
		return;
	if (signal == SIGKILL || signal == SIGTERM)
		vm->stopping = true;
	if (signal == SIGSTOP || signal == SIGCONT)
		vm->paused = signal == SIGSTOP;
	kill(vm->pid, signal);
}

struct vm_start {
	struct fleet *fleet;
	struct fleet_vm *vm;
};

static void on_start_timer(evutil_socket_t fd, short what, void *context)
{
	struct vm_start *start = context;

	(void)fd;
	(void)what;
	if (start->vm->pid) {
		timer_start(start->vm->start_timer, 50); /* still stopping */
		return;
	}
	fleet_start_vm(start->fleet, start->vm);
}

void fleet_schedule_vm_start(struct fleet *fleet, struct fleet_vm *vm, int64_t ms)
{
	(void)fleet;
	timer_start(vm->start_timer, ms);
}

static void reap_children(struct fleet *fleet)
{
	uint32_t i;
	int status;
	pid_t pid;

	while ((pid = waitpid(-1, &status, WNOHANG)) > 0) {
		for (i = 0; i < fleet->vm_count; i++) {
			struct fleet_vm *vm = &fleet->vms[i];

			if (vm->pid != pid)
				continue;
			vm->pid = 0;
			if (vm->stopping)
				continue;
			fleet->unexpected_exits++;
			fprintf(stderr,
				"soak: %s exited unexpectedly status=%d\n",
				vm->name, status);
			timer_start(vm->start_timer, 0);
		}
	}
}

static void on_child(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	reap_children(context);
}

static void on_control_response(void *context, uint16_t status,
				const char *body, size_t bytes)
{
	(void)bytes;
	if (status != 200)
		fprintf(stderr, "soak: platform refused %s status=%u %s\n",
			(char *)context, status, body);
	g_free(context);
}

void fleet_post_control(struct fleet *fleet, const char *target,
			const char *format, ...)
{
	va_list args;
	char *json;

	va_start(args, format);
	json = g_strdup_vprintf(format, args);
	va_end(args);
	http_call_start(fleet->base, fleet->control_address, target, json,
			CONTROL_TIMEOUT_MS, on_control_response,
			g_strdup_printf("%s %s", target, json));
	g_free(json);
}

/* A fault_proxy_rule: the mode of the VM that a connection comes from. */
static const char *connection_mode(void *context, int fd)
{
	const struct fleet *fleet = context;
	uint32_t inode = 0;
	uint32_t i;

	for (i = 0; i < fleet->vm_count; i++) {
		const struct fleet_vm *vm = &fleet->vms[i];

		if (!vm->cut || !vm->pid)
			continue;
		if (!inode)
			inode = socket_peer_inode(fd);
		if (socket_is_open_in(inode, vm->pid))
			return vm->cut;
	}
	return "pass";
}

/* Lists the ports of all servers if the VM is cut off from them. */
static void write_cut_file(const struct fleet *fleet, const struct fleet_vm *vm)
{
	char *name = cut_file_name(fleet, vm->name);
	GString *text = g_string_new(NULL);
	uint32_t i;

	if (vm->cut)
		g_string_append(text,
				strcmp(vm->cut, "silent") ? "refuse" : "hang");
	for (i = 0; vm->cut && i < fleet->server_count; i++)
		g_string_append_printf(text, " %s",
				       strrchr(fleet->servers[i].listed_address,
					       ':') +
					       1);
	if (!g_file_set_contents(name, text->str, -1, NULL))
		fprintf(stderr, "soak: cannot write %s\n", name);
	g_string_free(text, true);
	g_free(name);
}

void fleet_apply_cuts(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->vm_count; i++)
		write_cut_file(fleet, &fleet->vms[i]);
	for (i = 0; i < fleet->server_count; i++)
		fault_proxy_apply_rule(fleet->servers[i].proxy);
}

void fleet_add_server(struct fleet *fleet, uint32_t domain)
{
	struct fleet_server *server = &fleet->servers[fleet->server_count];
	char address[ADDRESS_BYTES];

	if (fleet->server_count == FLEET_SERVERS_MAX)
		return;
	assign_address(address);
	assign_address(server->listed_address);
	g_snprintf(server->id, sizeof(server->id), "s%u", fleet->server_count);
	server->domain = domain;
	server->proxy = fault_proxy_new(fleet->base, server->listed_address,
					address, connection_mode, fleet);
	fleet->server_count++;
	fleet_apply_cuts(fleet); /* also to this one */
	fleet_post_control(fleet, "/server",
			   "{\"id\":\"%s\",\"address\":\"%s\",\"listed\":\"%s\","
			   "\"service\":\"reg\",\"domain\":\"%s\",\"slots\":%u,"
			   "\"queue\":%u,\"work_ms\":%u}",
			   server->id, address, server->listed_address,
			   fleet_domains[domain], fleet->server_shape.slots,
			   fleet->server_shape.queue,
			   fleet->server_shape.work_ms);
}

static void add_route(GString *routes, const char *name, const char *prefix,
		      const char *kind, uint32_t timeout_ms)
{
	g_string_append_printf(
		routes,
		"%s\"%s\":{\"Host\":\"a.example\",\"Prefix\":\"%s\","
		"\"Kind\":\"%s\",\"TimeoutMs\":%u,\"TargetLatencyMs\":400,"
		"\"Priority\":1,\"Service\":\"reg\",\"MaxAttempts\":2,"
		"\"Sticky\":true,\"HomeRegions\":[]}",
		routes->len ? "," : "", name, prefix, kind, timeout_ms);
}

void fleet_publish(struct fleet *fleet)
{
	GString *routes = g_string_new(NULL);
	char name[16];
	char prefix[16];
	uint32_t i;

	fleet->version++;
	fprintf(stderr, "soak: publishing version=%08x unix_ms=%" PRId64 "\n",
		fleet->version, g_get_real_time() / 1000);
	add_route(routes, "look", "/look/", "idempotent", FLEET_TIMEOUT_MS);
	add_route(routes, "order", "/order/", "non_idempotent", FLEET_TIMEOUT_MS);
	add_route(routes, "long-look", "/long-look/",
		  fleet->large_bodies ? "download" : "idempotent",
		  FLEET_LONG_TIMEOUT_MS);
	add_route(routes, "long-order", "/long-order/", "non_idempotent",
		  FLEET_LONG_TIMEOUT_MS);
	for (i = 1; i <= fleet->version; i++) {
		g_snprintf(name, sizeof(name), "v%u", i);
		g_snprintf(prefix, sizeof(prefix), "/v%u/", i);
		add_route(routes, name, prefix, "idempotent", FLEET_TIMEOUT_MS);
	}
	for (i = 0; i < fleet->unused_routes; i++) {
		g_snprintf(name, sizeof(name), "u%u", i);
		g_snprintf(prefix, sizeof(prefix), "/u%u/", i);
		add_route(routes, name, prefix, "idempotent", FLEET_TIMEOUT_MS);
	}
	fleet_post_control(fleet, "/config",
			   "{\"Version\":\"%08x\",\"Routes\":{%s},\"Services\":{"
			   "\"reg\":{\"HealthPath\":\"/health\",\"MaxConns\":800,"
			   "\"ColdStartS\":1.0,\"ColdPerS\":20}},\"Limits\":{"
			   "\"MaxHeaderBytes\":4000,\"MaxBodyBytes\":600000,"
			   "\"HeaderTimeoutMs\":1000,\"IdleTimeoutMs\":5000}}",
			   fleet->version, routes->str);
	g_string_free(routes, true);
}

static void start_platform(struct fleet *fleet)
{
	char *program = g_strdup_printf("%s/standin-platform", fleet->build_dir);
	char *args[] = { program,
			 (char *)"--store",
			 fleet->store_address,
			 (char *)"--control",
			 fleet->control_address,
			 NULL };

	assign_address(fleet->store_address);
	assign_address(fleet->control_address);
	fleet->platform = spawn(fleet, "platform", args, NULL);
	g_free(program);
}

static void on_platform_started(evutil_socket_t fd, short what, void *context)
{
	struct fleet *fleet = context;
	uint32_t i;

	(void)fd;
	(void)what;
	for (i = 0; i < FLEET_DOMAINS * SERVERS_PER_DOMAIN; i++)
		fleet_add_server(fleet, i % FLEET_DOMAINS);
	fleet_publish(fleet);
	for (i = 0; i < fleet->vm_count; i++)
		fleet_start_vm(fleet, &fleet->vms[i]);
}

bool fleet_start(struct fleet *fleet, uint32_t vm_count)
{
	const struct timeval wait = timer_timeval(PLATFORM_START_MS);
	struct event *child = evsignal_new(fleet->base, SIGCHLD, on_child, fleet);
	uint32_t i;

	if (!socket_owner_is_supported()) {
		fprintf(stderr, "soak: the kernel has no socket diagnostics\n");
		return false;
	}
	evsignal_add(child, NULL);
	start_platform(fleet);
	fleet->vm_count = vm_count;
	for (i = 0; i < vm_count; i++) {
		struct fleet_vm *vm = &fleet->vms[i];
		struct vm_start *start;

		g_snprintf(vm->name, sizeof(vm->name), "e%u", i);
		vm->domain = i % FLEET_DOMAINS;
		vm->runs_old = fleet->old_dir != NULL;
		assign_address(vm->request_address);
		assign_address(vm->ready_address);
		assign_address(vm->directory_address);
		assign_address(vm->metrics_address);
		assign_address(vm->relay_address);
		assign_address(vm->handoff_address);
		assign_address(vm->store_address);
		vm->store_proxy =
			fault_proxy_new(fleet->base, vm->store_address,
					fleet->store_address, NULL, NULL);
		if (!vm->store_proxy)
			return false;
		start = g_new0(struct vm_start, 1);
		start->fleet = fleet;
		start->vm = vm;
		vm->start_timer = evtimer_new(fleet->base, on_start_timer, start);
	}
	event_base_once(fleet->base, -1, EV_TIMEOUT, on_platform_started, fleet,
			&wait);
	return fleet->platform > 0;
}

void fleet_stop(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->vm_count; i++)
		if (fleet->vms[i].pid)
			kill(fleet->vms[i].pid, SIGKILL);
	if (fleet->platform > 0)
		kill(fleet->platform, SIGKILL);
	while (waitpid(-1, NULL, 0) > 0)
		;
}
