/*
 * Stand-ins for one small deployment in one process: the platform's store, the
 * operator and backend servers; starts the entry VMs as processes of their own.
 * A case includes this file, and adds what its servers and callers do.
 */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384
#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define LEASES_MAX 256
#define REQUESTS_MAX 40000
#define VMS 3
#define SERVERS 6
#define ZONES 3

/* ---------------------------------------------------------------- time, log */

static int64_t start_ms;

static int64_t clock_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int64_t now_ms(void)
{
	return clock_ms() - start_ms;
}

static void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

__attribute__((format(printf, 1, 2))) static void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	pthread_mutex_unlock(&record_lock);
}

static double draw(uint64_t *state)
{
	*state = *state * 6364136223846793005u + 1442695040888963407u;
	return (double)(*state >> 11) / (double)(UINT64_C(1) << 53);
}

/* ------------------------------------------------------------------ sockets */

static bool write_all(int fd, const char *data, size_t bytes)
{
	while (bytes) {
		ssize_t n = send(fd, data, bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		bytes -= (size_t)n;
	}
	return true;
}

/* @param port 0: any. @return -1 if the port is taken. */
static int try_listen(int *port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(a);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)*port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 511) ||
	    getsockname(fd, (struct sockaddr *)&a, &bytes)) {
		close(fd);
		return -1;
	}
	*port = ntohs(a.sin_port);
	return fd;
}

static int listen_on(int *port)
{
	int fd = try_listen(port);

	if (fd < 0) {
		perror("listen");
		exit(2);
	}
	return fd;
}

/* A free port for a process that this one starts: below those that the kernel
 * gives to connections, so that none takes it meanwhile. */
static int free_port(void)
{
	static int next;
	int port;
	int fd;

	if (!next)
		next = 12000 + getpid() % 16000;
	do {
		if (++next == 32000)
			next = 12000;
		port = next;
		fd = try_listen(&port);
	} while (fd < 0);
	close(fd);
	return port;
}

