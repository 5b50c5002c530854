#include "standin.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * @file
 * A backend server in trouble answers look-ups with a body that has no end and
 * comes in small pieces. The case stands in for the platform too: it ends a
 * process that exceeds its memory, and starts it again.
 */

#define VMS 2
#define MEMORY_MB 182
#define MEMORY_CHECK_MS 5
#define RESTART_MS 1000
#define ROUNDS 4
#define LOOKUPS 4
#define DEADLINE_MS 4000
#define READ_BYTES 65536
#define ORDER_RUN_MS 300
#define ENDS_MAX 2
#define PIECES 10000
#define PIECE "1\r\nx\r\n"

static const char config[] =
	"{\"Version\":\"00000007\",\"Routes\":{"
	"\"note\":{\"Host\":\"shop.example\",\"Prefix\":\"/note/\","
	"\"Kind\":\"idempotent\",\"TimeoutMs\":12000,\"TargetLatencyMs\":1500,"
	"\"Priority\":2,\"Service\":\"docket\",\"MaxAttempts\":2,"
	"\"Sticky\":true,\"HomeRegions\":[]},"
	"\"order\":{\"Host\":\"shop.example\",\"Prefix\":\"/order/\","
	"\"Kind\":\"non_idempotent\",\"TimeoutMs\":6000,"
	"\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"counter\","
	"\"MaxAttempts\":2,\"Sticky\":true,\"HomeRegions\":[]}},"
	"\"Services\":{\"counter\":{\"HealthPath\":\"/health\","
	"\"MaxConns\":845,\"Protocol\":\"h1\",\"Tls\":false,"
	"\"ColdStartS\":3.0,\"ColdPerS\":5.7},"
	"\"docket\":{\"HealthPath\":\"/health\",\"MaxConns\":845,"
	"\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":3.0,"
	"\"ColdPerS\":5.7}},"
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

static struct entry_vm vms[VMS];
static long peak_kb[VMS];
static int ends[VMS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int lookups_left;
static int orders_lost;
static volatile bool stopping;

static bool answer(struct link *link, const char *id)
{
	return write_text(link->fd,
			  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			  "Response-Stamp: %s.1\r\nContent-Length: 2\r\n\r\nok",
			  id, id);
}

static void answer_without_end(struct link *link, const char *id)
{
	const size_t bytes = PIECES * strlen(PIECE);
	char *pieces = malloc(bytes + 1);
	size_t sent = 0;
	int i;

	for (i = 0; i < PIECES; i++)
		memcpy(pieces + (size_t)i * strlen(PIECE), PIECE, strlen(PIECE));
	record("server: %s begins a body without end", id);
	if (write_text(link->fd,
		       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		       "Response-Stamp: %s.1\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n",
		       id, id))
		while (write_all(link->fd, pieces, bytes))
			sent += bytes;
	record("server: %s: the VM has closed the connection after %zu bytes",
	       id, sent);
	free(pieces);
}

static void serve(struct link *link, void *context)
{
	struct message *request = calloc(1, sizeof(*request));
	bool goes_on = true;
	char id[64];

	(void)context;
	while (goes_on && read_head(link, request) && read_body(link, request)) {
		get_header(request, "Request-Id", id, sizeof(id));
		free(request->body);
		if (strstr(request->head, " /note/") && case_has_trouble()) {
			answer_without_end(link, id);
			break;
		}
		if (strstr(request->head, " /order/"))
			sleep_ms(ORDER_RUN_MS);
		goes_on = answer(link, id);
	}
	free(request);
}

static long read_memory_kb(pid_t pid)
{
	char path[64];
	char line[128];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file))
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	if (file)
		fclose(file);
	return kb;
}

/* The platform's part: ends and restarts processes over their memory. */
static void *run_platform(void *context)
{
	int i;

	while (!stopping) {
		sleep_ms(MEMORY_CHECK_MS);
		for (i = 0; i < VMS; i++) {
			long kb = read_memory_kb(vms[i].pid);

			if (kb > peak_kb[i])
				peak_kb[i] = kb;
			if (kb <= MEMORY_MB * 1024L)
				continue;
			record("platform: %s uses %ld kB, more than %d MB, and "
			       "is killed",
			       vms[i].name, kb, MEMORY_MB);
			kill(vms[i].pid, SIGKILL);
			while (!entry_has_ended(&vms[i]))
				sleep_ms(1);
			ends[i]++;
			sleep_ms(RESTART_MS);
			entry_start(&vms[i], vms[i].name, vms[i].zone);
		}
	}
	return context;
}

