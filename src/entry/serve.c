#include "entry/serve.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/deadline.h"
#include "base/log.h"
#include "entry/explain.h"
#include "entry/forward.h"
#include "entry/order.h"
#include "http/http_server.h"

#define RETRY_AFTER_S 1
/* Share of the server's threads that one service may occupy, so that others
 * stay served. A single service may occupy all. */
#define SERVICE_THREADS_MAX_PERMILLE 600

/* Headers that are not passed on: those of one connection, and those that each
 * side sets itself. */
static const char *const dropped_headers[] = {
	"Connection",
	"Keep-Alive",
	"Transfer-Encoding",
	"TE",
	"Trailer",
	"Upgrade",
	"Host",
	"Content-Length",
	"Expect",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Date",
};

static bool is_dropped_header(const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(dropped_headers); i++)
		if (!mg_strcasecmp(name, dropped_headers[i]))
			return true;
	return !mg_strncasecmp(name, "Auburnreach-", strlen("Auburnreach-"));
}

static bool is_idempotent(const char *method)
{
	return !strcmp(method, "GET") || !strcmp(method, "HEAD") ||
	       !strcmp(method, "OPTIONS");
}

/**
 * @return the header lines for the backend server, to be freed by the caller:
 * those of the caller, the request id and the deadline.
 */
static char *build_request_headers(const struct entry *entry,
				   const struct mg_request_info *info,
				   const struct exchange *exchange)
{
	GString *text = g_string_sized_new(512);
	int64_t remaining_ms =
		(exchange->deadline_ns - clock_now_ns(&entry->clock)) / NS_PER_MS;
	int i;

	for (i = 0; i < info->num_headers; i++)
		if (!is_dropped_header(info->http_headers[i].name))
			g_string_append_printf(text, "%s: %s\r\n",
					       info->http_headers[i].name,
					       info->http_headers[i].value);
	g_string_append_printf(text,
			       HEADER_REQUEST_ID ": %s\r\n" HEADER_DEADLINE
						 ": %" PRId64 "\r\n",
			       exchange->request_id,
			       clock_unix_ms(&entry->clock) + remaining_ms);
	return g_string_free(text, FALSE);
}

static void assign_request_id(struct entry *entry, struct exchange *exchange)
{
	uint64_t number = ++entry->request_count;

	snprintf(exchange->request_id, sizeof(exchange->request_id),
		 "%s-%" PRIx64 "-%" PRIx64, entry->settings.name,
		 entry->incarnation, number);
}

/**
 * @return the earliest of the service's deadline, the caller's and the end of a
 * shutdown.
 */
static int64_t compute_deadline_ns(const struct entry *entry,
				   const struct doc_service *service,
				   const char *header)
{
	int64_t remaining_ms = service->deadline_ms;
	int64_t requested_ms;

	if (header) {
		requested_ms = g_ascii_strtoll(header, NULL, 10) -
			       clock_unix_ms(&entry->clock);
		if (requested_ms < remaining_ms)
			remaining_ms = requested_ms;
	}
	return deadline_limit(clock_now_ns(&entry->clock) +
			      remaining_ms * NS_PER_MS);
}

static struct entry_service *find_service(struct entry *entry, const char *name)
{
	uint32_t i;

	for (i = 0; i < entry->service_count; i++)
		if (!strcmp(entry->services[i].name, name))
			return &entry->services[i];
	return NULL;
}

/**
 * Counts a request of the service as in progress.
 *
 * @return false if the service already occupies its share of the threads.
 */
static bool admit_request(struct entry *entry, const char *service)
{
	uint32_t max = entry->settings.threads * SERVICE_THREADS_MAX_PERMILLE /
		       PERMILLE;
	struct entry_service *state;
	bool admitted = false;

	pthread_mutex_lock(&entry->state_lock);
	state = find_service(entry, service);
	if (state && (entry->service_count == 1 || state->admitted < max)) {
		state->admitted++;
		budget_deposit(&state->budget);
		admitted = true;
	}
	pthread_mutex_unlock(&entry->state_lock);
	return admitted;
}

