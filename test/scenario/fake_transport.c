#include "scenario/sim_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/order.h"

/**
 * @file
 * Fake transport and fleet for scenarios: delivers requests to fake backend
 * servers and other entry VMs, and notifications to all entry VMs.
 */

/* backend servers */

static struct sim_server *find_server_by_address(struct sim *sim,
						 const char *address)
{
	uint32_t i;

	for (i = 0; i < sim->server_count; i++)
		if (!strcmp(sim->servers[i].address, address))
			return &sim->servers[i];
	return NULL;
}

/** @return a copy of the header's value, or NULL. */
static char *dup_header(const char *headers, const char *name)
{
	char *start = g_strdup_printf("%s: ", name);
	const char *value_start = strstr(headers, start);
	char *value = NULL;

	if (value_start) {
		value_start += strlen(start);
		value = g_strndup(value_start, strcspn(value_start, "\r"));
	}
	g_free(start);
	return value;
}

static void add_header(struct http_response *response, const char *name,
		       const char *value)
{
	response->headers[response->header_count].name = strdup(name);
	response->headers[response->header_count++].value = strdup(value);
}

static void make_response(struct http_response *response, uint32_t status,
			  enum verdict verdict, const char *request_id)
{
	response->status = status;
	add_header(response, VERDICT_HEADER, verdict_text(verdict));
	add_header(response, HEADER_REQUEST_ID, request_id);
	response->body = strdup("ok");
	response->body_bytes = 2;
}

/** Counts a run for the server and for the order. Lock held. */
static void record_run(struct sim *sim, struct sim_server *server,
		       const struct http_request *request)
{
	char *key = dup_header(request->headers, HEADER_KEY);
	struct sim_order *order;
	uint32_t i;

	server->requests_run++;
	for (i = 0; key && i < sim->orders->len; i++) {
		order = sim->orders->pdata[i];
		if (!strcmp(order->key, key))
			order->run_count++;
	}
	g_free(key);
}

static bool is_past_deadline(const struct sim *sim,
			     const struct http_request *request)
{
	char *text = dup_header(request->headers, HEADER_DEADLINE);
	bool past = text && sim->manual_clock.unix_ms >=
				    g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return past;
}

static void wait_while_mode(struct sim *sim, struct sim_server *server,
			    enum server_mode mode)
{
	while (server->mode == mode)
		pthread_cond_wait(&sim->changed, &sim->lock);
}

/** Responds as the server's mode says. Lock held. */
static enum http_result handle_request(struct sim *sim, struct sim_server *server,
				       const struct http_request *request,
				       struct http_response *response)
{
	char *id = dup_header(request->headers, HEADER_REQUEST_ID);
	enum http_result result = HTTP_COMPLETE;
	enum server_mode mode = server->mode;

	server->requests_received++;
	pthread_cond_broadcast(&sim->changed);
	wait_while_mode(sim, server, SERVER_MODE_HOLDS_REQUESTS);
	if (mode == SERVER_MODE_REFUSES || is_past_deadline(sim, request)) {
		make_response(response, 503, VERDICT_NOT_RUN, id);
		goto out;
	}
	record_run(sim, server, request);
	if (mode == SERVER_MODE_CRASHES)
		server->mode = SERVER_MODE_UNREACHABLE;
	wait_while_mode(sim, server, SERVER_MODE_HOLDS_RESPONSES);
	if (mode == SERVER_MODE_TIMES_OUT)
		result = HTTP_TIMED_OUT;
	else if (mode == SERVER_MODE_LOSES_RESPONSES ||
		 mode == SERVER_MODE_TRUNCATES || mode == SERVER_MODE_CRASHES)
		result = HTTP_INCOMPLETE;
	else
		make_response(response, 200, VERDICT_RAN,
			      mode == SERVER_MODE_WRONG_REQUEST_ID ? "other"
								   : id);
out:
	g_free(id);
	return result;
}

/* requests between entry VMs */

struct late_request {
	struct sim_entry *target;
	char *key;
	char *body;
	int64_t deadline_ns;
};

void sim_init_exchange(struct sim_entry *vm, struct exchange *exchange,
		       const char *key, const char *body, int64_t deadline_ns)
{
	struct current_document *current = current_get(vm->entry.current);
	int64_t remaining_ms =
		(deadline_ns - vm->sim->manual_clock.now_ns) / NS_PER_MS;

	memset(exchange, 0, sizeof(*exchange));
	exchange->doc = current->doc;
	exchange->service = document_find_service(current->doc, SIM_SERVICE);
	exchange->method = "POST";
	exchange->path = SIM_PATH;
	exchange->body = strdup(body);
	exchange->body_bytes = (uint32_t)strlen(body);
	exchange->deadline_ns = deadline_ns;
	exchange->fingerprint =
		order_digest("POST", SIM_PATH, body, strlen(body));
	snprintf(exchange->request_id, sizeof(exchange->request_id), "%s-%u",
		 vm->name, g_random_int());
	exchange->headers =
		g_strdup_printf(HEADER_REQUEST_ID ": %s\r\n" HEADER_DEADLINE
						  ": %" PRId64 "\r\n" HEADER_KEY
						  ": %s\r\n",
				exchange->request_id,
				vm->sim->manual_clock.unix_ms + remaining_ms,
				key ? key : "");
	current_unref(current);
}

