#include "platform_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/attributes.h"
#include "base/clock.h"
#include "endless.h"
#include "limit_record.h"
#include "net/timer.h"

enum fault {
	FAULT_NONE,
	FAULT_REFUSE,
	FAULT_REFUSE_NO_ID,
	FAULT_LOSE,
	FAULT_CUT,
	FAULT_OTHER_ID,
	FAULT_UNSTAMPED,
	FAULT_LEAVING,
	FAULT_BUSY,
	FAULT_SLOW,
	FAULT_SLOW_NO_LOAD,
	FAULT_ENDLESS_HEAD,
	FAULT_ENDLESS_BODY,
	FAULT_ENDLESS_STAMPED,
	FAULT_ENDLESS_CHUNKS,
	FAULT_ENDLESS_INTERIM,
	FAULT_ENDLESS_TRAILER,
	FAULT_ENDLESS_RESPONSES,
};

static const char *const fault_names[] = {
	"none",
	"refuse",
	"refuse-no-id",
	"lose",
	"cut",
	"other-id",
	"unstamped",
	"leaving",
	"busy",
	"slow",
	"slow-no-load",
	"endless-head",
	"endless-body",
	"endless-stamped",
	"endless-chunks",
	"endless-interim",
	"endless-trailer",
	"endless-responses",
};

/* While the server is slow, other callers' requests are ahead for this time. */
#define SLOW_WAIT_MS 4000
/* Of a request that says nothing of its deadline. */
#define DEADLINE_DEFAULT_MS 60000
#define LIMIT_BYTES_MAX 64
#define STATE_BYTES 192

struct platform_server {
	struct event_base *base;
	struct platform_kv *kv;
	GHashTable *runs;
	struct responder *responder; /* NULL while `endless` takes its place */
	struct endless *endless;
	char *id;
	char *address;
	char *listed_address;
	char *service;
	char *failure_domain;
	uint32_t slots;
	uint32_t queue_max;
	uint32_t work_ms;
	uint32_t running;
	uint32_t waiting;
	uint32_t refused; /* requests, with 503 */
	uint32_t sequence;
	bool draining;
	int64_t drain_published_ms; /* when the store showed it as draining */
	json_t *late_runs;	    /* runs that began after that */
	struct limit_record *limit;
	enum fault fault;
	GQueue in_progress; /* of struct work */
};

struct work {
	struct platform_server *server;
	struct responder_request *request;
	struct event *timer; /* end of the wait or of the run */
	uint32_t allowed_ms; /* as the request says */
	int64_t deadline_ms; /* clock time */
	bool is_waiting;
	bool is_queued; /* waits for another one to end */
	bool is_late;	/* its deadline passes during the wait */
	bool outlasts;	/* its deadline passes during the run */
	char *id;
	char *method;
	char *target;
};

void platform_server_publish(struct platform_server *server)
{
	char *key = g_strconcat("servers/", server->id, NULL);
	char *value = g_strdup_printf(
		"{\"Address\":\"%s\",\"Info\":{\"Service\":\"%s\","
		"\"Version\":\"v1\",\"Zone\":\"%s\",\"Slots\":%u},"
		"\"Status\":{\"State\":\"%s\",\"Seq\":%u,\"ColdLeftMs\":0},"
		"\"born\":1733286148000}",
		server->listed_address, server->service, server->failure_domain,
		server->slots, server->draining ? "draining" : "ready",
		++server->sequence);

	platform_kv_put(server->kv, key, value);
	g_free(key);
	g_free(value);
}

static void begin_run(struct work *work);

static void start_deadline(struct work *work)
{
	work->deadline_ms = clock_now_ms(&clock_system) + work->allowed_ms;
}

/* Runs the request that has been in the queue for longest. */
static void run_next(struct platform_server *server)
{
	GList *link;

	if (server->running >= server->slots)
		return;
	for (link = server->in_progress.head; link; link = link->next) {
		struct work *work = link->data;

		if (!work->is_queued)
			continue;
		work->is_queued = false;
		work->is_waiting = false;
		server->waiting--;
		/* its time runs from when it is read */
		start_deadline(work);
		begin_run(work);
		return;
	}
}

static void work_free(struct work *work)
{
	struct platform_server *server = work->server;

	if (work->is_waiting)
		server->waiting--;
	else
		server->running--;
	g_queue_remove(&server->in_progress, work);
	event_free(work->timer);
	g_free(work->id);
	g_free(work->method);
	g_free(work->target);
	g_free(work);
	run_next(server);
}

/* Writes the headers that report the load and name the limit, if the server
 * does. */
static void format_state(const struct platform_server *server, char *line,
			 size_t bytes)
{
	const char *limit = limit_record_text(server->limit);
	uint32_t waiting = server->waiting;
	size_t used = 0;

	*line = '\0';
	if (*limit)
		used = (size_t)snprintf(line, bytes, "Server-Limit: %s\r\n",
					limit);
	if (server->fault == FAULT_SLOW)
		waiting += SLOW_WAIT_MS * server->slots / server->work_ms;
	if (server->fault != FAULT_SLOW_NO_LOAD)
		snprintf(line + used, bytes - used, "Backend-Load: %u,%u,%u\r\n",
			 server->running, waiting, server->slots);
}