static void release_request(struct entry *entry, const char *service)
{
	struct entry_service *state;

	pthread_mutex_lock(&entry->state_lock);
	state = find_service(entry, service);
	if (state && state->admitted)
		state->admitted--;
	pthread_mutex_unlock(&entry->state_lock);
}

void serve_apply_document(struct entry *entry, const struct document *doc)
{
	struct entry_service *state;
	uint32_t i;

	pthread_mutex_lock(&entry->state_lock);
	for (i = 0; i < doc->service_count; i++) {
		const struct doc_service *service = &doc->services[i];

		state = find_service(entry, service->name);
		if (!state && entry->service_count < ENTRY_SERVICES_MAX) {
			state = &entry->services[entry->service_count++];
			snprintf(state->name, sizeof(state->name), "%s",
				 service->name);
		}
		if (state)
			budget_init(&state->budget,
				    service->retry_budget_permille);
	}
	pthread_mutex_unlock(&entry->state_lock);
}

/**
 * @return the response's header lines, to be freed by the caller: verdict,
 * request id, and the backend server's headers.
 */
static char *build_response_headers(struct entry *entry,
				    const struct exchange *exchange)
{
	const struct http_response *response = &exchange->response;
	GString *text = g_string_sized_new(256);
	uint32_t i;

	g_string_append_printf(text,
			       VERDICT_HEADER ": %s\r\n" HEADER_REQUEST_ID
					      ": %s\r\n",
			       verdict_text(exchange->verdict),
			       exchange->request_id);
	for (i = 0; i < response->header_count; i++)
		if (!is_dropped_header(response->headers[i].name) &&
		    mg_strcasecmp(response->headers[i].name, "Content-Type"))
			g_string_append_printf(text, "%s: %s\r\n",
					       response->headers[i].name,
					       response->headers[i].value);
	if (!response->status && exchange->status == 503)
		g_string_append_printf(text, "Retry-After: %d\r\n",
				       RETRY_AFTER_S);
	if (entry->leaving)
		g_string_append(text, "Connection: close\r\n");
	return g_string_free(text, FALSE);
}

static const char *verdict_remedy(enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return "it was not run; it may be sent again";
	case VERDICT_RAN:
		return "it ran; do not send it again under a new key";
	default:
		return "it may have run; ask again with the same key";
	}
}

static void send_response(struct entry *entry, struct mg_connection *connection,
			  const struct exchange *exchange)
{
	const struct http_response *response = &exchange->response;
	char *headers = build_response_headers(entry, exchange);

	if (exchange->verdict == VERDICT_NOT_RUN)
		counter_add(COUNTER_NOT_RUN, 1);
	if (exchange->verdict == VERDICT_MAY_HAVE_RUN)
		counter_add(COUNTER_MAY_HAVE_RUN, 1);
	if (response->status)
		http_reply(connection, response->status,
			   http_response_header(response, "Content-Type"),
			   headers, response->body, response->body_bytes);
	else
		http_reply_error(connection, exchange->status, headers,
				 exchange->reason,
				 verdict_remedy(exchange->verdict));
	if (entry->leaving)
		mg_disable_connection_keep_alive(connection);
	g_free(headers);
}

/**
 * Refuses a request whose order key, if it has one, was not looked up in the
 * order table: it may be a duplicate of one that ran.
 */
static void refuse_unchecked(const struct mg_connection *connection,
			     struct exchange *exchange, const char *reason)
{
	forward_refuse(exchange,
		       mg_get_header(connection, HEADER_KEY) ? VERDICT_MAY_HAVE_RUN
							     : VERDICT_NOT_RUN,
		       503, reason);
}

/** Receives the request body. @return false after refusing the exchange. */
static bool receive_body(struct mg_connection *connection,
			 struct exchange *exchange)
{
	int64_t body_bytes;

