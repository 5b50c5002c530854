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

bool http_is_reusable(const struct http_connection *connection)
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

static bool read_response_header(struct http_connection *connection,
				 int64_t deadline_ns)
{
	int64_t remaining_ms =
		(deadline_ns - clock_now_ns(&clock_system)) / NS_PER_MS;
	char error[ERROR_BYTES] = "";

	if (remaining_ms < 1)
		remaining_ms = 1;
	return mg_get_response(connection->mg, error, sizeof(error),
			       (int)remaining_ms) >= 0;
}

static enum http_result failure_after_send(int64_t deadline_ns)
{
	return deadline_passed(deadline_ns) ? HTTP_TIMED_OUT : HTTP_INCOMPLETE;
}

static void copy_headers(const struct mg_response_info *info,
			 struct http_response *response)
{
	int i;

	response->status = (uint32_t)info->status_code;
	for (i = 0; i < info->num_headers && i < HTTP_HEADERS_MAX; i++) {
		response->headers[i].name = strdup(info->http_headers[i].name);
		response->headers[i].value = strdup(info->http_headers[i].value);
		response->header_count++;
	}
}

static bool has_token(const char *value, const char *token)
{
	return value && strcasestr(value, token);
}

/** Reads a body whose length is known. */
static enum http_result read_sized_body(struct http_connection *connection,
					struct http_response *response,
					long long body_bytes,
					const struct http_request *request)
{
	uint32_t used = 0;
	int count;

	if (body_bytes > request->response_bytes_max)
		return HTTP_TOO_LONG;
	response->body = malloc((size_t)body_bytes + 1);
	if (!response->body)
		return HTTP_TOO_LONG;
	while (used < body_bytes) {
		count = mg_read(connection->mg, response->body + used,
				(size_t)body_bytes - used);
		if (count <= 0)
			return failure_after_send(request->deadline_ns);
		used += (uint32_t)count;
	}
	response->body[used] = '\0';
	response->body_bytes = used;
	return HTTP_COMPLETE;
}

/** Reads a chunked body up to its last chunk. */
static enum http_result read_chunked_body(struct http_connection *connection,
					  struct http_response *response,
					  const struct http_request *request)
{
	uint32_t size = BODY_FIRST_BYTES;
	char *larger;
	int count;

	response->body = malloc(size + 1);
	while (response->body) {
		count = mg_read(connection->mg,
				response->body + response->body_bytes,
				size - response->body_bytes);
		if (count < 0)
			return failure_after_send(request->deadline_ns);
		response->body_bytes += (uint32_t)count;
		response->body[response->body_bytes] = '\0';
		if (!count)
			return HTTP_COMPLETE;
		if (response->body_bytes > request->response_bytes_max)
			return HTTP_TOO_LONG;
		if (response->body_bytes < size)
			continue;
		size *= 2;
		larger = realloc(response->body, size + 1);
		if (!larger)
			break;
		response->body = larger;
	}
	return HTTP_TOO_LONG;
}

static enum http_result read_body(struct http_connection *connection,
				  const struct http_request *request,
				  struct http_response *response,
				  const struct mg_response_info *info)
{
	if (!strcmp(request->method, "HEAD") || response->status == 204 ||
	    response->status == 304)
		return HTTP_COMPLETE;
	if (info->content_length >= 0)
		return read_sized_body(connection, response,
				       info->content_length, request);
	if (has_token(http_response_header(response, "Transfer-Encoding"),
		      "chunked"))
		return read_chunked_body(connection, response, request);
	/* without a length, a truncated response would look complete */
	return HTTP_INCOMPLETE;
}

static enum http_result read_response(struct http_connection *connection,
				      const struct http_request *request,
				      struct http_response *response)
{
	const struct mg_response_info *info;
	enum http_result result;

	if (!read_response_header(connection, request->deadline_ns))
		return failure_after_send(request->deadline_ns);
	info = mg_get_response_info(connection->mg);
	if (!info || info->status_code < 200 || info->status_code > 599)
		return HTTP_INCOMPLETE;
	copy_headers(info, response);
	result = read_body(connection, request, response, info);
	if (result == HTTP_COMPLETE)
		connection->reusable =
			!has_token(http_response_header(response, "Connection"),
				   "close");
	return result;
}

enum http_result http_exchange(struct http_connection *connection,
			       const struct http_request *request,
			       struct http_response *response)
{
	enum http_result result;

	connection->reusable = false;
	if (deadline_passed(request->deadline_ns))
		return HTTP_NOT_SENT;
	deadline_arm(request->deadline_ns);
	if (send_request(connection, request))
		result = read_response(connection, request, response);
	else
		result = failure_after_send(request->deadline_ns);
	deadline_disarm();
	if (result != HTTP_COMPLETE)
		http_response_clear(response);
	return result;
}

const char *http_response_header(const struct http_response *response,
				 const char *name)
{
	uint32_t i;

	for (i = 0; i < response->header_count; i++)
		if (!strcasecmp(response->headers[i].name, name))
			return response->headers[i].value;
	return NULL;
}

void http_response_clear(struct http_response *response)
{
	uint32_t i;

	for (i = 0; i < response->header_count; i++) {
		free(response->headers[i].name);
		free(response->headers[i].value);
	}
	free(response->body);
	memset(response, 0, sizeof(*response));
}

bool http_open_stream(struct http_connection *connection,
		      const struct http_request *request)
{
	const struct mg_response_info *info;
	bool opened;

	connection->reusable = false;
	deadline_arm(request->deadline_ns);
	opened = send_request(connection, request) &&
		 read_response_header(connection, request->deadline_ns);
	deadline_disarm();
	if (!opened)
		return false;
	info = mg_get_response_info(connection->mg);
	return info && info->status_code == 200;
}

int http_read_line(struct http_connection *connection, char *line,
		   uint32_t line_bytes, int64_t deadline_ns)
{
	uint32_t used = 0;

	deadline_arm(deadline_ns);
	/* mg_read() returns only when it has filled the buffer */
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
