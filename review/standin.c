#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CASE_SECONDS_MAX 110
#define PROCESSES_MAX 64
#define READY_TRIES 100

static FILE *record_file;
static char folder[128];
static int64_t began_ms;
static pid_t processes[PROCESSES_MAX];
static int process_count;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t now_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

	if (ms <= 0)
		return;
	while (nanosleep(&time, &time) && errno == EINTR)
		;
}

void record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7.3f ", (double)(now_ms() - began_ms) / 1000);
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void end_processes(void)
{
	int i;

	for (i = 0; i < process_count; i++)
		if (processes[i]) {
			kill(processes[i], SIGCONT);
			kill(processes[i], SIGKILL);
		}
}

static void on_signal(int number)
{
	(void)number;
	end_processes();
	_exit(NOT_RUN);
}

bool case_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

void case_begin(void)
{
	const char *path = getenv("RECORD");
	const char *temporary = getenv("CASE_FOLDER");

	record_file = path ? fopen(path, "w") : NULL;
	if (!record_file || !temporary) {
		fprintf(stderr, "RECORD or CASE_FOLDER is missing\n");
		exit(NOT_RUN);
	}
	snprintf(folder, sizeof(folder), "%s", temporary);
	began_ms = now_ms();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGINT, on_signal);
	signal(SIGTERM, on_signal);
	signal(SIGALRM, on_signal);
	alarm(CASE_SECONDS_MAX);
	record("%s", case_has_trouble() ? "with the disruption"
					: "without the disruption");
}

void case_end(enum case_result result)
{
	static const char *const texts[] = { "the rule held",
					     "the rule was broken",
					     "the case could not run" };

	record("%s", texts[result]);
	/* nothing is recorded from now on, also by threads that go on */
	pthread_mutex_lock(&record_lock);
	fclose(record_file);
	end_processes();
	while (wait(NULL) > 0)
		;
	_exit((int)result);
}

void give_up(const char *why)
{
	record("%s", why);
	case_end(NOT_RUN);
}

void start_thread(void *(*run)(void *), void *context)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	if (pthread_create(&thread, &attributes, run, context))
		give_up("no thread could be started");
	pthread_attr_destroy(&attributes);
}

static struct sockaddr_in local_address(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

int listen_again(uint16_t port)
{
	struct sockaddr_in address = local_address(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 128))
		give_up("a port is not free");
	return fd;
}

int listen_anywhere(uint16_t *port)
{
	struct sockaddr_in address;
	socklen_t bytes = sizeof(address);
	int fd = listen_again(0);

	if (getsockname(fd, (struct sockaddr *)&address, &bytes))
		give_up("no port is free");
	*port = ntohs(address.sin_port);
	return fd;
}

void stop_listening(int fd)
{
	/* wakes the acceptor, which closes the socket */
	shutdown(fd, SHUT_RDWR);
}

struct acceptor {
	int fd;
	void (*serve)(struct link *link, void *context);
	void *context;
};

struct served {
	struct acceptor *acceptor;
	struct link link;
};

static void *run_connection(void *context)
{
	struct served *served = context;

	served->acceptor->serve(&served->link, served->acceptor->context);
	close(served->link.fd);
	free(served);
	return NULL;
}

