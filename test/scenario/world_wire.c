#include "scenario/world_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/order.h"

/**
 * @file
 * What leaves an entry VM of a scenario: requests to fake backend servers, to
 * the other entry VMs, and news for the fleet.
 */

/* backend servers */

static struct world_server *server_at(struct world *world, const char *address)
{
	uint32_t i;

	for (i = 0; i < world->server_count; i++)
		if (!strcmp(world->servers[i].address, address))
			return &world->servers[i];
	return NULL;
}

static char *header_in(const char *headers, const char *name)
{
	char *start = g_strdup_printf("%s: ", name);
	const char *at = strstr(headers, start);
	char *value = NULL;

	if (at) {
		at += strlen(start);
		value = g_strndup(at, strcspn(at, "\r"));
	}
	g_free(start);
	return value;
}

static void add_header(struct http_answer *answer, const char *name,
		       const char *value)
{
	answer->headers[answer->header_count].name = strdup(name);
	answer->headers[answer->header_count++].value = strdup(value);
}

static void make_answer(struct http_answer *answer, uint32_t status,
			enum verdict verdict, const char *request_id)
{
	answer->status = status;
	add_header(answer, VERDICT_HEADER, verdict_text(verdict));
	add_header(answer, HEADER_REQUEST_ID, request_id);
	answer->body = strdup("ok");
	answer->body_bytes = 2;
}

/** Notes a run. The lock is held. */
static void note_run(struct world *world, struct world_server *server,
		     const struct http_request *request)
{
	char *key = header_in(request->headers, HEADER_KEY);
	struct world_order *order;
	uint32_t i;

	server->ran++;
	for (i = 0; key && i < world->orders->len; i++) {
		order = world->orders->pdata[i];
		if (!strcmp(order->key, key))
			order->runs++;
	}
	g_free(key);
}

static bool is_past_deadline(const struct world *world,
			     const struct http_request *request)
{
	char *text = header_in(request->headers, HEADER_DEADLINE);
	bool past = text &&
		    world->manual.unix_ms >= g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return past;
}

static void hold(struct world *world, struct world_server *server,
		 enum server_mode mode)
{
	while (server->mode == mode)
		pthread_cond_wait(&world->changed, &world->lock);
}

/** The lock is held. */
static enum http_result serve(struct world *world, struct world_server *server,
			      const struct http_request *request,
			      struct http_answer *answer)
{
	char *id = header_in(request->headers, HEADER_REQUEST_ID);
	enum http_result result = HTTP_WHOLE;
	enum server_mode mode = server->mode;

	server->asked++;
	pthread_cond_broadcast(&world->changed);
	hold(world, server, SERVER_HOLDS_REQUESTS);
	if (mode == SERVER_REFUSES || is_past_deadline(world, request)) {
		make_answer(answer, 503, VERDICT_NOT_RUN, id);
		goto out;
	}
	note_run(world, server, request);
	if (mode == SERVER_CRASHES)
		server->mode = SERVER_UNREACHABLE;
	hold(world, server, SERVER_HOLDS_ANSWERS);
	if (mode == SERVER_TIMES_OUT)
		result = HTTP_TIMED_OUT;
	else if (mode == SERVER_LOSES_ANSWERS || mode == SERVER_TRUNCATES ||
		 mode == SERVER_CRASHES)
		result = HTTP_LOST;
	else
		make_answer(answer, 200, VERDICT_RAN,
			    mode == SERVER_ANSWERS_OTHERS ? "other" : id);
out:
	g_free(id);
	return result;
}

/* entry VMs among themselves */

struct late_request {
	struct world_entry *to;
	char *key;
	char *body;
	int64_t deadline_ns;
};

void world_make_exchange(struct world_entry *at, struct exchange *exchange,
			 const char *key, const char *body, int64_t deadline_ns)
{
	struct current_document *held = current_get(at->entry.current);
	int64_t left_ms = (deadline_ns - at->world->manual.now_ns) / NS_PER_MS;

	memset(exchange, 0, sizeof(*exchange));
	exchange->doc = held->doc;
	exchange->service = document_service(held->doc, WORLD_SERVICE);
	exchange->method = "POST";
	exchange->path = WORLD_PATH;
	exchange->body = strdup(body);
	exchange->body_bytes = (uint32_t)strlen(body);
	exchange->deadline_ns = deadline_ns;
	exchange->fingerprint =
		order_digest("POST", WORLD_PATH, body, strlen(body));
	snprintf(exchange->request_id, sizeof(exchange->request_id), "%s-%u",
		 at->name, g_random_int());
	exchange->headers = g_strdup_printf(HEADER_REQUEST_ID
					    ": %s\r\n" HEADER_DEADLINE ": %" PRId64
					    "\r\n" HEADER_KEY ": %s\r\n",
					    exchange->request_id,
					    at->world->manual.unix_ms + left_ms,
					    key ? key : "");
	current_release(held);
}