	deadline_arm(INT64_MAX); /* the end of a shutdown may be earlier */
	body_bytes = http_read_body(connection, exchange->service->body_bytes_max,
				    &exchange->body);
	deadline_disarm();
	if (deadline_passed(INT64_MAX)) {
		counter_add(COUNTER_REFUSED_OTHER, 1);
		mg_disable_connection_keep_alive(connection);
		refuse_unchecked(connection, exchange, "the VM shuts down");
		return false;
	}
	if (body_bytes >= 0) {
		exchange->body_bytes = (uint32_t)body_bytes;
		return true;
	}
	counter_add(COUNTER_REFUSED_OTHER, 1);
	if (body_bytes == -1)
		forward_refuse(exchange, VERDICT_NOT_RUN, 413,
			       "the body is longer than the service allows");
	else
		forward_refuse(exchange, VERDICT_NOT_RUN, 400,
			       "the body did not come whole");
	return false;
}

static void run_exchange(struct entry *entry, struct mg_connection *connection,
			 struct exchange *exchange)
{
	const struct mg_request_info *info = mg_get_request_info(connection);

	if (!receive_body(connection, exchange))
		return;
	exchange->deadline_ns =
		compute_deadline_ns(entry, exchange->service,
				    mg_get_header(connection, HEADER_DEADLINE));
	exchange->passed = mg_get_header(connection, HEADER_PASSED);
	exchange->headers = build_request_headers(entry, info, exchange);
	exchange->fingerprint =
		order_digest(exchange->method, exchange->path, exchange->body,
			     exchange->body_bytes);
	if (exchange->idempotent)
		forward_run(entry, exchange);
	else
		order_run(entry, exchange, mg_get_header(connection, HEADER_KEY));
}

static void serve_service(struct entry *entry, struct mg_connection *connection,
			  struct exchange *exchange)
{
	const char *service = exchange->service->name;

	assign_request_id(entry, exchange);
	counter_add(COUNTER_REQUESTS, 1);
	if (admit_request(entry, service)) {
		gauge_add(GAUGE_IN_FLIGHT, 1);
		run_exchange(entry, connection, exchange);
		send_response(entry, connection, exchange);
		gauge_add(GAUGE_IN_FLIGHT, -1);
		release_request(entry, service);
	} else {
		counter_add(COUNTER_REFUSED_FULL, 1);
		log_warn("serve",
			 "refused service=%s why=\"its share of the "
			 "threads is in use\"",
			 service);
		mg_disable_connection_keep_alive(connection);
		refuse_unchecked(connection, exchange,
				 "too many requests of the service at a time");
		send_response(entry, connection, exchange);
	}
	forward_clear(exchange);
}

int serve_handle(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct entry *entry = context;
	struct current_document *current_doc = current_get(entry->current);
	struct exchange exchange = {
		.method = info->request_method,
		.idempotent = is_idempotent(info->request_method),
	};
	char *path;

	deadline_observe_end();
	path = g_strconcat(info->request_uri, info->query_string ? "?" : "",
			   info->query_string ? info->query_string : "", NULL);
	exchange.path = path;
	if (current_doc) {
		exchange.doc = current_doc->doc;
		exchange.service =
			document_find_service_for_path(current_doc->doc, path);
	}
	if (exchange.service) {
		serve_service(entry, connection, &exchange);
	} else {
		counter_add(COUNTER_REFUSED_OTHER, 1);
		mg_disable_connection_keep_alive(connection);
		http_reply_error(connection, current_doc ? 404 : 503,
				 VERDICT_HEADER ": not-run\r\n",
				 current_doc ? "no service has this path"
					     : "no document is in force yet",
				 current_doc ? "see the document's path_prefix"
					     : "ask another entry VM");
	}
	g_free(path);
	current_unref(current_doc);
	return 200;
}
