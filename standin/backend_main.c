#include <argtable2.h>
#include <fcntl.h>
#include <inttypes.h>
#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/attributes.h"
#include "base/clock.h"
#include "base/verdict_defs.h"
#include "http/http_server.h"
#include "standin.h"

/**
 * @file
 * standin-backend: a backend server with few slots. For each request that it
 * runs it appends a line "run REQUEST_ID METHOD PATH KEY BODY_BYTES" to its
 * journal.
 *
 * POST /standin/control changes any of:
 *     {"service_ms": 50, "slots": 3, "leaving": true, "shed": true,
 *      "healthy": true, "reported_free": 3, "cold_ms": 0}
 * A request's Standin-Fault header injects a fault: truncate, stall, garbage,
 * overlong, crossed (another request's response), slow, crash, or lost (runs
 * the request and sends no response).
 */

#define THREADS_EXTRA 16
#define STALL_MS 20000
#define SLOW_MS 1500
#define ECHO_BYTES_MAX 65536
#define LINE_BYTES 1024

static atomic_int slots = 3;
static atomic_int in_flight;
static atomic_int service_ms = 50;
static atomic_int leaving;
static atomic_int shed;
static atomic_int healthy = 1;
static atomic_int reported_free = -1;
static atomic_int cold_ms;
static atomic_long run_count;
static int64_t started_ms;
static int journal = -1;
static const char *server_name = "backend";
static GRand *random_source;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

/** Samples a lognormal distribution with mean service_ms and sigma 0.5. */
static int64_t sample_service_ms(void)
{
	const double sigma = 0.5;
	double a, b, normal;

	pthread_mutex_lock(&random_lock);
	a = g_rand_double_range(random_source, 1e-9, 1);
	b = g_rand_double(random_source);
	pthread_mutex_unlock(&random_lock);
	normal = sqrt(-2 * log(a)) * cos(2 * G_PI * b);
	return (int64_t)(service_ms * exp(sigma * normal - sigma * sigma / 2));
}

static const char *header_or_default(struct mg_connection *connection,
				     const char *key, const char *fallback)
{
	const char *value = mg_get_header(connection, key);

	return value ? value : fallback;
}

static void write_journal(struct mg_connection *connection, const char *action,
			  int64_t body_bytes)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	char line[LINE_BYTES];
	int used;

	used = snprintf(line, sizeof(line), "%s %s %s %s %s %" PRId64 "\n",
			action,
			header_or_default(connection, "Auburnreach-Request-Id",
					  "-"),
			info->request_method, info->local_uri,
			header_or_default(connection, "Idempotency-Key", "-"),
			body_bytes);
	if (journal >= 0 && write(journal, line, (size_t)used) != used)
		fprintf(stderr, "backend: cannot write the journal\n");
}

static void refuse_request(struct mg_connection *connection, const char *reason)
{
	http_reply_error(connection, 503,
			 VERDICT_HEADER ": not-run\r\nRetry-After: 1\r\n",
			 reason, "ask another backend server");
}

static bool is_past_deadline(struct mg_connection *connection)
{
	const char *deadline =
		mg_get_header(connection, "Auburnreach-Deadline-Unix-Ms");

	return deadline && clock_unix_ms(&clock_system) >=
				   g_ascii_strtoll(deadline, NULL, 10);
}

/** @return whether the fault replaced the response. */
static bool inject_fault(struct mg_connection *connection, const char *fault)
{
	if (!strcmp(fault, "crash"))
		_exit(3);
	if (!strcmp(fault, "slow")) {
		standin_sleep_ms(SLOW_MS);
		return false;
	}
	mg_disable_connection_keep_alive(connection);
	if (!strcmp(fault, "truncate"))
		mg_printf(connection, "HTTP/1.1 200 OK\r\n"
				      "Content-Length: 100\r\n\r\npart");
	else if (!strcmp(fault, "garbage"))
		mg_printf(connection, "no HTTP at all\r\n\r\n");
	else if (!strcmp(fault, "crossed"))
		mg_printf(connection, "HTTP/1.1 200 OK\r\n"
				      "Auburnreach-Request-Id: another\r\n"
				      "Content-Length: 5\r\n\r\nother");
	else if (!strcmp(fault, "overlong"))
		mg_printf(connection, "HTTP/1.1 200 OK\r\n"
				      "Content-Length: 999999999\r\n\r\nlong");
	else if (!strcmp(fault, "stall")) {
		mg_printf(connection, "HTTP/1.1 200 OK\r\n"
				      "Content-Length: 100\r\n\r\npart");
		standin_sleep_ms(STALL_MS);
	} else if (strcmp(fault, "lost")) {
		return false;
	}
	return true;
}

static void send_response(struct mg_connection *connection, const char *body,
			  int64_t body_bytes)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	char headers[512];

	snprintf(headers, sizeof(headers),
		 VERDICT_HEADER ": ran\r\n"
				"Auburnreach-Request-Id: %s\r\n"
				"%s",
		 header_or_default(connection, "Auburnreach-Request-Id", "-"),
		 leaving ? "Auburnreach-Leaving: 1\r\n" : "");
	http_reply_json(
		connection, 200, headers,
		json_pack("{s:s,s:s,s:s,s:s,s:s%}", "backend", server_name,
			  "path", info->local_uri, "key",
			  header_or_default(connection, "Idempotency-Key", ""),
			  "caller",
			  header_or_default(connection, "Caller-Tag", ""), "body",
			  body ? body : "", (size_t)(body ? body_bytes : 0)));
}