static void *run_acceptor(void *context)
{
	struct acceptor *acceptor = context;

	for (;;) {
		struct served *served;
		int one = 1;
		int fd = accept4(acceptor->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0) {
			close(acceptor->fd);
			return NULL;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		served = calloc(1, sizeof(*served));
		served->acceptor = acceptor;
		served->link.fd = fd;
		start_thread(run_connection, served);
	}
}

void serve_connections(int fd, void (*serve)(struct link *link, void *context),
		       void *context)
{
	struct acceptor *acceptor = calloc(1, sizeof(*acceptor));

	acceptor->fd = fd;
	acceptor->serve = serve;
	acceptor->context = context;
	start_thread(run_acceptor, acceptor);
}

int connect_to(uint16_t port, int window_bytes, int segment_bytes)
{
	struct sockaddr_in address = local_address(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	if (window_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes,
			   sizeof(window_bytes));
	if (segment_bytes)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
			   sizeof(segment_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

bool write_all(int fd, const void *data, size_t bytes)
{
	const char *at = data;

	while (bytes) {
		ssize_t written = send(fd, at, bytes, MSG_NOSIGNAL);

		if (written <= 0)
			return false;
		at += written;
		bytes -= (size_t)written;
	}
	return true;
}

bool write_text(int fd, const char *format, ...)
{
	char text[HEAD_BYTES_MAX];
	va_list arguments;
	int bytes;

	va_start(arguments, format);
	bytes = vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	return bytes > 0 && (size_t)bytes < sizeof(text) &&
	       write_all(fd, text, (size_t)bytes);
}

static void use_input(struct link *link, size_t bytes)
{
	link->used -= bytes;
	memmove(link->input, link->input + bytes, link->used);
}

bool read_head(struct link *link, struct message *message)
{
	message->body = NULL;
	message->body_bytes = 0;
	for (;;) {
		char *end = memmem(link->input, link->used, "\r\n\r\n", 4);
		ssize_t got;

		if (end) {
			size_t bytes = (size_t)(end - link->input) + 4;

			memcpy(message->head, link->input, bytes);
			message->head[bytes] = '\0';
			use_input(link, bytes);
			return true;
		}
		if (link->used + 1 >= sizeof(link->input))
			return false;
		got = recv(link->fd, link->input + link->used,
			   sizeof(link->input) - 1 - link->used, 0);
		if (got <= 0)
			return false;
		link->used += (size_t)got;
	}
}

bool get_header(const struct message *message, const char *name, char *out,
		size_t bytes)
{
	const char *line = strstr(message->head, "\r\n");
	size_t name_bytes = strlen(name);

	*out = '\0';
	while (line && line[2] != '\r') {
		const char *next = strstr(line + 2, "\r\n");

		line += 2;
		if (next && !strncasecmp(line, name, name_bytes) &&
		    line[name_bytes] == ':') {
			const char *value = line + name_bytes + 1;

			value += strspn(value, " ");
			snprintf(out, bytes, "%.*s", (int)(next - value), value);
			return true;
		}
		line = next;
	}
	return false;
}

bool read_body(struct link *link, struct message *message)
{
	char text[32];
	size_t bytes;
	size_t have;

	if (!get_header(message, "Content-Length", text, sizeof(text)))
		return true;
	bytes = strtoull(text, NULL, 10);
	message->body = malloc(bytes + 1);
	message->body_bytes = bytes;
	have = link->used < bytes ? link->used : bytes;
	memcpy(message->body, link->input, have);
	use_input(link, have);
	while (have < bytes) {
		ssize_t got =
			recv(link->fd, message->body + have, bytes - have, 0);

		if (got <= 0) {
			free(message->body);
			message->body = NULL;
			return false;
		}
		have += (size_t)got;
	}
	message->body[bytes] = '\0';
	return true;
}

int get_status(const struct message *message)
{
	int status = 0;

	return sscanf(message->head, "HTTP/1.1 %d", &status) == 1 ? status : 0;
}

static void write_settings(const struct entry_vm *vm)
{
	FILE *file = fopen(vm->settings, "w");

	if (!file)
		give_up("the settings cannot be written");
	fprintf(file,
		"{\"name\": \"%s\", \"region\": \"east-mids\",\n"
		" \"failure_domain\": \"%s\", \"failure_domains\": [\n"
		"  {\"name\": \"leic-a\", \"region\": \"east-mids\"},\n"
		"  {\"name\": \"leic-b\", \"region\": \"east-mids\"}],\n"
		" \"request_address\": \"127.0.0.1:%u\",\n"
		" \"ready_address\": \"127.0.0.1:%u\",\n"
		" \"directory_address\": \"127.0.0.1:%u\",\n"
		" \"metrics_address\": \"127.0.0.1:%u\",\n"
		" \"relay_address\": \"127.0.0.1:%u\",\n"
		" \"store_address\": \"127.0.0.1:%u\", \"store_history_s\": 20,\n"
		" \"bounds\": \"SeedLagS=3,ReuseAfterS=2,StabilityWindowMs=4000,"
		"AckMs=4000,CatchUpS=4,DrainMs=2500,GraceS=6,LossSlackMs=200,"
		"ConfigApplyMs=2500,RollbackSlackMs=250,MaxStretchMs=6000,"
		"BudgetRatio=0.2,BudgetWindowS=10,BudgetExtra=139,ColdOver=1.5,"
		"ColdSlack=5,EvacuateMs=5000,RecoverS=15,ttl_max_s=5,"
		"MaxShift=0.15\",\n"
		" \"first_start\": %s, \"log_level\": \"info\"}\n",
		vm->name, vm->zone, vm->request_port, vm->ready_port,
		vm->directory_port, vm->metrics_port, vm->relay_port,
		vm->store_port ? vm->store_port : store_port,
		vm->was_started ? "false" : "true");
	fclose(file);
}

static void choose_ports(struct entry_vm *vm)
{
	uint16_t *const ports[] = { &vm->request_port, &vm->ready_port,
				    &vm->directory_port, &vm->metrics_port,
				    &vm->relay_port };
	int fds[5];
	int i;

	for (i = 0; i < 5; i++)
		fds[i] = listen_anywhere(ports[i]);
	for (i = 0; i < 5; i++)
		close(fds[i]);
}

static void run_entry(const struct entry_vm *vm)
{
	char *const arguments[] = { "target/auburnreach-entry", NULL };

	if (!freopen(vm->log, "a", stdout) || dup2(1, 2) < 0)
		_exit(NOT_RUN);
	setenv("AUBURNREACH_CONFIG", vm->settings, 1);
	execv(arguments[0], arguments);
	_exit(NOT_RUN);
}

void entry_start(struct entry_vm *vm, const char *name, const char *zone)
{
	if (!vm->request_port) {
		snprintf(vm->name, sizeof(vm->name), "%s", name);
		snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
		snprintf(vm->settings, sizeof(vm->settings), "%s/%s.json",
			 folder, name);
		snprintf(vm->log, sizeof(vm->log), "%s/%s.log", folder, name);
		choose_ports(vm);
	}
	write_settings(vm);
	vm->was_started = true;
	vm->pid = fork();
	if (!vm->pid)
		run_entry(vm);
	if (vm->pid < 0 || process_count == PROCESSES_MAX)
		give_up("an entry VM cannot be started");
	processes[process_count++] = vm->pid;
	record("entry VM %s starts", name);
}

bool entry_is_ready(const struct entry_vm *vm)
{
	struct link *link = calloc(1, sizeof(*link));
	struct message *answer = calloc(1, sizeof(*answer));
	bool ready = false;

	link->fd = connect_to(vm->ready_port, 0, 0);
	if (link->fd >= 0) {
		ready = write_text(link->fd, "GET /ready HTTP/1.1\r\n"
					     "Host: ready\r\n\r\n") &&
			read_head(link, answer) && get_status(answer) == 200;
		close(link->fd);
	}
	free(link);
	free(answer);
	return ready;
}

void entry_wait_ready(const struct entry_vm *vm)
{
	int tries;

	for (tries = 0; tries < READY_TRIES; tries++) {
		if (entry_is_ready(vm)) {
			record("entry VM %s is ready", vm->name);
			return;
		}
		sleep_ms(100);
	}
	give_up("an entry VM does not become ready");
}

bool entry_has_ended(struct entry_vm *vm)
{
	int status;
	int i;

	if (waitpid(vm->pid, &status, WNOHANG) != vm->pid)
		return false;
	for (i = 0; i < process_count; i++)
		if (processes[i] == vm->pid)
			processes[i] = 0;
	record("entry VM %s ended, signal %d, exit code %d", vm->name,
	       WIFSIGNALED(status) ? WTERMSIG(status) : 0,
	       WIFEXITED(status) ? WEXITSTATUS(status) : -1);
	return true;
}