static int connect_to(int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	a.sin_port = htons((uint16_t)port);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* ----------------------------------------------------------------- messages */

struct message {
	char head[HEAD_MAX];
	char line[2048];
	char *body;
	size_t body_bytes;
};

struct reader {
	int fd;
	char data[65536];
	size_t bytes;
};

static bool fill(struct reader *r)
{
	ssize_t n;

	if (r->bytes == sizeof(r->data))
		return false;
	n = recv(r->fd, r->data + r->bytes, sizeof(r->data) - r->bytes, 0);
	if (n <= 0)
		return false;
	r->bytes += (size_t)n;
	return true;
}

static bool get_header(const struct message *m, const char *name, char *out,
		       size_t bytes)
{
	const char *at = m->head;
	size_t length = strlen(name);

	*out = '\0';
	while ((at = strstr(at, "\r\n"))) {
		at += 2;
		if (strncasecmp(at, name, length) || at[length] != ':')
			continue;
		at += length + 1;
		at += strspn(at, " ");
		snprintf(out, bytes, "%.*s", (int)strcspn(at, "\r"), at);
		return true;
	}
	return false;
}

/* Reads a message whose body has a length, or none. */
static bool read_message(struct reader *r, struct message *m)
{
	char text[64];
	char *end;
	size_t head;

	free(m->body);
	m->body = NULL;
	m->body_bytes = 0;
	while (!(end = memmem(r->data, r->bytes, "\r\n\r\n", 4)))
		if (!fill(r))
			return false;
	head = (size_t)(end - r->data) + 4;
	if (head >= sizeof(m->head))
		return false;
	memcpy(m->head, r->data, head);
	m->head[head] = '\0';
	snprintf(m->line, sizeof(m->line), "%.*s", (int)strcspn(m->head, "\r"),
		 m->head);
	memmove(r->data, r->data + head, r->bytes - head);
	r->bytes -= head;
	if (get_header(m, "Content-Length", text, sizeof(text)))
		m->body_bytes = strtoul(text, NULL, 10);
	m->body = calloc(1, m->body_bytes + 1);
	for (head = 0; head < m->body_bytes;) {
		size_t part = m->body_bytes - head;

		if (part > r->bytes)
			part = r->bytes;
		memcpy(m->body + head, r->data, part);
		memmove(r->data, r->data + part, r->bytes - part);
		r->bytes -= part;
		head += part;
		if (head < m->body_bytes && !r->bytes && !fill(r))
			return false;
	}
	return true;
}

/* -------------------------------------------------------------------- store */

struct item {
	char key[200];
	char value[8192]; /* base64 */
	uint64_t revision;
	uint64_t lease;
	bool removed;
};

struct lease {
	uint64_t id;
	int64_t until_ms;
	int64_t ttl_ms;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct item items[ITEMS_MAX];
	int item_count;
	struct item *events[EVENTS_MAX];
	int event_count;
	struct lease leases[LEASES_MAX];
	int lease_count;
	uint64_t revision;
	int port;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER,
	    .revision = 100 };

static void add_event(const struct item *item)
{
	if (store.event_count == EVENTS_MAX)
		exit(2);
	store.events[store.event_count] = malloc(sizeof(*item));
	*store.events[store.event_count++] = *item;
	pthread_cond_broadcast(&store.changed);
}

static void store_put_value(const char *key, const char *value, uint64_t lease)
{
	int i;

	for (i = 0; i < store.item_count; i++)
		if (!strcmp(store.items[i].key, key))
			break;
	if (i == ITEMS_MAX)
		exit(2);
	if (i == store.item_count)
		store.item_count++;
	snprintf(store.items[i].key, sizeof(store.items[i].key), "%s", key);
	snprintf(store.items[i].value, sizeof(store.items[i].value), "%s", value);
	store.items[i].revision = ++store.revision;
	store.items[i].lease = lease;
	store.items[i].removed = false;
	add_event(&store.items[i]);
}

static void store_remove_at(int i)
{
	struct item gone = store.items[i];

	gone.revision = ++store.revision;
	gone.removed = true;
	store.items[i] = store.items[--store.item_count];
	add_event(&gone);
}

static void base64(const char *text, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t bytes = strlen(text);
	size_t i;

	for (i = 0; i < bytes; i += 3) {
		size_t left = bytes - i;
		uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

		v |= left > 1 ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
		v |= left > 2 ? (uint32_t)(unsigned char)text[i + 2] : 0;
		*out++ = digits[v >> 18];
		*out++ = digits[v >> 12 & 63];
		*out++ = left > 1 ? digits[v >> 6 & 63] : '=';
		*out++ = left > 2 ? digits[v & 63] : '=';
	}
	*out = '\0';
}

/* Writes on behalf of the operator or a backend server. */
static void store_put(const char *key, const char *text)
{
	char value[8192];

	base64(text, value);
	pthread_mutex_lock(&store.lock);
	store_put_value(key, value, 0);
	pthread_mutex_unlock(&store.lock);
}

static void end_lease_locked(uint64_t id)
{
	int i;

	for (i = store.item_count - 1; i >= 0; i--)
		if (store.items[i].lease == id)
			store_remove_at(i);
	for (i = 0; i < store.lease_count; i++)
		if (store.leases[i].id == id)
			store.leases[i] = store.leases[--store.lease_count];
}

static struct lease *find_lease(uint64_t id)
{
	int i;

	for (i = 0; i < store.lease_count; i++)
		if (store.leases[i].id == id)
			return &store.leases[i];
	return NULL;
}

static void *expire_leases(void *unused)
{
	int i;

	(void)unused;
	for (;;) {
		sleep_ms(50);
		pthread_mutex_lock(&store.lock);
		for (i = store.lease_count - 1; i >= 0; i--)
			if (store.leases[i].until_ms <= now_ms())
				end_lease_locked(store.leases[i].id);
		pthread_mutex_unlock(&store.lock);
	}
	return NULL;
}

/* Decodes a parameter of the query. */
static bool get_query(const char *line, const char *name, char *out, size_t bytes)
{
	const char *at = strchr(line, '?');
	size_t length = strlen(name);
	size_t n = 0;

	*out = '\0';
	while (at && *at && *at != ' ') {
		at++;
		if (!strncmp(at, name, length) && at[length] == '=')
			break;
		at += strcspn(at, "& ");
	}
	if (!at || strncmp(at, name, length) || at[length] != '=')
		return false;
	for (at += length + 1; *at && *at != '&' && *at != ' '; at++) {
		unsigned int code;

		if (n + 1 >= bytes)
			return false;
		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			out[n++] = (char)code;
			at += 2;
		} else {
			out[n++] = *at;
		}
	}
	out[n] = '\0';
	return true;
}