/* Returns headers of the request in the response, under other names, so that a
 * test can detect what reaches a server. */
static void format_seen(const struct http_head *head, GString *out)
{
	static const char *const names[] = { "Authorization", "Tenant-Id" };
	uint32_t i;
	size_t k;

	for (i = 0; i < head->header_count; i++)
		for (k = 0; k < ARRAY_SIZE(names); k++)
			if (!strcasecmp(head->headers[i].name, names[k]))
				g_string_append_printf(out, "Seen-%s: %s\r\n",
						       names[k],
						       head->headers[i].value);
}

static void on_connection_closed(void *context)
{
	work_free(context);
}

static void finish_run(struct work *work)
{
	struct platform_server *server = work->server;
	struct evbuffer *body = evbuffer_new();
	GString *headers = g_string_new(NULL);
	char state[STATE_BYTES];

	format_state(server, state, sizeof(state));
	g_string_printf(headers, "Request-Id: %s\r\n%s%s",
			server->fault == FAULT_OTHER_ID ? "other" : work->id,
			state,
			server->fault == FAULT_UNSTAMPED ? ""
			: server->fault == FAULT_LEAVING
				? "Response-Stamp: s1\r\n"
				  "Server-Leaving: 1\r\n"
				: "Response-Stamp: s1\r\n");
	format_seen(work->request->head, headers);

	/* echo the request, so that a test can detect modifications */
	evbuffer_add_printf(body, "%s %s %s\n", server->id, work->method,
			    work->target);
	evbuffer_add_buffer(body, work->request->body);
	if (server->fault == FAULT_LOSE)
		responder_reset(work->request);
	else if (server->fault == FAULT_CUT)
		responder_reply_truncated(work->request, 200, headers->str,
					  body, evbuffer_get_length(body) / 2);
	else
		responder_reply(work->request, work->outlasts ? 504 : 200,
				headers->str, body);
	g_string_free(headers, TRUE);
	evbuffer_free(body);
	work_free(work);
}

static void record_run(struct platform_server *server, const char *request_id)
{
	GPtrArray *list = g_hash_table_lookup(server->runs, request_id);

	if (!list) {
		list = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(server->runs, g_strdup(request_id), list);
	}
	g_ptr_array_add(list, g_strdup(server->id));
}

static void record_arrival(struct platform_server *server, const char *request_id)
{
	if (server->draining)
		json_array_append_new(
			server->late_runs,
			json_pack("{s:s,s:s,s:I}", "id", request_id, "server",
				  server->id, "late_ms",
				  (json_int_t)(clock_now_ms(&clock_system) -
					       server->drain_published_ms)));
}

static void refuse(struct platform_server *server,
		   struct responder_request *request)
{
	GString *headers = g_string_new("Not-Executed: 1\r\n");
	char state[STATE_BYTES];

	format_state(server, state, sizeof(state));
	g_string_append(headers, state);
	if (server->fault != FAULT_REFUSE_NO_ID)
		g_string_append_printf(headers, "Request-Id: %s\r\n",
				       http_head_get(request->head, "Request-Id"));
	if (server->fault == FAULT_BUSY)
		g_string_append(headers, "Retry-After: 2.5\r\n");
	server->refused++;
	responder_reply(request, 503, headers->str, NULL);
	g_string_free(headers, true);
}

static int64_t left_ms(const struct work *work)
{
	return MAX(work->deadline_ms - clock_now_ms(&clock_system), 1);
}

static void begin_run(struct work *work)
{
	struct platform_server *server = work->server;

	const int64_t left = left_ms(work);

	record_run(server, work->id);
	server->running++;
	/* the clock is not asked at the end: libevent's timers may fire some
	 * milliseconds early, which would make a timeout a success */
	work->outlasts = server->work_ms >= left;
	timer_start(work->timer, MIN(server->work_ms, left));
}

static void on_work_timer(evutil_socket_t fd, short what, void *context)
{
	struct work *work = context;

	(void)fd;
	(void)what;
	if (!work->is_waiting) {
		finish_run(work);
	} else if (work->is_late) {
		refuse(work->server, work->request);
		work_free(work);
	} else {
		work->is_waiting = false;
		work->server->waiting--;
		begin_run(work);
	}
}

static void wait_for_slot(struct work *work)
{
	work->is_waiting = true;
	work->is_late = left_ms(work) < SLOW_WAIT_MS;
	work->server->waiting++;
	timer_start(work->timer, SLOW_WAIT_MS);
}

static void wait_in_queue(struct work *work)
{
	work->is_waiting = true;
	work->is_queued = true;
	work->server->waiting++;
}

