#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * @file
 * Two of twelve backend servers crash, one after the other, and are back after
 * 4.5 s. All the while, callers look up the same list and place orders.
 */

#define VMS 2
#define SERVERS 12
#define CONNECTIONS_MAX 256
#define SERVER_DOWN_MS 4500
/* Three heartbeat intervals: then the store removes a silent server's entry. */
#define ENTRY_EXPIRES_MS 4500
#define FIRST_CRASH_MS 2000
#define SECOND_CRASH_MS 4000
#define DAY_MS 70000
#define LIST_RUN_MS 500
#define ORDER_RUN_MS 100
#define LIST_CALLERS 60
#define ORDER_CALLERS 30
#define PAUSE_MS 200
#define DEADLINE_MS 4000

enum kind { KIND_LIST, KIND_ORDER, KINDS };

struct counts {
	int sent;
	int served;
};

static const char config[] =
	"{\"Version\":\"00000007\",\"Routes\":{"
	"\"order\":{\"Host\":\"shop.example\",\"Prefix\":\"/order/\","
	"\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,"
	"\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"counter\","
	"\"MaxAttempts\":2,\"Sticky\":true,\"HomeRegions\":[]},"
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
	int number;
	int start;
	uint16_t port;
	int listener;
	char id[32];
	bool running;
	int load; /* requests that run */
};

struct connection {
	struct server *server;
	int start; /* of the server */
	int fd;
};

static struct server servers[SERVERS];
static struct entry_vm vms[VMS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct connection connections[CONNECTIONS_MAX];
static struct counts counts[KINDS];
static volatile bool stopping;

static void serve(struct link *link, void *context);

static void start_server(struct server *server)
{
	server->start++;
	snprintf(server->id, sizeof(server->id), "server-%d-%d", server->number,
		 server->start);
	server->listener = server->port ? listen_again(server->port)
					: listen_anywhere(&server->port);
	server->running = true;
	serve_connections(server->listener, serve, server);
	store_put_server(server->id, "counter", "leic-a", server->port, 9,
			 server->start);
}

static void *run_restart(void *context)
{
	struct server *server = context;
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", server->id);
	sleep_ms(SERVER_DOWN_MS);
	start_server(server);
	record("server: %s has started", server->id);
	sleep_ms(ENTRY_EXPIRES_MS - SERVER_DOWN_MS);
	store_remove(key);
	return NULL;
}

/* What the kernel does when a process ends: all its sockets are closed. */
static void crash(struct server *server)
{
	int i;

	pthread_mutex_lock(&lock);
	if (!server->running) {
		pthread_mutex_unlock(&lock);
		return;
	}
	server->running = false;
	record("server: %s crashes", server->id);
	stop_listening(server->listener);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		if (connections[i].server == server &&
		    connections[i].start == server->start)
			shutdown(connections[i].fd, SHUT_RDWR);
	pthread_mutex_unlock(&lock);
	start_thread(run_restart, server);
}

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
	connection->start = server->start;
	connection->fd = fd;
	pthread_mutex_unlock(&lock);
	return connection;
}

static bool run_request(struct link *link, struct server *server,
			const struct message *request)
{
	char expected[64];
	char id[64];
	int load;

	get_header(request, "Request-Id", id, sizeof(id));
	get_header(request, "Expect-Instance", expected, sizeof(expected));
	if (strcmp(expected, server->id) != 0)
		return write_text(link->fd,
				  "HTTP/1.1 421 Status\r\nRequest-Id: %s\r\n"
				  "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
				  id);
	pthread_mutex_lock(&lock);
	server->load++;
	pthread_mutex_unlock(&lock);
	sleep_ms(strstr(request->head, " /order/") ? ORDER_RUN_MS : LIST_RUN_MS);
	pthread_mutex_lock(&lock);
	load = --server->load;
	pthread_mutex_unlock(&lock);
	return write_text(link->fd,
			  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			  "Response-Stamp: %s.1\r\nBackend-Load: %d,0,9\r\n"
			  "Content-Length: 2\r\n\r\nok",
			  id, id, load);
}

static void serve(struct link *link, void *context)
{
	struct server *server = context;
	struct connection *connection = add_connection(server, link->fd);
	struct message *request = calloc(1, sizeof(*request));

	while (read_head(link, request) && read_body(link, request)) {
		free(request->body);
		if (!run_request(link, server, request))
			break;
	}
	pthread_mutex_lock(&lock);
	connection->server = NULL;
	pthread_mutex_unlock(&lock);
	free(request);
}