static void print_item(FILE *out, const struct item *item, bool first)
{
	if (item->removed)
		fprintf(out,
			"%s{\"Key\":\"%s\",\"Revision\":%llu,"
			"\"Removed\":true}",
			first ? "" : ",", item->key,
			(unsigned long long)item->revision);
	else
		fprintf(out,
			"%s{\"Key\":\"%s\",\"Value\":\"%s\","
			"\"Revision\":%llu,\"Created\":%llu,"
			"\"Lease\":%llu}",
			first ? "" : ",", item->key, item->value,
			(unsigned long long)item->revision,
			(unsigned long long)item->revision,
			(unsigned long long)item->lease);
}

static void answer_range(const char *line, FILE *out)
{
	char prefix[256];
	bool first = true;
	int i;

	get_query(line, "Prefix", prefix, sizeof(prefix));
	fprintf(out, "{\"items\":[");
	for (i = 0; i < store.item_count; i++) {
		if (strncmp(store.items[i].key, prefix, strlen(prefix)))
			continue;
		print_item(out, &store.items[i], first);
		first = false;
	}
	fprintf(out, "],\"Truncated\":false,\"CurrentRev\":%llu}",
		(unsigned long long)store.revision);
}

static bool print_events(const char *prefix, uint64_t after, FILE *out)
{
	bool first = true;
	int i;

	for (i = 0; i < store.event_count; i++) {
		if (store.events[i]->revision <= after ||
		    strncmp(store.events[i]->key, prefix, strlen(prefix)))
			continue;
		if (out)
			print_item(out, store.events[i], first);
		first = false;
	}
	return !first;
}

