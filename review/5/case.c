#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * @file
 * The backend servers of a service are replaced, two a second. Six times the
 * store turns one of three entry VMs away for nine seconds: the one through
 * which the others read.
 */

#define VMS 3
#define STABLE_SERVERS 4
#define SERVERS_MAX 256
#define CONNECTIONS_MAX 512
#define STEP_MS 500
#define LEAVES_AFTER_START_MS 200
#define LISTED_STEPS 6
/* DrainMs and some seconds: then a server that left exits. */
#define SERVES_ON_STEPS 14
#define DRAIN_MS 2500
#define SLACK_MS 200
#define CYCLES 6
#define REFUSED_MS 9000
/* Longer each time, so that it ends at another moment of a step. */
#define REFUSED_LONGER_MS 70
#define SERVED_MS 6000
#define LOOKUP_EVERY_MS 40
#define DEADLINE_MS 4000

static const char config[] =
	"{\"Version\":\"00000007\",\"Routes\":{"
	"\"stock\":{\"Host\":\"shop.example\",\"Prefix\":\"/stock/\","
	"\"Kind\":\"idempotent\",\"TimeoutMs\":4000,\"TargetLatencyMs\":600,"
	"\"Priority\":2,\"Service\":\"counter\",\"MaxAttempts\":2,"
	"\"Sticky\":true,\"HomeRegions\":[]}},"
	"\"Services\":{\"counter\":{\"HealthPath\":\"/health\","
	"\"MaxConns\":845,\"Protocol\":\"h1\",\"Tls\":false,"
	"\"ColdStartS\":3.0,\"ColdPerS\":5.7}},"
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

struct server {
	char id[32];
	uint16_t port;
	int listener;
	int64_t left_ms; /* when the store removed its entry; 0: not yet */
	bool exited;
	int late_count;
};

struct connection {
	struct server *server;
	int fd;
};

static struct server servers[SERVERS_MAX];
static struct store_door doors[VMS];
static struct entry_vm vms[VMS];
static struct connection connections[CONNECTIONS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int server_count;
static int late_count;
static volatile int away = -1; /* the VM that is turned away, or was lately */
static volatile bool stopping;

static struct connection *add_connection(struct server *server, int fd)
{
	struct connection *connection = NULL;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < CONNECTIONS_MAX && !connection; i++)
		if (!connections[i].server)
			connection = &connections[i];
	if (!connection)
		give_up("there are too many connections");
	connection->server = server;
	connection->fd = fd;
	pthread_mutex_unlock(&lock);
	return connection;
}

static void check_request(struct server *server, const char *id)
{
	int64_t since_ms;

	pthread_mutex_lock(&lock);
	since_ms = server->left_ms ? now_ms() - server->left_ms : 0;
	if (since_ms > DRAIN_MS + SLACK_MS) {
		late_count++;
		if (server->late_count++ < 3)
			record("server: %s reaches %s %lld ms after the store "
			       "removed its entry",
			       id, server->id, (long long)since_ms);
	}
	pthread_mutex_unlock(&lock);
}

static void serve(struct link *link, void *context)
{
	struct server *server = context;
	struct connection *connection = add_connection(server, link->fd);
	struct message *request = calloc(1, sizeof(*request));
	char id[64];

	while (read_head(link, request) && read_body(link, request)) {
		free(request->body);
		get_header(request, "Request-Id", id, sizeof(id));
		check_request(server, id);
		if (!write_text(link->fd,
				"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				"Response-Stamp: %s.1\r\n"
				"Backend-Load: 0,0,9\r\n"
				"Content-Length: 2\r\n\r\nok",
				id, id))
			break;
	}
	pthread_mutex_lock(&lock);
	connection->server = NULL;
	pthread_mutex_unlock(&lock);
	free(request);
}

static void start_server(void)
{
	struct server *server = &servers[server_count++];

	snprintf(server->id, sizeof(server->id), "server-%d", server_count);
	server->listener = listen_anywhere(&server->port);
	serve_connections(server->listener, serve, server);
	store_put_server(server->id, "counter", "leic-a", server->port, 9, 1);
}

static void leave(struct server *server)
{
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", server->id);
	store_remove(key);
	pthread_mutex_lock(&lock);
	server->left_ms = now_ms();
	pthread_mutex_unlock(&lock);
}

