#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "http/http_server.h"
#include "standin.h"
#include "store_data.h"

/**
 * @file
 * standin-store: the subset of the etcd v3 JSON gateway that the product uses
 * (range, txn, lease, watch), with faults that are set over HTTP:
 *
 *     POST /standin/fault {"mode": "down" | "slow" | "lose-answers" |
 *                          "read-only" | "none", "slow_ms": 500}
 *     POST /standin/snapshot      saves the data
 *     POST /standin/restore       restores the saved data
 *     GET  /standin/calls         number of requests received
 */

#define THREAD_COUNT 1200
#define WATCH_POLL_MS 1000

enum fault {
	FAULT_NONE,
	FAULT_DOWN,
	FAULT_SLOW,
	FAULT_LOSE_RESPONSES,
	FAULT_READ_ONLY,
};

static const char *const fault_names[] = { "none", "down", "slow",
					   "lose-answers", "read-only" };

static volatile int fault;
static volatile int slow_ms = 500;
static long call_count;

static int drop_connection(struct mg_connection *connection)
{
	mg_disable_connection_keep_alive(connection);
	return 1;
}

static int handle_range(struct mg_connection *connection, void *context)
{
	json_t *body = standin_read_json(connection);

	(void)context;
	__sync_fetch_and_add(&call_count, 1);
	if (fault == FAULT_SLOW)
		standin_sleep_ms(slow_ms);
	if (fault == FAULT_DOWN) {
		json_decref(body);
		return drop_connection(connection);
	}
	http_reply_json(connection, 200, NULL, store_data_range(body));
	json_decref(body);
	return 200;
}

static int handle_txn(struct mg_connection *connection, void *context)
{
	json_t *body = standin_read_json(connection);
	json_t *response;

	(void)context;
	__sync_fetch_and_add(&call_count, 1);
	if (fault == FAULT_SLOW)
		standin_sleep_ms(slow_ms);
	if (fault == FAULT_DOWN || fault == FAULT_READ_ONLY) {
		json_decref(body);
		return drop_connection(connection);
	}
	response = store_data_txn(body);
	json_decref(body);
	if (fault == FAULT_LOSE_RESPONSES) {
		json_decref(response);
		return drop_connection(connection);
	}
	http_reply_json(connection, 200, NULL, response);
	return 200;
}

static int handle_lease(struct mg_connection *connection, void *context)
{
	json_t *body = standin_read_json(connection);

	(void)context;
	__sync_fetch_and_add(&call_count, 1);
	if (fault == FAULT_DOWN || fault == FAULT_READ_ONLY) {
		json_decref(body);
		return drop_connection(connection);
	}
	http_reply_json(connection, 200, NULL, store_data_grant_lease(body));
	json_decref(body);
	return 200;
}

static int send_json_line(struct mg_connection *connection, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	size_t bytes = strlen(text);
	int sent;

	text[bytes] = '\n'; /* replaces the terminating zero byte */
	sent = mg_send_chunk(connection, text, (unsigned)bytes + 1);
	free(text);
	json_decref(value);
	return sent;
}

static int handle_watch(struct mg_connection *connection, void *context)
{
	json_t *body = standin_read_json(connection);
	json_t *create = json_object_get(body, "create_request");
	char *key = store_data_decode_key(json_object_get(create, "key"));
	uint64_t last_revision = store_data_key_revision(key);

	(void)context;
	__sync_fetch_and_add(&call_count, 1);
	if (fault == FAULT_DOWN)
		goto out;
	mg_printf(connection, "HTTP/1.1 200 OK\r\n"
			      "Content-Type: application/json\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n");
	if (send_json_line(connection,
			   json_pack("{s:{s:b}}", "result", "created", 1)) < 0)
		goto out;
	while (fault != FAULT_DOWN) {
		if (!store_data_wait_for_change(key, last_revision,
						WATCH_POLL_MS)) {
			if (!mg_get_context(connection))
				break;
			continue;
		}
		last_revision = store_data_key_revision(key);
		if (send_json_line(connection,
				   json_pack("{s:{s:[{s:s}]}}", "result",
					     "events", "type", "PUT")) < 0)
			break;
	}
out:
	free(key);
	json_decref(body);
	return drop_connection(connection);
}

static int handle_fault(struct mg_connection *connection, void *context)
{
	json_t *body = standin_read_json(connection);
	const char *mode = json_string_value(json_object_get(body, "mode"));
	json_t *slow = json_object_get(body, "slow_ms");
	size_t i;

	(void)context;
	for (i = 0; mode && i < ARRAY_SIZE(fault_names); i++)
		if (!strcmp(mode, fault_names[i]))
			fault = (int)i;
	if (json_is_integer(slow))
		slow_ms = (int)json_integer_value(slow);
	json_decref(body);
	http_reply_json(connection, 200, NULL,
			json_pack("{s:s}", "mode", fault_names[fault]));
	return 200;
}

static int handle_snapshot(struct mg_connection *connection, void *context)
{
	if (context)
		store_data_restore();
	else
		store_data_snapshot();
	http_reply_json(connection, 200, NULL, json_object());
	return 200;
}

static int handle_calls(struct mg_connection *connection, void *context)
{
	(void)context;
	http_reply_json(connection, 200, NULL,
			json_pack("{s:I}", "calls", (json_int_t)call_count));
	return 200;
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str0("l", "listen", "IP:PORT", "address to listen on");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_end *end = arg_end(5);
	void *table[] = { listen, help, end };
	struct http_server_options options = {
		.address = "127.0.0.1:2379",
		.threads = THREAD_COUNT,
		.keep_alive_ms = 6000,
		.request_timeout_ms = 30000,
		.connections_max = THREAD_COUNT,
	};
	struct mg_context *server;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "standin-store");
		return 2;
	}
	if (help->count) {
		printf("Usage: standin-store");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return 0;
	}
	if (listen->count)
		options.address = listen->sval[0];
	standin_block_signals();
	mg_init_library(0);
	store_data_init();
	server = http_server_start(&options);
	if (!server)
		return 1;
	mg_set_request_handler(server, "/v3/kv/range", handle_range, NULL);
	mg_set_request_handler(server, "/v3/kv/txn", handle_txn, NULL);
	mg_set_request_handler(server, "/v3/lease/grant", handle_lease, NULL);
	mg_set_request_handler(server, "/v3/watch", handle_watch, NULL);
	mg_set_request_handler(server, "/standin/fault", handle_fault, NULL);
	mg_set_request_handler(server, "/standin/snapshot", handle_snapshot,
			       NULL);
	mg_set_request_handler(server, "/standin/restore", handle_snapshot,
			       server);
	mg_set_request_handler(server, "/standin/calls", handle_calls, NULL);
	standin_run_until_signal(server);
	arg_freetable(table, ARRAY_SIZE(table));
	return 0;
}