static void answer_watch(const char *line, FILE *out)
{
	char prefix[256];
	char text[64];
	struct timespec until;
	uint64_t after;
	long wait;

	get_query(line, "Prefix", prefix, sizeof(prefix));
	get_query(line, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	get_query(line, "WaitMs", text, sizeof(text));
	wait = strtol(text, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait / 1000;
	until.tv_nsec += wait % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (!print_events(prefix, after, NULL))
		if (pthread_cond_timedwait(&store.changed, &store.lock, &until))
			break;
	fprintf(out, "{\"events\":[");
	print_events(prefix, after, out);
	fprintf(out, "],\"CurrentRev\":%llu}",
		(unsigned long long)store.revision);
}

static bool get_string(const char *json, const char *name, char *out, size_t bytes)
{
	char wanted[64];
	const char *at;

	snprintf(wanted, sizeof(wanted), "\"%s\":", name);
	at = strstr(json, wanted);
	if (!at)
		return false;
	at += strlen(wanted);
	at += strspn(at, " \"");
	snprintf(out, bytes, "%.*s", (int)strcspn(at, "\",}"), at);
	return true;
}

/* The system writes one key at a time, without a condition. */
static int do_txn(const char *body, FILE *out)
{
	char key[200];
	char value[8192];
	char lease[32];

	if (!get_string(body, "Key", key, sizeof(key)) ||
	    !get_string(body, "Value", value, sizeof(value)) ||
	    !get_string(body, "Lease", lease, sizeof(lease)))
		return 400;
	if (!strncmp(key, "op/", 3) || !strncmp(key, "servers/", 8))
		return 403;
	if (strtoull(lease, NULL, 10) && !find_lease(strtoull(lease, NULL, 10)))
		return 404;
	store_put_value(key, value, strtoull(lease, NULL, 10));
	fprintf(out, "{\"Revision\":%llu}", (unsigned long long)store.revision);
	return 200;
}

static int grant_lease(const char *body, FILE *out)
{
	static uint64_t last = 500;
	struct lease *lease;
	char ttl[32];

	if (!get_string(body, "TtlMs", ttl, sizeof(ttl)) ||
	    store.lease_count == LEASES_MAX)
		return 400;
	lease = &store.leases[store.lease_count++];
	lease->id = ++last;
	lease->ttl_ms = strtol(ttl, NULL, 10);
	lease->until_ms = now_ms() + lease->ttl_ms;
	fprintf(out, "{\"Lease\":%llu,\"TtlMs\":%lld}",
		(unsigned long long)lease->id, (long long)lease->ttl_ms);
	return 200;
}

static int store_call(const struct message *m, FILE *out)
{
	const char *path = strchr(m->line, '/');
	struct lease *lease;

	if (!strncmp(path, "/kv-range?", 10)) {
		answer_range(m->line, out);
	} else if (!strncmp(path, "/kv-watch?", 10)) {
		answer_watch(m->line, out);
	} else if (!strncmp(path, "/kv-txn", 7)) {
		return do_txn(m->body, out);
	} else if (!strncmp(path, "/kv-keep/", 9)) {
		lease = find_lease(strtoull(path + 9, NULL, 10));
		if (!lease)
			return 404;
		lease->until_ms = now_ms() + lease->ttl_ms;
		fprintf(out, "{\"TtlMs\":%lld}", (long long)lease->ttl_ms);
	} else if (!strncmp(path, "/kv-lease-end/", 14)) {
		end_lease_locked(strtoull(path + 14, NULL, 10));
		fprintf(out, "{}");
	} else if (!strncmp(path, "/kv-lease", 9)) {
		return grant_lease(m->body, out);
	} else {
		return 400;
	}
	return 200;
}

static void *serve_store(void *context)
{
	struct reader r = { .fd = (int)(intptr_t)context };
	struct message *m = calloc(1, sizeof(*m));

	while (read_message(&r, m)) {
		char *body = NULL;
		size_t bytes = 0;
		FILE *out = open_memstream(&body, &bytes);
		char head[256];
		int status;

		pthread_mutex_lock(&store.lock);
		status = store_call(m, out);
		pthread_mutex_unlock(&store.lock);
		fclose(out);
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
			 status, bytes);
		if (!write_all(r.fd, head, strlen(head)) ||
		    !write_all(r.fd, body, bytes)) {
			free(body);
			break;
		}
		free(body);
	}
	close(r.fd);
	free(m->body);
	free(m);
	return NULL;
}

/* ----------------------------------------------------------------- requests */

struct request {
	char id[24];
	bool order;
	int status; /* 0: no answer */
	int runs;
	char run_at[64];
};

static struct request requests[REQUESTS_MAX];
static int request_count;
static pthread_mutex_t requests_lock = PTHREAD_MUTEX_INITIALIZER;

static struct request *new_request(bool order)
{
	struct request *r = NULL;

	pthread_mutex_lock(&requests_lock);
	if (request_count < REQUESTS_MAX) {
		r = &requests[request_count];
		snprintf(r->id, sizeof(r->id), "req%06d", request_count++);
		r->order = order;
	}
	pthread_mutex_unlock(&requests_lock);
	return r;
}

static void count_run(const char *id, const char *server)
{
	int i = atoi(id + 3);

	pthread_mutex_lock(&requests_lock);
	if (i >= 0 && i < request_count && !strcmp(requests[i].id, id)) {
		requests[i].runs++;
		snprintf(requests[i].run_at + strlen(requests[i].run_at),
			 sizeof(requests[i].run_at) - strlen(requests[i].run_at),
			 " %s", server);
	}
	pthread_mutex_unlock(&requests_lock);
}

/* ----------------------------------------------------------- backend servers */

struct server {
	char id[24];
	char zone[16];
	int port;
	int slots;
	int work_ms;
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	int running;
	int waiting;
	uint64_t random;
	double refuse_share;	/* of the requests that it could run */
	double second_share;	/* of the answers: sent a second time */
	uint64_t answers;	/* while it does so */
	uint64_t second_copies; /* sent */
};

static struct server servers[SERVERS];

struct connection {
	struct server *server;
	struct reader reader;
	char copy[4096]; /* of an answer that is sent once more; "": none */
};

static bool is_closed(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char byte;

	return poll(&p, 1, 0) > 0 &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/* Works on a request; drops it when its connection closes. */
static bool work(struct connection *c, int ms)
{
	int64_t end = now_ms() + ms;

	while (now_ms() < end) {
		if (is_closed(c->reader.fd))
			return false;
		sleep_ms(end - now_ms() < 2 ? end - now_ms() : 2);
	}
	return true;
}

/* @return whether the run has ended; if not, the connection has closed. */
static bool run_request(struct connection *c, const char *id)
{
	struct server *s = c->server;
	bool done;

	pthread_mutex_lock(&s->lock);
	s->waiting++;
	while (s->running >= s->slots)
		pthread_cond_wait(&s->slot_free, &s->lock);
	s->waiting--;
	s->running++;
	pthread_mutex_unlock(&s->lock);
	count_run(id, s->id);
	record("runs         %s at server %s", id, s->id);
	done = work(c, s->work_ms);
	pthread_mutex_lock(&s->lock);
	s->running--;
	pthread_cond_signal(&s->slot_free);
	pthread_mutex_unlock(&s->lock);
	if (!done)
		record("dropped      %s at server %s: its connection closed",
		       id, s->id);
	else
		record("has run      %s at server %s", id, s->id);
	return done;
}

/* How the servers of a case answer. @return whether the connection goes on. */
static bool serve_request(struct connection *c, const struct message *m);

static void *serve_connection(void *context)
{
	struct connection *c = context;
	struct message *m = calloc(1, sizeof(*m));

	while (read_message(&c->reader, m) && serve_request(c, m))
		;
	close(c->reader.fd);
	free(m->body);
	free(m);
	free(c);
	return NULL;
}

struct listener {
	int fd;
	struct server *server; /* NULL: the store */
};

static void start_thread(void *(*run)(void *), void *context)
{
	pthread_t thread;
	pthread_attr_t attributes;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, context))
		exit(2);
	pthread_attr_destroy(&attributes);
}

