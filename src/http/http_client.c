#include "http/http_client.h"

#include <civetweb.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/deadline.h"

#define ERROR_BYTES 128
#define HOST_BYTES 64
#define BODY_FIRST_BYTES 4096

struct http_connection {
	struct mg_connection *mg;
	char host[HOST_BYTES];
	bool reusable;
};

static bool split_address(const char *address, char *host, int *port)
{
	const char *colon = strrchr(address, ':');
	size_t host_bytes;

	if (!colon)
		return false;
	host_bytes = (size_t)(colon - address);
	if (host_bytes >= HOST_BYTES)
		return false;
	memcpy(host, address, host_bytes);
	host[host_bytes] = '\0';
	*port = atoi(colon + 1);
	return true;
}

struct http_connection *http_connect(const char *address, int64_t deadline_ns)
{
	struct http_connection *connection = calloc(1, sizeof(*connection));
	char error[ERROR_BYTES] = "";
	int port;

	if (!connection)
		return NULL;
	if (!split_address(address, connection->host, &port))
		goto fail;
	deadline_arm(deadline_ns);
	connection->mg = mg_connect_client(connection->host, port, 0, error,
					   sizeof(error));
	deadline_disarm();
	if (!connection->mg)
		goto fail;
	return connection;
fail:
	free(connection);
	return NULL;
}

void http_close(struct http_connection *connection)
{
	if (!connection)
		return;
	mg_close_connection(connection->mg);
	free(connection);
}

bool http_reusable(const struct http_connection *connection)
{
	return connection->reusable;
}

static bool send_request(struct http_connection *connection,
			 const struct http_request *request)
{
	GString *text = g_string_sized_new(512 + request->body_bytes);
	bool sent;

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
			       request->method, request->path, connection->host);
	if (request->headers)
		g_string_append(text, request->headers);
	if (request->body_bytes || strcmp(request->method, "GET"))
		g_string_append_printf(text, "Content-Length: %u\r\n",
				       request->body_bytes);
	g_string_append(text, "\r\n");
	if (request->body_bytes)
		g_string_append_len(text, request->body, request->body_bytes);
	sent = mg_write(connection->mg, text->str, text->len) == (int)text->len;
	g_string_free(text, TRUE);
	return sent;
}

static bool read_header(struct http_connection *connection, int64_t deadline_ns)
{
	int64_t left_ms = (deadline_ns - clock_now_ns(&clock_system)) / NS_PER_MS;
	char error[ERROR_BYTES] = "";

	if (left_ms < 1)
		left_ms = 1;
	return mg_get_response(connection->mg, error, sizeof(error),
			       (int)left_ms) >= 0;
}

static enum http_result lost(int64_t deadline_ns)
{
	return deadline_passed(deadline_ns) ? HTTP_TIMED_OUT : HTTP_LOST;
}

static void copy_headers(const struct mg_response_info *info,
			 struct http_answer *answer)
{
	int i;

	answer->status = (uint32_t)info->status_code;
	for (i = 0; i < info->num_headers && i < HTTP_HEADERS_MAX; i++) {
		answer->headers[i].name = strdup(info->http_headers[i].name);
		answer->headers[i].value = strdup(info->http_headers[i].value);
		answer->header_count++;
	}
}

static bool has_token(const char *value, const char *token)
{
	return value && strcasestr(value, token);
}

/** Reads a body of known length whole. */
static enum http_result read_counted(struct http_connection *connection,
				     struct http_answer *answer,
				     long long body_bytes,
				     const struct http_request *request)
{
	uint32_t used = 0;
	int count;

	if (body_bytes > request->answer_bytes_max)
		return HTTP_TOO_LONG;
	answer->body = malloc((size_t)body_bytes + 1);
	if (!answer->body)
		return HTTP_TOO_LONG;
	while (used < body_bytes) {
		count = mg_read(connection->mg, answer->body + used,
				(size_t)body_bytes - used);
		if (count <= 0)
			return lost(request->deadline_ns);
		used += (uint32_t)count;
	}
	answer->body[used] = '\0';
	answer->body_bytes = used;
	return HTTP_WHOLE;
}

