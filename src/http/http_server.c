#include "http/http_server.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/tcp.h"

#define HEAD_BYTES 2048
#define OPTION_BYTES 80
#define OPTIONS_MAX 24
#define WAKE_PERIOD_MS 10
#define DRAIN_PERIOD_MS 5

#define BODY_TOO_LONG (-1)
#define BODY_INCOMPLETE (-2)

/* Requests in progress; a process has one server. */
static atomic_uint requests_in_progress;

static int on_request_begin(struct mg_connection *connection)
{
	requests_in_progress++;
	mg_set_user_connection_data(connection, &requests_in_progress);
	return 0;
}

/* Also called for what is no request. */
static void on_request_end(const struct mg_connection *connection, int status)
{
	(void)status;
	if (!mg_get_user_connection_data(connection))
		return;
	mg_set_user_connection_data(connection, NULL);
	requests_in_progress--;
}

struct mg_context *http_server_start(const struct http_server_options *options)
{
	char threads[OPTION_BYTES], keep_alive[OPTION_BYTES],
		timeout[OPTION_BYTES];
	char port[OPTION_BYTES], backlog[OPTION_BYTES];
	const char *settings[OPTIONS_MAX];
	struct mg_callbacks callbacks;
	struct mg_context *server;
	size_t used = 0;

	snprintf(port, sizeof(port), "%s%s", options->address,
		 options->certificate ? "s" : "");
	snprintf(threads, sizeof(threads), "%u", options->threads);
	snprintf(keep_alive, sizeof(keep_alive), "%u", options->keep_alive_ms);
	snprintf(timeout, sizeof(timeout), "%u", options->request_timeout_ms);
	snprintf(backlog, sizeof(backlog), "%u", options->connections_max);
	settings[used++] = "listening_ports";
	settings[used++] = port;
	settings[used++] = "num_threads";
	settings[used++] = threads;
	settings[used++] = "enable_keep_alive";
	settings[used++] = options->keep_alive_ms ? "yes" : "no";
	settings[used++] = "keep_alive_timeout_ms";
	settings[used++] = keep_alive;
	settings[used++] = "request_timeout_ms";
	settings[used++] = timeout;
	settings[used++] = "connection_queue";
	settings[used++] = backlog;
	settings[used++] = "listen_backlog";
	settings[used++] = backlog;
	settings[used++] = "tcp_nodelay";
	settings[used++] = "1";
	settings[used++] = "enable_directory_listing";
	settings[used++] = "no";
	if (options->certificate) {
		settings[used++] = "ssl_certificate";
		settings[used++] = options->certificate;
	}
	settings[used] = NULL;
	memset(&callbacks, 0, sizeof(callbacks));
	callbacks.begin_request = on_request_begin;
	callbacks.end_request = on_request_end;
	server = mg_start(&callbacks, NULL, settings);
	if (!server)
		fprintf(stderr,
			"http: cannot listen address=%s; choose a free one\n",
			options->address);
	return server;
}

/** Connects to a server until it is stopped. */
struct waker {
	struct sockaddr_in address;
	atomic_bool stopped;
};

static void *run_waker(void *context)
{
	const struct timespec period = { 0, WAKE_PERIOD_MS * NS_PER_MS };
	struct waker *waker = context;
	int fd;

	while (!waker->stopped) {
		clock_nanosleep(CLOCK_MONOTONIC, 0, &period, NULL);
		fd = tcp_open_socket(0);
		if (fd < 0)
			continue;
		/* doesn't block; the connection itself is of no use */
		(void)!connect(fd, (struct sockaddr *)&waker->address,
			       sizeof(waker->address));
		close(fd);
	}
	return NULL;
}

static void wait_for_requests(uint32_t limit_ms)
{
	const struct timespec period = { 0, DRAIN_PERIOD_MS * NS_PER_MS };
	uint32_t ms;

	for (ms = 0; requests_in_progress && ms < limit_ms; ms += DRAIN_PERIOD_MS)
		clock_nanosleep(CLOCK_MONOTONIC, 0, &period, NULL);
}

void http_server_stop(struct mg_context *server, const char *address,
		      uint32_t drain_ms)
{
	struct waker waker = { .stopped = false };
	pthread_t thread;
	bool started;

	wait_for_requests(drain_ms);
	/* the library looks for the end only when a connection arrives, or
	 * every two seconds, and until then accepts what it will not answer */
	started = tcp_parse_address(address, &waker.address) &&
		  !pthread_create(&thread, NULL, run_waker, &waker);
	mg_stop(server);
	waker.stopped = true;
	if (started)
		pthread_join(thread, NULL);
}