/* @param pause_ms set to the time that a refusal asks the caller to wait. */
static int call(const struct entry_vm *vm, enum kind kind, const char *id,
		int64_t *pause_ms)
{
	char retry_after[32];
	struct link *link = calloc(1, sizeof(*link));
	struct message *response = calloc(1, sizeof(*response));
	int status = 0;

	link->fd = connect_to(vm->request_port, 0, 0);
	if (write_text(link->fd,
		       "%s HTTP/1.1\r\nHost: shop.example\r\n"
		       "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
		       "Content-Length: 0\r\n\r\n",
		       kind == KIND_LIST ? "GET /stock/list" : "POST /order/new",
		       id, DEADLINE_MS) &&
	    read_head(link, response))
		status = get_status(response);
	*pause_ms = PAUSE_MS;
	if (get_header(response, "Retry-After", retry_after, sizeof(retry_after)))
		*pause_ms += (int64_t)(strtod(retry_after, NULL) * 1000);
	close(link->fd);
	free(link);
	free(response);
	return status;
}

/* Sends requests of a kind, each to another VM than the one before. */
static void *run_caller(void *context)
{
	static int last_id;
	enum kind kind = (enum kind)(intptr_t)context;
	unsigned int seed = (unsigned int)(intptr_t)&kind;
	int64_t pause_ms = 0;
	int last_status = 0;
	char id[32];
	int status;
	int number;

	while (!stopping) {
		pthread_mutex_lock(&lock);
		number = ++last_id;
		counts[kind].sent++;
		pthread_mutex_unlock(&lock);
		snprintf(id, sizeof(id), "%s-%d",
			 kind == KIND_LIST ? "list" : "order", number);
		status = call(&vms[number % VMS], kind, id, &pause_ms);
		pthread_mutex_lock(&lock);
		counts[kind].served += status == 200;
		pthread_mutex_unlock(&lock);
		if (status != last_status)
			record("caller: %s at %s is answered %d", id,
			       vms[number % VMS].name, status);
		last_status = status;
		sleep_ms(pause_ms + rand_r(&seed) % PAUSE_MS);
	}
	return NULL;
}

/* @return the server that runs most requests. */
static struct server *find_busiest(void)
{
	struct server *busiest = &servers[0];
	int i;

	for (i = 1; i < SERVERS; i++)
		if (servers[i].running && servers[i].load > busiest->load)
			busiest = &servers[i];
	return busiest;
}

static double share(int served, int sent)
{
	return sent ? (double)served / sent : 0;
}

int main(void)
{
	const struct counts *list = &counts[KIND_LIST];
	const struct counts *orders = &counts[KIND_ORDER];
	double list_share;
	double all_share;
	intptr_t i;

	case_begin();
	store_start();
	store_put("op/config", config);
	for (i = 0; i < SERVERS; i++) {
		servers[i].number = (int)i + 1;
		start_server(&servers[i]);
	}
	entry_start(&vms[0], "entry-1", "leic-a");
	entry_start(&vms[1], "entry-2", "leic-b");
	for (i = 0; i < VMS; i++)
		entry_wait_ready(&vms[i]);
	for (i = 0; i < LIST_CALLERS; i++)
		start_thread(run_caller, (void *)KIND_LIST);
	for (i = 0; i < ORDER_CALLERS; i++)
		start_thread(run_caller, (void *)KIND_ORDER);
	sleep_ms(FIRST_CRASH_MS);
	if (case_has_trouble())
		crash(find_busiest());
	sleep_ms(SECOND_CRASH_MS - FIRST_CRASH_MS);
	if (case_has_trouble())
		crash(find_busiest());
	sleep_ms(DAY_MS - SECOND_CRASH_MS);
	stopping = true;
	list_share = share(list->served, list->sent);
	all_share =
		share(list->served + orders->served, list->sent + orders->sent);
	record("served: %d of %d look-ups (%.2f), %d of %d orders; %.2f of all",
	       list->served, list->sent, list_share, orders->served,
	       orders->sent, all_share);
	case_end(list_share < all_share / 4 ? RULE_BROKEN : RULE_HELD);
}