static void *run_late(void *context)
{
	struct late_request *late = context;
	struct exchange exchange;

	if (world_pass_pause(late->to, PAUSE_ANYWHERE)) {
		world_make_exchange(late->to, &exchange, late->key, late->body,
				    late->deadline_ns);
		exchange.passed = true;
		order_run(&late->to->entry, &exchange, late->key);
		forward_clear(&exchange);
	}
	g_free(late->key);
	g_free(late->body);
	g_free(late);
	return NULL;
}

/** A paused process answers nothing; once resumed it reads what waited. */
static void deliver_late(struct world_entry *to,
			 const struct http_request *request, const char *key)
{
	struct late_request *late = g_new0(struct late_request, 1);

	late->to = to;
	late->key = g_strdup(key);
	late->body = g_strndup(request->body, request->body_bytes);
	late->deadline_ns = request->deadline_ns;
	g_ptr_array_add(to->world->late, g_thread_new("late", run_late, late));
}

static enum http_result pass(struct world_entry *to,
			     const struct http_request *request,
			     struct http_answer *answer)
{
	char *key = header_in(request->headers, HEADER_KEY);
	char *body = g_strndup(request->body, request->body_bytes);
	enum http_result result = HTTP_WHOLE;
	struct exchange exchange;

	if (to->dead) {
		result = HTTP_NOT_SENT;
	} else if (to->pause == PAUSE_ANYWHERE) {
		deliver_late(to, request, key);
		result = HTTP_TIMED_OUT;
	} else {
		world_make_exchange(to, &exchange, key, body,
				    request->deadline_ns);
		exchange.passed = true;
		order_run(&to->entry, &exchange, key);
		make_answer(answer,
			    exchange.answer.status ? exchange.answer.status
						   : exchange.status,
			    exchange.verdict, exchange.request_id);
		forward_clear(&exchange);
		if (to->dead) {
			http_answer_clear(answer);
			result = HTTP_LOST;
		}
	}
	g_free(key);
	g_free(body);
	return result;
}

static enum http_result fake_send(void *context, const char *address,
				  struct http_pool *pool,
				  const struct http_request *request,
				  uint32_t fresh_ms, struct http_answer *answer)
{
	struct world_entry *entry = context;
	struct world *world = entry->world;
	enum http_result result = HTTP_NOT_SENT;
	struct world_server *server;

	(void)fresh_ms;
	if (!world_pass_pause(entry, PAUSE_BEFORE_SEND))
		return HTTP_NOT_SENT;
	if (!pool)
		return pass(world_entry(world, address), request, answer);
	pthread_mutex_lock(&world->lock);
	server = server_at(world, address);
	if (server && server->mode != SERVER_UNREACHABLE)
		result = serve(world, server, request, answer);
	pthread_mutex_unlock(&world->lock);
	return result;
}

static bool fake_reaches(void *context, const char *address)
{
	struct world *world = ((struct world_entry *)context)->world;
	struct world_server *server = server_at(world, address);

	return server && server->mode != SERVER_UNREACHABLE;
}

static bool fake_find(void *context, const char *name, uint64_t incarnation,
		      char *address)
{
	struct world_entry *entry = context;
	struct world *world = entry->world;
	uint32_t i;

	for (i = 0; i < world->entry_count; i++) {
		if (strcmp(world->entries[i]->name, name) != 0 ||
		    world->entries[i]->entry.incarnation != incarnation ||
		    world->entries[i]->dead)
			continue;
		g_strlcpy(address, name, 65);
		return true;
	}
	return false;
}

static void fake_tell_leaving(void *context, const char *backend)
{
	struct world *world = ((struct world_entry *)context)->world;
	uint32_t i;

	for (i = 0; i < world->entry_count; i++)
		backends_set_leaving(world->entries[i]->entry.backends, backend,
				     PICK_LEAVING_PEER, true);
}

static void fake_tell_quarantined(void *context, uint64_t fingerprint)
{
	struct world *world = ((struct world_entry *)context)->world;
	uint32_t i;

	for (i = 0; i < world->entry_count; i++) {
		struct entry *entry = &world->entries[i]->entry;

		pthread_mutex_lock(&entry->state_lock);
		quarantine_add(&entry->quarantine, fingerprint,
			       clock_now_ms(&world->clock));
		pthread_mutex_unlock(&entry->state_lock);
	}
}

static void fake_set_unclaimed(void *context, bool unclaimed)
{
	(void)context;
	(void)unclaimed;
}

void world_connect(struct world_entry *at)
{
	at->entry.transport = (struct entry_transport){
		.send = fake_send,
		.reaches = fake_reaches,
		.context = at,
	};
	at->entry.fleet = (struct entry_fleet){
		.find = fake_find,
		.tell_leaving = fake_tell_leaving,
		.tell_quarantined = fake_tell_quarantined,
		.set_unclaimed = fake_set_unclaimed,
		.context = at,
	};
}