static int64_t next_service_ms(void)
{
	int64_t up_ms = clock_now_ms(&clock_system) - started_ms;
	int64_t ms = sample_service_ms();

	return up_ms < cold_ms ? ms * 4 : ms;
}

static int handle_work(struct mg_connection *connection, void *context)
{
	const char *fault = header_or_default(connection, "Standin-Fault", "");
	int64_t body_bytes;
	char *body;

	(void)context;
	body_bytes = http_read_body(connection, ECHO_BYTES_MAX, &body);
	if (body_bytes < 0) {
		refuse_request(connection, "the body did not come whole");
		return 503;
	}
	if (atomic_fetch_add(&in_flight, 1) >= slots || shed || leaving > 1) {
		in_flight--;
		refuse_request(connection, "no slot is free");
		free(body);
		return 503;
	}
	if (is_past_deadline(connection)) {
		in_flight--;
		refuse_request(connection, "the deadline has passed");
		free(body);
		return 503;
	}
	write_journal(connection, "run", body_bytes);
	run_count++;
	standin_sleep_ms(next_service_ms());
	if (!*fault || !inject_fault(connection, fault))
		send_response(connection, body, body_bytes);
	in_flight--;
	free(body);
	return 200;
}

static int handle_health(struct mg_connection *connection, void *context)
{
	int free_slots = slots - in_flight;

	(void)context;
	if (reported_free >= 0)
		free_slots = reported_free;
	http_reply_json(connection, healthy ? 200 : 503, NULL,
			json_pack("{s:b,s:i,s:i,s:b,s:I}", "healthy",
				  (int)healthy, "slots", (int)slots, "free",
				  free_slots, "leaving", leaving != 0, "ran",
				  (json_int_t)run_count));
	return 200;
}

static void set_from_json(json_t *body, const char *key, atomic_int *value)
{
	json_t *wanted = json_object_get(body, key);

	if (json_is_integer(wanted))
		*value = (int)json_integer_value(wanted);
	else if (json_is_boolean(wanted))
		*value = json_is_true(wanted);
}

static int handle_control(struct mg_connection *connection, void *context)
{
	json_t *body = standin_read_json(connection);

	(void)context;
	set_from_json(body, "service_ms", &service_ms);
	set_from_json(body, "slots", &slots);
	set_from_json(body, "leaving", &leaving);
	set_from_json(body, "shed", &shed);
	set_from_json(body, "healthy", &healthy);
	set_from_json(body, "reported_free", &reported_free);
	set_from_json(body, "cold_ms", &cold_ms);
	json_decref(body);
	return handle_health(connection, NULL);
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str1("l", "listen", "IP:PORT", "address to listen on");
	struct arg_str *own_name = arg_str0("n", "name", "NAME", "server name");
	struct arg_int *slot_count =
		arg_int0("s", "slots", "N", "requests run at the same time");
	struct arg_int *connections =
		arg_int0("c", "connections", "N", "maximum connections");
	struct arg_int *mean_ms = arg_int0("m", "service-ms", "MS",
					   "mean service time of a request");
	struct arg_int *cold = arg_int0(NULL, "cold-ms", "MS",
					"period of slow requests after a start");
	struct arg_file *journal_file =
		arg_file0("j", "journal", "FILE", "log of the requests that ran");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "random seed of service times");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_end *end = arg_end(5);
	void *table[] = { listen,  own_name, slot_count,   connections,
			  mean_ms, cold,     journal_file, seed,
			  help,	   end };
	struct http_server_options options = {
		.threads = 64,
		.keep_alive_ms = 60000,
		.request_timeout_ms = 30000,
	};
	struct mg_context *server;
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: standin-backend");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return 0;
	}
	if (errors) {
		arg_print_errors(stderr, end, "standin-backend");
		return 2;
	}
	options.address = listen->sval[0];
	if (own_name->count)
		server_name = own_name->sval[0];
	if (slot_count->count)
		slots = slot_count->ival[0];
	if (mean_ms->count)
		service_ms = mean_ms->ival[0];
	if (cold->count)
		cold_ms = cold->ival[0];
	if (connections->count)
		options.threads = (uint32_t)connections->ival[0];
	options.threads += THREADS_EXTRA;
	options.connections_max = options.threads;
	if (journal_file->count)
		journal = open(journal_file->filename[0],
			       O_WRONLY | O_CREAT | O_APPEND, 0644);
	random_source =
		g_rand_new_with_seed(seed->count ? (guint32)seed->ival[0] : 1);
	started_ms = clock_now_ms(&clock_system);
	standin_block_signals();
	mg_init_library(0);
	server = http_server_start(&options);
	if (!server)
		return 1;
	mg_set_request_handler(server, "/health", handle_health, NULL);
	mg_set_request_handler(server, "/standin/control", handle_control, NULL);
	mg_set_request_handler(server, "/", handle_work, NULL);
	standin_run_until_signal(server);
	arg_freetable(table, ARRAY_SIZE(table));
	return 0;
}