static void exit_server(struct server *server)
{
	int i;

	pthread_mutex_lock(&lock);
	server->exited = true;
	stop_listening(server->listener);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i].server == server)
			shutdown(connections[i].fd, SHUT_RDWR);
	pthread_mutex_unlock(&lock);
}

/* Replaces servers: a new one starts first, then an old one leaves. */
static void *run_release(void *context)
{
	while (!stopping && server_count < SERVERS_MAX) {
		int leaving = server_count - LISTED_STEPS;
		int exiting = leaving - SERVES_ON_STEPS;

		start_server();
		sleep_ms(LEAVES_AFTER_START_MS);
		if (leaving >= STABLE_SERVERS)
			leave(&servers[leaving]);
		if (exiting >= STABLE_SERVERS)
			exit_server(&servers[exiting]);
		sleep_ms(STEP_MS - LEAVES_AFTER_START_MS);
	}
	return context;
}

static void look_up(const struct entry_vm *vm, const char *id, unsigned int object)
{
	struct link *link = calloc(1, sizeof(*link));
	struct message *response = calloc(1, sizeof(*response));

	link->fd = connect_to(vm->request_port, 0, 0);
	if (write_text(link->fd,
		       "GET /stock/%u HTTP/1.1\r\nHost: shop.example\r\n"
		       "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
		       "Cookie: Affinity-Key=%u\r\n\r\n",
		       object, id, DEADLINE_MS, object))
		read_head(link, response);
	close(link->fd);
	free(link);
	free(response);
}

/* Looks up things at a VM, unless the store turns it away. */
static void *run_caller(void *context)
{
	const int number = (int)(intptr_t)context;
	unsigned int seed = (unsigned int)number;
	int count = 0;
	char id[32];

	while (!stopping) {
		snprintf(id, sizeof(id), "stock-%d-%d", number + 1, ++count);
		if (away != number)
			look_up(&vms[number], id, rand_r(&seed) % 47);
		sleep_ms(LOOKUP_EVERY_MS);
	}
	return NULL;
}

/* @return the VM through which the first one reads from the store, or -1. */
static int find_relay(void)
{
	static const char text[] = "reads go by another VM now vm=";
	FILE *log = fopen(vms[0].log, "r");
	char line[2048];
	char name[32];
	int relay = -1;
	int i;

	while (log && fgets(line, sizeof(line), log)) {
		const char *at = strstr(line, text);

		name[0] = '\0';
		if (!at || sscanf(at + strlen(text), "%31s", name) != 1)
			continue;
		for (i = 0; i < VMS; i++)
			if (!strcmp(vms[i].name, name))
				relay = i;
	}
	if (log)
		fclose(log);
	return relay;
}

static void run_cycle(int number)
{
	int64_t refused_ms = REFUSED_MS + number * REFUSED_LONGER_MS;
	int relay = find_relay();

	if (relay < 0)
		give_up("no VM reads for the others");
	if (!case_has_trouble()) {
		sleep_ms(refused_ms + SERVED_MS);
		return;
	}
	away = relay;
	record("store: turns %s away with 503", vms[relay].name);
	store_refuse(&doors[relay], true);
	sleep_ms(refused_ms);
	record("store: serves %s again", vms[relay].name);
	store_refuse(&doors[relay], false);
	sleep_ms(SERVED_MS);
	away = -1;
}

int main(void)
{
	intptr_t i;

	case_begin();
	store_start();
	store_put("op/config", config);
	for (i = 0; i < STABLE_SERVERS; i++)
		start_server();
	for (i = 0; i < VMS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "entry-%d", (int)i + 1);
		store_open_door(&doors[i]);
		vms[i].store_port = doors[i].port;
		entry_start(&vms[i], name, "leic-a");
	}
	for (i = 0; i < VMS; i++)
		entry_wait_ready(&vms[i]);
	sleep_ms(4000);
	start_thread(run_release, NULL);
	for (i = 0; i < VMS; i++)
		start_thread(run_caller, (void *)i);
	for (i = 0; i < CYCLES; i++)
		run_cycle((int)i);
	stopping = true;
	record("%d requests reached a server later than %d ms after the store "
	       "had removed its entry; %d servers were replaced",
	       late_count, DRAIN_MS + SLACK_MS,
	       server_count - STABLE_SERVERS - LISTED_STEPS);
	case_end(late_count ? RULE_BROKEN : RULE_HELD);
}