static void start_work(struct platform_server *server,
		       struct responder_request *request, const char *request_id)
{
	const char *deadline = http_head_get(request->head, "Deadline-Ms");
	struct work *work = g_new0(struct work, 1);

	work->server = server;
	work->allowed_ms =
		deadline ? (uint32_t)atoi(deadline) : DEADLINE_DEFAULT_MS;
	start_deadline(work);
	work->request = request;
	work->id = g_strdup(request_id);
	work->method = g_strdup(request->head->method);
	work->target = g_strdup(request->head->target);
	work->timer = evtimer_new(server->base, on_work_timer, work);
	g_queue_push_tail(&server->in_progress, work);
	request->on_disconnect = on_connection_closed;
	request->context = work;
	record_arrival(server, work->id);
	if (server->fault == FAULT_SLOW || server->fault == FAULT_SLOW_NO_LOAD)
		wait_for_slot(work);
	else if (server->running < server->slots)
		begin_run(work);
	else
		wait_in_queue(work);
}

static void on_request(void *context, struct responder_request *request)
{
	struct platform_server *server = context;
	const char *expected = http_head_get(request->head, "Expect-Instance");
	const char *id = http_head_get(request->head, "Request-Id");
	char headers[256];

	if (expected && strcmp(expected, server->id)) {
		snprintf(headers, sizeof(headers), "Instance-Id: %s\r\n",
			 server->id);
		responder_reply(request, 421, headers, NULL);
		return;
	}
	limit_record_arrival(server->limit, clock_now_ms(&clock_system));
	if (!id) {
		responder_reply(request, 400, "Not-Executed: 1\r\n", NULL);
	} else if (server->fault == FAULT_REFUSE || server->fault == FAULT_BUSY ||
		   server->fault == FAULT_REFUSE_NO_ID ||
		   (server->running >= server->slots &&
		    server->waiting >= server->queue_max)) {
		refuse(server, request);
	} else {
		start_work(server, request, id);
	}
}

static bool is_endless(enum fault fault)
{
	return fault >= FAULT_ENDLESS_HEAD;
}

/* Listens as its fault requires. @return whether it does. */
static bool listen_again(struct platform_server *server)
{
	responder_free(server->responder);
	server->responder = NULL;
	endless_free(server->endless);
	server->endless = NULL;
	if (is_endless(server->fault))
		server->endless = endless_new(server->base, server->address,
					      fault_names[server->fault]);
	else
		server->responder = responder_new(server->base, server->address,
						  on_request, server);
	return server->responder || server->endless;
}

struct platform_server *
platform_server_new(struct event_base *base, struct platform_kv *kv,
		    GHashTable *runs,
		    const struct platform_server_options *options)
{
	struct platform_server *server = g_new0(struct platform_server, 1);

	server->base = base;
	server->kv = kv;
	server->runs = runs;
	server->id = g_strdup(options->id);
	server->address = g_strdup(options->address);
	server->listed_address =
		g_strdup(*options->listed_address ? options->listed_address
						  : options->address);
	server->late_runs = json_array();
	server->limit = limit_record_new();
	server->service = g_strdup(options->service);
	server->failure_domain = g_strdup(options->failure_domain);
	server->slots = options->slots;
	server->queue_max = options->queue_max;
	server->work_ms = options->work_ms;
	if (!listen_again(server)) {
		platform_server_free(server);
		return NULL;
	}
	platform_server_publish(server);
	return server;
}

void platform_server_free(struct platform_server *server)
{
	responder_free(server->responder);
	endless_free(server->endless);
	g_free(server->id);
	g_free(server->address);
	g_free(server->listed_address);
	json_decref(server->late_runs);
	limit_record_free(server->limit);
	g_free(server->service);
	g_free(server->failure_domain);
	g_free(server);
}

void platform_server_drain(struct platform_server *server)
{
	server->draining = true;
	platform_server_publish(server);
	server->drain_published_ms = clock_now_ms(&clock_system);
}

json_t *platform_server_late_runs(const struct platform_server *server,
				  int64_t bound_ms)
{
	json_t *late = json_array();
	json_t *run;
	size_t i;

	json_array_foreach (server->late_runs, i, run)
		if (json_integer_value(json_object_get(run, "late_ms")) > bound_ms)
			json_array_append(late, run);
	return late;
}

bool platform_server_set_fault(struct platform_server *server, const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(fault_names); i++) {
		if (strcmp(name, fault_names[i]))
			continue;
		server->fault = (enum fault)i;
		return (!server->endless && !is_endless(server->fault)) ||
		       listen_again(server);
	}
	return false;
}

bool platform_server_set_limit(struct platform_server *server, const char *text)
{
	if (strlen(text) > LIMIT_BYTES_MAX)
		return false;
	limit_record_set(server->limit, text, clock_now_ms(&clock_system));
	return true;
}

json_t *platform_server_judge_limit(const struct platform_server *server)
{
	return limit_record_judge(server->limit, clock_now_ms(&clock_system));
}

uint32_t platform_server_refused(const struct platform_server *server)
{
	return server->refused;
}