static int64_t read_sized_body(struct mg_connection *connection, char *body,
			       int64_t body_bytes)
{
	int64_t used = 0;
	int count;

	while (used < body_bytes) {
		count = mg_read(connection, body + used,
				(size_t)(body_bytes - used));
		if (count <= 0)
			return BODY_INCOMPLETE;
		used += count;
	}
	body[used] = '\0';
	return used;
}

static int64_t read_chunked_body(struct mg_connection *connection,
				 uint32_t bytes_max, char **body)
{
	int64_t used = 0;
	int count;

	*body = malloc((size_t)bytes_max + 2);
	if (!*body)
		return BODY_TOO_LONG;
	do {
		count = mg_read(connection, *body + used,
				(size_t)bytes_max + 1 - (size_t)used);
		if (count < 0)
			return BODY_INCOMPLETE;
		used += count;
		if (used > bytes_max)
			return BODY_TOO_LONG;
	} while (count);
	(*body)[used] = '\0';
	return used;
}

int64_t http_read_body(struct mg_connection *connection, uint32_t bytes_max,
		       char **body)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	int64_t result;

	*body = NULL;
	if (info->content_length > (long long)bytes_max) {
		result = BODY_TOO_LONG;
	} else if (info->content_length >= 0) {
		*body = malloc((size_t)info->content_length + 1);
		result = *body ? read_sized_body(connection, *body,
						 info->content_length)
			       : BODY_TOO_LONG;
	} else if (mg_get_header(connection, "Transfer-Encoding")) {
		result = read_chunked_body(connection, bytes_max, body);
	} else {
		*body = strdup("");
		result = 0;
	}
	if (result < 0) {
		free(*body);
		*body = NULL;
		/* the unread rest must not be parsed as the next request */
		mg_disable_connection_keep_alive(connection);
	}
	return result;
}

const char *http_reason_phrase(uint32_t status)
{
	return mg_get_response_code_text(NULL, (int)status);
}

void http_reply(struct mg_connection *connection, uint32_t status,
		const char *content_type, const char *headers, const char *body,
		uint32_t body_bytes)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	const char *connection_header = mg_get_header(connection, "Connection");
	bool close_after = (connection_header &&
			    !mg_strcasecmp(connection_header, "close")) ||
			   !strcmp(info->http_version, "1.0");
	char head[HEAD_BYTES];
	char *text;
	int used;

	used = snprintf(head, sizeof(head),
			"HTTP/1.1 %u %s\r\n"
			"Content-Length: %u\r\n"
			"%s%s%s"
			"%s%s\r\n",
			status, http_reason_phrase(status), body_bytes,
			content_type ? "Content-Type: " : "",
			content_type ? content_type : "",
			content_type ? "\r\n" : "",
			close_after ? "Connection: close\r\n" : "",
			headers ? headers : "");
	if (used >= (int)sizeof(head)) {
		mg_disable_connection_keep_alive(connection);
		return;
	}
	if (!strcmp(info->request_method, "HEAD"))
		body_bytes = 0;
	text = malloc((size_t)used + body_bytes);
	if (!text) {
		mg_disable_connection_keep_alive(connection);
		return;
	}
	memcpy(text, head, (size_t)used);
	if (body_bytes)
		memcpy(text + used, body, body_bytes);
	/* one write, so that header and body are not split over packets */
	mg_write(connection, text, (size_t)used + body_bytes);
	free(text);
	if (close_after)
		mg_disable_connection_keep_alive(connection);
}

void http_reply_json(struct mg_connection *connection, uint32_t status,
		     const char *headers, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	http_reply(connection, status, "application/json", headers,
		   text ? text : "", text ? (uint32_t)strlen(text) : 0);
	free(text);
	json_decref(value);
}

void http_reply_error(struct mg_connection *connection, uint32_t status,
		      const char *headers, const char *what, const char *remedy)
{
	http_reply_json(connection, status, headers,
			json_pack("{s:s,s:s}", "error", what, "remedy", remedy));
}

bool http_query_parameter(const struct mg_connection *connection,
			  const char *name, char *value, uint32_t value_bytes)
{
	const char *query = mg_get_request_info(connection)->query_string;

	value[0] = '\0';
	if (!query)
		return false;
	return mg_get_var(query, strlen(query), name, value, value_bytes) >= 0;
}