/** Reads a chunked body to its last chunk. */
static enum http_result read_chunked(struct http_connection *connection,
				     struct http_answer *answer,
				     const struct http_request *request)
{
	uint32_t size = BODY_FIRST_BYTES;
	char *larger;
	int count;

	answer->body = malloc(size + 1);
	while (answer->body) {
		count = mg_read(connection->mg, answer->body + answer->body_bytes,
				size - answer->body_bytes);
		if (count < 0)
			return lost(request->deadline_ns);
		answer->body_bytes += (uint32_t)count;
		answer->body[answer->body_bytes] = '\0';
		if (!count)
			return HTTP_WHOLE;
		if (answer->body_bytes > request->answer_bytes_max)
			return HTTP_TOO_LONG;
		if (answer->body_bytes < size)
			continue;
		size *= 2;
		larger = realloc(answer->body, size + 1);
		if (!larger)
			break;
		answer->body = larger;
	}
	return HTTP_TOO_LONG;
}

static enum http_result read_body(struct http_connection *connection,
				  const struct http_request *request,
				  struct http_answer *answer,
				  const struct mg_response_info *info)
{
	if (!strcmp(request->method, "HEAD") || answer->status == 204 ||
	    answer->status == 304)
		return HTTP_WHOLE;
	if (info->content_length >= 0)
		return read_counted(connection, answer, info->content_length,
				    request);
	if (has_token(http_answer_header(answer, "Transfer-Encoding"), "chunked"))
		return read_chunked(connection, answer, request);
	/* without a length, a truncated answer would look whole */
	return HTTP_LOST;
}

static enum http_result read_answer(struct http_connection *connection,
				    const struct http_request *request,
				    struct http_answer *answer)
{
	const struct mg_response_info *info;
	enum http_result result;

	if (!read_header(connection, request->deadline_ns))
		return lost(request->deadline_ns);
	info = mg_get_response_info(connection->mg);
	if (!info || info->status_code < 200 || info->status_code > 599)
		return HTTP_LOST;
	copy_headers(info, answer);
	result = read_body(connection, request, answer, info);
	if (result == HTTP_WHOLE)
		connection->reusable =
			!has_token(http_answer_header(answer, "Connection"),
				   "close");
	return result;
}

enum http_result http_exchange(struct http_connection *connection,
			       const struct http_request *request,
			       struct http_answer *answer)
{
	enum http_result result;

	connection->reusable = false;
	if (deadline_passed(request->deadline_ns))
		return HTTP_NOT_SENT;
	deadline_arm(request->deadline_ns);
	if (send_request(connection, request))
		result = read_answer(connection, request, answer);
	else
		result = lost(request->deadline_ns);
	deadline_disarm();
	if (result != HTTP_WHOLE)
		http_answer_clear(answer);
	return result;
}

const char *http_answer_header(const struct http_answer *answer, const char *name)
{
	uint32_t i;

	for (i = 0; i < answer->header_count; i++)
		if (!strcasecmp(answer->headers[i].name, name))
			return answer->headers[i].value;
	return NULL;
}

void http_answer_clear(struct http_answer *answer)
{
	uint32_t i;

	for (i = 0; i < answer->header_count; i++) {
		free(answer->headers[i].name);
		free(answer->headers[i].value);
	}
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

bool http_open_stream(struct http_connection *connection,
		      const struct http_request *request)
{
	const struct mg_response_info *info;
	bool open;

	connection->reusable = false;
	deadline_arm(request->deadline_ns);
	open = send_request(connection, request) &&
	       read_header(connection, request->deadline_ns);
	deadline_disarm();
	if (!open)
		return false;
	info = mg_get_response_info(connection->mg);
	return info && info->status_code == 200;
}

int http_read_line(struct http_connection *connection, char *line,
		   uint32_t line_bytes, int64_t deadline_ns)
{
	uint32_t used = 0;

	deadline_arm(deadline_ns);
	/* the library fills the whole buffer before it returns */
	while (used + 1 < line_bytes &&
	       mg_read(connection->mg, line + used, 1) == 1) {
		if (line[used] == '\n') {
			deadline_disarm();
			line[used] = '\0';
			return (int)used;
		}
		used++;
	}
	deadline_disarm();
	return -1;
}
