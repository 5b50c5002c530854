/*
 * Callers download statements and read them slowly, while the entry VMs are
 * stopped and started in turn. Writes a record and judges it.
 *
 * Usage: standin FOLDER RECORD ENTRY-PROGRAM; with TROUBLE=0 in the environment,
 * no entry VM is stopped.
 * Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
#include "common.h"

#define CALLERS_PER_VM 4
#define CALLERS (VMS * CALLERS_PER_VM)
#define BODY_BYTES 540000
/* A caller reads all of it in 4.5 s. */
#define READ_BYTES_PER_S 120000
#define READ_BYTES 6000
#define WORK_MS 300
#define DEADLINE_MS 12000
#define TIMEOUT_MS 6000
#define GRACE_MS 6000
/* SIGTERM comes this long after the requests, while servers work on them. */
#define STOP_AFTER_MS 150
#define ROUND_MS 8000

struct download {
	struct request *request;
	struct vm *vm;
	int64_t sent_ms;
	int64_t end_ms;
	size_t body_bytes; /* received */
	size_t length;	   /* as the answer's head says */
	bool done;
};

static struct download downloads[VMS][CALLERS];
static int64_t stopped_ms[VMS];
static int64_t answered_ms[REQUESTS_MAX]; /* the server has sent all of it */

static bool serve_request(struct connection *c, const struct message *m)
{
	static const char piece[] = "statement line\n";
	struct server *s = c->server;
	char expected[64];
	char id[64];
	char *text;
	size_t bytes;
	size_t i;
	bool sent;

	get_header(m, "Request-Id", id, sizeof(id));
	get_header(m, "Expect-Instance", expected, sizeof(expected));
	text = malloc(BODY_BYTES + 1024);
	if (strcmp(expected, s->id)) {
		bytes = (size_t)sprintf(text,
					"HTTP/1.1 421 X\r\nRequest-Id: %s\r\n"
					"Content-Length: 0\r\n\r\n",
					id);
		sent = write_all(c->reader.fd, text, bytes);
		free(text);
		return sent;
	}
	if (!run_request(c, id)) {
		free(text);
		return false;
	}
	bytes = (size_t)
		sprintf(text,
			"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			"Response-Stamp: 3e1b.07.c9f2\r\nBackend-Load: 0,0,%d\r\n"
			"Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n",
			id, s->slots, BODY_BYTES);
	for (i = 0; i < BODY_BYTES; i++)
		text[bytes + i] = piece[i % (sizeof(piece) - 1)];
	sent = write_all(c->reader.fd, text, bytes + BODY_BYTES);
	free(text);
	answered_ms[atoi(id + 3)] = now_ms();
	record("%s %s at server %s: its answer of %d bytes",
	       sent ? "has sent    " : "cannot send ", id, s->id, BODY_BYTES);
	return sent;
}