static bool send_request(struct link *link, const char *method,
			 const char *path, const char *id)
{
	return write_text(link->fd,
			  "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
			  "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
			  "Content-Length: 0\r\n\r\n",
			  method, path, id, DEADLINE_MS);
}

struct lookup {
	const struct entry_vm *vm;
	int round;
	int number;
};

/* Reads an answer as fast as it comes, until the deadline. */
static void *run_lookup(void *context)
{
	struct lookup *lookup = context;
	struct link *link = calloc(1, sizeof(*link));
	char *buffer = malloc(READ_BYTES);
	int64_t began_ms = now_ms();
	size_t have = 0;
	ssize_t got = 1;
	char id[64];

	snprintf(id, sizeof(id), "note-%s-%d-%d", lookup->vm->name,
		 lookup->round, lookup->number);
	link->fd = connect_to(lookup->vm->request_port, 0, 0);
	record("caller: %s is sent", id);
	if (link->fd < 0 || !send_request(link, "GET", "/note/7", id))
		got = 0;
	while (got > 0 && now_ms() - began_ms < DEADLINE_MS) {
		got = recv(link->fd, buffer, READ_BYTES, 0);
		have += got > 0 ? (size_t)got : 0;
		if (!case_has_trouble())
			break;
	}
	record("caller: %s has got %zu bytes%s", id, have,
	       got > 0 ? "" : ", the connection is closed");
	close(link->fd);
	free(buffer);
	free(link);
	free(lookup);
	pthread_mutex_lock(&lock);
	lookups_left--;
	pthread_mutex_unlock(&lock);
	return NULL;
}

/* Places orders on a kept connection to a VM, at a server without trouble. */
static void *run_orders(void *context)
{
	const struct entry_vm *vm = context;
	struct link *link = calloc(1, sizeof(*link));
	struct message *response = calloc(1, sizeof(*response));
	int number = 0;
	char id[64];

	link->fd = -1;
	while (!stopping) {
		if (link->fd < 0)
			link->fd = connect_to(vm->request_port, 0, 0);
		if (link->fd < 0) {
			sleep_ms(100);
			continue;
		}
		link->used = 0;
		snprintf(id, sizeof(id), "order-%s-%d", vm->name, ++number);
		if (send_request(link, "POST", "/order/1", id) &&
		    read_head(link, response) && read_body(link, response)) {
			free(response->body);
			continue;
		}
		if (!stopping) {
			record("caller: %s has no answer, the connection is "
			       "closed",
			       id);
			orders_lost++;
		}
		close(link->fd);
		link->fd = -1;
	}
	return NULL;
}

static void run_round(int round)
{
	int i;
	int k;

	lookups_left = VMS * LOOKUPS;
	for (i = 0; i < VMS; i++)
		for (k = 0; k < LOOKUPS; k++) {
			struct lookup *lookup = calloc(1, sizeof(*lookup));

			lookup->vm = &vms[i];
			lookup->round = round;
			lookup->number = k;
			start_thread(run_lookup, lookup);
		}
	while (lookups_left)
		sleep_ms(50);
	sleep_ms(2 * RESTART_MS);
	for (i = 0; i < VMS; i++)
		entry_wait_ready(&vms[i]);
	sleep_ms(500);
}

int main(void)
{
	uint16_t ports[2];
	int broken = 0;
	int i;

	case_begin();
	store_start();
	store_put("op/config", config);
	for (i = 0; i < 2; i++)
		serve_connections(listen_anywhere(&ports[i]), serve, NULL);
	store_put_server("server-1", "counter", "leic-a", ports[0], 9, 1);
	store_put_server("server-2", "docket", "leic-a", ports[1], 9, 1);
	entry_start(&vms[0], "entry-1", "leic-a");
	entry_start(&vms[1], "entry-2", "leic-b");
	for (i = 0; i < VMS; i++)
		entry_wait_ready(&vms[i]);
	start_thread(run_platform, NULL);
	for (i = 0; i < VMS; i++)
		start_thread(run_orders, &vms[i]);
	for (i = 1; i <= ROUNDS; i++)
		run_round(i);
	stopping = true;
	sleep_ms(RESTART_MS + 200);
	for (i = 0; i < VMS; i++) {
		record("%s was ended %d times, %d are allowed; its peak was "
		       "%ld kB",
		       vms[i].name, ends[i], ENDS_MAX, peak_kb[i]);
		broken += ends[i] > ENDS_MAX;
	}
	record("%d orders at the other server have no answer", orders_lost);
	case_end(broken == VMS ? RULE_BROKEN : RULE_HELD);
}