static void *accept_all(void *context)
{
	struct listener *l = context;
	int one = 1;

	for (;;) {
		int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
		struct connection *c;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (!l->server) {
			start_thread(serve_store, (void *)(intptr_t)fd);
			continue;
		}
		c = calloc(1, sizeof(*c));
		c->server = l->server;
		c->reader.fd = fd;
		start_thread(serve_connection, c);
	}
	return NULL;
}

static void start_listener(int fd, struct server *server)
{
	struct listener *l = calloc(1, sizeof(*l));

	l->fd = fd;
	l->server = server;
	start_thread(accept_all, l);
}

static void start_server(int i, int slots, int work_ms)
{
	struct server *s = &servers[i];
	char key[64];
	char entry[512];
	int fd;

	snprintf(s->id, sizeof(s->id), "s%d", i + 1);
	snprintf(s->zone, sizeof(s->zone), "z%d", i % ZONES + 1);
	s->slots = slots;
	s->work_ms = work_ms;
	s->random = (uint64_t)i + 17;
	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->slot_free, NULL);
	fd = listen_on(&s->port);
	start_listener(fd, s);
	snprintf(key, sizeof(key), "servers/%s", s->id);
	snprintf(entry, sizeof(entry),
		 "{\"Address\":\"127.0.0.1:%d\",\"Info\":{\"Service\":\"ledger\","
		 "\"Version\":\"v1\",\"Zone\":\"%s\",\"Slots\":%d},\"Status\":"
		 "{\"State\":\"ready\",\"Seq\":1,\"ColdLeftMs\":0},"
		 "\"born\":1733286148000}",
		 s->port, s->zone, s->slots);
	store_put(key, entry);
}

/* ---------------------------------------------------------------- entry VMs */

struct vm {
	char name[16];
	char file[4096];
	char log[4096];
	int front;
	int ready;
	int directory;
	int metrics;
	int relay;
	int handoff;
	pid_t pid;
};

static struct vm vms[VMS];
static const char *entry_program;