/* A connection as over a network: small segments, a small window. */
static int connect_slowly(int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	int window = 8192;
	int segment = 1400;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Reads an answer to its end, or to that of the connection, at the rate. */
static void read_slowly(int fd, struct download *d)
{
	struct message *m = calloc(1, sizeof(*m));
	char data[READ_BYTES];
	char text[64];
	size_t head = 0;
	size_t got = 0;
	int64_t begin_ms = 0;

	for (;;) {
		ssize_t n = recv(fd, data, sizeof(data), 0);
		char *end;

		if (n <= 0)
			break;
		if (!begin_ms)
			begin_ms = now_ms();
		if (!head) {
			/* the head comes in one piece */
			end = memmem(data, (size_t)n, "\r\n\r\n", 4);
			if (!end)
				break;
			head = (size_t)(end - data) + 4;
			memcpy(m->head, data, head);
			sscanf(m->head, "HTTP/1.1 %d", &d->request->status);
			get_header(m, "Content-Length", text, sizeof(text));
			d->length = strtoul(text, NULL, 10);
		}
		got += (size_t)n;
		if (got >= head + d->length)
			break;
		sleep_ms(begin_ms + (int64_t)(got * 1000 / READ_BYTES_PER_S) -
			 now_ms());
	}
	d->body_bytes = got > head ? got - head : 0;
	free(m);
}

static void *run_caller(void *context)
{
	struct download *d = context;
	struct request *q = d->request;
	char text[512];
	int fd = connect_slowly(d->vm->front);

	snprintf(text, sizeof(text),
		 "GET /statement/%s HTTP/1.1\r\nHost: a.example\r\n"
		 "Request-Id: %s\r\nCookie: Affinity-Key=%s\r\n"
		 "Deadline-Ms: %d\r\n\r\n",
		 q->id, q->id, q->id, DEADLINE_MS);
	d->sent_ms = now_ms();
	record("sent         %s to %s", q->id, d->vm->name);
	if (fd >= 0 && write_all(fd, text, strlen(text)))
		read_slowly(fd, d);
	d->end_ms = now_ms();
	record("%s %s: status %d, %zu of %zu bytes, %lld ms after it was sent",
	       d->length && d->body_bytes == d->length ? "answered    "
						       : "broken off  ",
	       q->id, q->status, d->body_bytes, d->length,
	       (long long)(d->end_ms - d->sent_ms));
	if (fd >= 0)
		close(fd);
	d->done = true;
	return NULL;
}

static void stop_vm(int i)
{
	stopped_ms[i] = now_ms();
	record("SIGTERM      %s", vms[i].name);
	kill(vms[i].pid, SIGTERM);
}

/* Waits until the entry VM has exited, for as long as the platform would. */
static void await_exit(int i)
{
	int64_t end_ms = stopped_ms[i] + GRACE_MS;

	while (!waitpid(vms[i].pid, NULL, WNOHANG)) {
		if (now_ms() >= end_ms) {
			record("SIGKILL      %s", vms[i].name);
			kill(vms[i].pid, SIGKILL);
			waitpid(vms[i].pid, NULL, 0);
			break;
		}
		sleep_ms(10);
	}
	record("exited       %s, %lld ms after SIGTERM", vms[i].name,
	       (long long)(now_ms() - stopped_ms[i]));
	vms[i].pid = 0;
}

/* @return whether an entry VM was started that gets ready. */
static bool start_vm_again(int i)
{
	int64_t end_ms = now_ms() + 10000;

	start_vm(&vms[i]);
	while (!is_ready(&vms[i])) {
		if (now_ms() > end_ms)
			return false;
		sleep_ms(100);
	}
	return true;
}

/* Each caller downloads a statement; one entry VM is stopped. */
static bool play_round(int round, bool sound)
{
	int64_t end_ms = now_ms() + ROUND_MS;
	int i;

	for (i = 0; i < CALLERS; i++) {
		downloads[round][i].request = new_request(false);
		downloads[round][i].vm = &vms[i % VMS];
		start_thread(run_caller, &downloads[round][i]);
	}
	sleep_ms(STOP_AFTER_MS);
	if (!sound) {
		stop_vm(round);
		await_exit(round);
	}
	while (now_ms() < end_ms)
		sleep_ms(10);
	return sound || start_vm_again(round);
}

/* Counts the answers that the rule counts as lost. */
static int judge(int *whole)
{
	int broken = 0;
	int round;
	int i;

	*whole = 0;
	for (round = 0; round < VMS; round++)
		for (i = 0; i < CALLERS; i++) {
			struct download *d = &downloads[round][i];
			struct request *q = d->request;
			int64_t answered = answered_ms[atoi(q->id + 3)];
			int64_t stopped = stopped_ms[round];

			if (d->done && d->length && d->body_bytes == d->length) {
				++*whole;
				continue;
			}
			/* the server has sent all, and there was time left */
			if (d->vm != &vms[round] || !stopped || !answered ||
			    d->end_ms > stopped + GRACE_MS ||
			    d->end_ms > d->sent_ms + TIMEOUT_MS)
				continue;
			broken++;
			record("BROKEN LOST: the answer to %s ended after %zu "
			       "of %zu bytes, %lld ms after SIGTERM of %s, %lld "
			       "ms after the server had sent all of it",
			       q->id, d->body_bytes, d->length,
			       (long long)(d->end_ms - stopped), d->vm->name,
			       (long long)(d->end_ms - answered));
		}
	record("total        %d downloads, %d whole; %d broken", VMS * CALLERS,
	       *whole, broken);
	return broken;
}

static const char config[] =
	"{\"Version\":\"00000007\",\"Routes\":{"
	"\"statement\":{\"Host\":\"a.example\",\"Prefix\":\"/statement/\","
	"\"Kind\":\"download\",\"TimeoutMs\":6000,\"TargetLatencyMs\":1500,"
	"\"Priority\":1,\"Service\":\"ledger\",\"MaxAttempts\":2,"
	"\"Sticky\":true,\"HomeRegions\":[]}},\"Services\":{\"ledger\":"
	"{\"HealthPath\":\"/health\",\"MaxConns\":1620,\"ColdStartS\":3.0,"
	"\"ColdPerS\":3.6}},\"Limits\":{\"MaxHeaderBytes\":16384,"
	"\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
	"\"IdleTimeoutMs\":15000}}";

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	const bool sound = trouble && !strcmp(trouble, "0");
	bool started;
	int broken;
	int whole;
	int i;

	if (argc != 4) {
		fprintf(stderr, "usage: standin FOLDER RECORD ENTRY-PROGRAM\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	start_ms = clock_ms();
	record_file = fopen(argv[2], "w");
	if (!record_file)
		return 2;
	entry_program = argv[3];
	started = start_deployment(argv[1], config, WORK_MS);
	/* calm for StabilityWindowMs and more before each round */
	for (i = 0; started && i < VMS; i++) {
		sleep_ms(5000);
		started = play_round(i, sound);
	}
	if (!started) {
		record("the entry VMs are not ready");
		stop_vms();
		return 2;
	}
	sleep_ms(1000);
	stop_vms();
	broken = judge(&whole);
	fclose(record_file);
	if (broken)
		return 1;
	return whole ? 0 : 2;
}