static void *run_late_request(void *context)
{
	struct late_request *late = context;
	struct exchange exchange;

	if (sim_wait_while_paused(late->target, PAUSE_ANYWHERE)) {
		sim_init_exchange(late->target, &exchange, late->key,
				  late->body, late->deadline_ns);
		exchange.passed = true;
		order_run(&late->target->entry, &exchange, late->key);
		forward_clear(&exchange);
	}
	g_free(late->key);
	g_free(late->body);
	g_free(late);
	return NULL;
}

/** Delivers the request on a thread once the entry VM is resumed. */
static void start_late_request(struct sim_entry *target,
			       const struct http_request *request,
			       const char *key)
{
	struct late_request *late = g_new0(struct late_request, 1);

	late->target = target;
	late->key = g_strdup(key);
	late->body = g_strndup(request->body, request->body_bytes);
	late->deadline_ns = request->deadline_ns;
	g_ptr_array_add(target->sim->late_threads,
			g_thread_new("late", run_late_request, late));
}

static enum http_result deliver_to_entry(struct sim_entry *target,
					 const struct http_request *request,
					 struct http_response *response)
{
	char *key = dup_header(request->headers, HEADER_KEY);
	char *body = g_strndup(request->body, request->body_bytes);
	enum http_result result = HTTP_COMPLETE;
	struct exchange exchange;

	if (target->dead) {
		result = HTTP_NOT_SENT;
	} else if (target->pause == PAUSE_ANYWHERE) {
		start_late_request(target, request, key);
		result = HTTP_TIMED_OUT;
	} else {
		sim_init_exchange(target, &exchange, key, body,
				  request->deadline_ns);
		exchange.passed = true;
		order_run(&target->entry, &exchange, key);
		make_response(response,
			      exchange.response.status ? exchange.response.status
						       : exchange.status,
			      exchange.verdict, exchange.request_id);
		forward_clear(&exchange);
		if (target->dead) {
			http_response_clear(response);
			result = HTTP_INCOMPLETE;
		}
	}
	g_free(key);
	g_free(body);
	return result;
}

static enum http_result fake_send(void *context, const char *address,
				  struct http_pool *pool,
				  const struct http_request *request,
				  uint32_t reuse_within_ms,
				  struct http_response *response)
{
	struct sim_entry *entry = context;
	struct sim *sim = entry->sim;
	enum http_result result = HTTP_NOT_SENT;
	struct sim_server *server;

	(void)reuse_within_ms;
	if (!sim_wait_while_paused(entry, PAUSE_BEFORE_SEND))
		return HTTP_NOT_SENT;
	if (!pool)
		return deliver_to_entry(sim_find_entry(sim, address), request,
					response);
	pthread_mutex_lock(&sim->lock);
	server = find_server_by_address(sim, address);
	if (server && server->mode != SERVER_MODE_UNREACHABLE)
		result = handle_request(sim, server, request, response);
	pthread_mutex_unlock(&sim->lock);
	return result;
}

static bool fake_reaches(void *context, const char *address)
{
	struct sim *sim = ((struct sim_entry *)context)->sim;
	struct sim_server *server = find_server_by_address(sim, address);

	return server && server->mode != SERVER_MODE_UNREACHABLE;
}

static bool fake_find(void *context, const char *name, uint64_t incarnation,
		      char *address)
{
	struct sim_entry *entry = context;
	struct sim *sim = entry->sim;
	uint32_t i;

	for (i = 0; i < sim->entry_count; i++) {
		if (strcmp(sim->entries[i]->name, name) != 0 ||
		    sim->entries[i]->entry.incarnation != incarnation ||
		    sim->entries[i]->dead)
			continue;
		g_strlcpy(address, name, 65);
		return true;
	}
	return false;
}

static void fake_tell_leaving(void *context, const char *backend)
{
	struct sim *sim = ((struct sim_entry *)context)->sim;
	uint32_t i;

	for (i = 0; i < sim->entry_count; i++)
		backends_set_leaving(sim->entries[i]->entry.backends, backend,
				     PICK_LEAVING_PEER, true);
}

static void fake_tell_quarantined(void *context, uint64_t fingerprint)
{
	struct sim *sim = ((struct sim_entry *)context)->sim;
	uint32_t i;

	for (i = 0; i < sim->entry_count; i++) {
		struct entry *entry = &sim->entries[i]->entry;

		pthread_mutex_lock(&entry->state_lock);
		quarantine_add(&entry->quarantine, fingerprint,
			       clock_now_ms(&sim->clock));
		pthread_mutex_unlock(&entry->state_lock);
	}
}

static void fake_set_unclaimed(void *context, bool unclaimed)
{
	(void)context;
	(void)unclaimed;
}

void sim_install_fakes(struct sim_entry *vm)
{
	vm->entry.transport = (struct entry_transport){
		.send = fake_send,
		.can_connect = fake_reaches,
		.context = vm,
	};
	vm->entry.fleet = (struct entry_fleet){
		.find_entry = fake_find,
		.announce_leaving = fake_tell_leaving,
		.announce_quarantined = fake_tell_quarantined,
		.set_unclaimed = fake_set_unclaimed,
		.context = vm,
	};
}