static void write_settings(struct vm *vm, int index, const char *folder)
{
	FILE *f;

	snprintf(vm->name, sizeof(vm->name), "vm%d", index + 1);
	snprintf(vm->file, sizeof(vm->file), "%.4000s/%s.json", folder, vm->name);
	snprintf(vm->log, sizeof(vm->log), "%.4000s/%s.log", folder, vm->name);
	vm->front = free_port();
	vm->ready = free_port();
	vm->directory = free_port();
	vm->metrics = free_port();
	vm->relay = free_port();
	vm->handoff = free_port();
	f = fopen(vm->file, "w");
	if (!f)
		exit(2);
	fprintf(f,
		"{\"name\":\"%s\",\"region\":\"kingston\","
		"\"failure_domain\":\"z%d\",\"failure_domains\":["
		"{\"name\":\"z1\",\"region\":\"kingston\"},"
		"{\"name\":\"z2\",\"region\":\"kingston\"},"
		"{\"name\":\"z3\",\"region\":\"kingston\"}],"
		"\"request_address\":\"127.0.0.1:%d\","
		"\"ready_address\":\"127.0.0.1:%d\","
		"\"directory_address\":\"127.0.0.1:%d\","
		"\"metrics_address\":\"127.0.0.1:%d\","
		"\"relay_address\":\"127.0.0.1:%d\","
		"\"handoff_address\":\"127.0.0.1:%d\","
		"\"link_mbps\":\"200.0\",\"cpu_share\":\"0.5\","
		"\"store_address\":\"127.0.0.1:%d\",\"store_history_s\":20,"
		"\"bounds\":\"SeedLagS=3,ReuseAfterS=2,StabilityWindowMs=4000,"
		"AckMs=6000,CatchUpS=6,DrainMs=3000,GraceS=6,LossSlackMs=200,"
		"ConfigApplyMs=3000,RollbackSlackMs=250,MaxStretchMs=6000,"
		"BudgetRatio=0.2,BudgetWindowS=10,BudgetExtra=200,ColdOver=1.5,"
		"ColdSlack=8,EvacuateMs=5000,RecoverS=15,ttl_max_s=5,"
		"MaxShift=0.15\",\"first_start\":true,\"log_level\":\"info\"}\n",
		vm->name, index % ZONES + 1, vm->front, vm->ready,
		vm->directory, vm->metrics, vm->relay, vm->handoff, store.port);
	fclose(f);
}

static void start_vm(struct vm *vm)
{
	vm->pid = fork();
	if (vm->pid < 0)
		exit(2);
	if (!vm->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("AUBURNREACH_CONFIG", vm->file, 1);
		if (!freopen(vm->log, "a", stdout) || dup2(1, 2) < 0)
			_exit(126);
		execl(entry_program, entry_program, (char *)NULL);
		_exit(127);
	}
}

static void stop_vms(void)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (vms[i].pid > 0) {
			kill(vms[i].pid, SIGKILL);
			waitpid(vms[i].pid, NULL, 0);
			vms[i].pid = 0;
		}
}

static bool is_ready(const struct vm *vm)
{
	struct reader *r = calloc(1, sizeof(*r));
	struct message *m = calloc(1, sizeof(*m));
	static const char get[] = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
	bool ready;

	r->fd = connect_to(vm->ready);
	ready = r->fd >= 0 && write_all(r->fd, get, strlen(get)) &&
		read_message(r, m) && strstr(m->line, " 200 ");
	if (r->fd >= 0)
		close(r->fd);
	free(m->body);
	free(m);
	free(r);
	return ready;
}

/* @return whether the entry VMs get ready. */
static bool start_vms(const char *folder)
{
	int64_t end = now_ms() + 12000;
	int i;

	for (i = 0; i < VMS; i++) {
		write_settings(&vms[i], i, folder);
		start_vm(&vms[i]);
	}
	for (i = 0; i < VMS; i++)
		while (!is_ready(&vms[i])) {
			if (now_ms() > end)
				return false;
			sleep_ms(100);
		}
	return true;
}

/* Starts all, and waits until the entry VMs are ready. */
static bool start_deployment(const char *folder, const char *config, int work_ms)
{
	int tries;
	int i;

	start_listener(listen_on(&store.port), NULL);
	start_thread(expire_leases, NULL);
	store_put("op/config", config);
	for (i = 0; i < SERVERS; i++)
		start_server(i, 9, work_ms);
	/* another process may take a free port before the entry VM does */
	for (tries = 0; tries < 3; tries++) {
		if (start_vms(folder))
			return true;
		stop_vms();
		sleep_ms(5000); /* their registrations end */
	}
	return false;
}

#endif
