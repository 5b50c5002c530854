#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * @file
 * A caller sends an order whose header "Transfer-Encoding" has a space before
 * its colon, and whose body holds the text of another order. The server reads
 * field names as HTTP/1.1 was first defined (RFC 2616, section 2.1: white space
 * may stand between a field name and its colon), and takes the length from the
 * transfer coding if a message has both (RFC 9112, section 6.3).
 */

#define DEADLINE_MS 4000
#define ORDERS 5
#define WAIT_MS 1000

static const char config[] =
	"{\"Version\":\"00000007\",\"Routes\":{"
	"\"order\":{\"Host\":\"shop.example\",\"Prefix\":\"/order/\","
	"\"Kind\":\"non_idempotent\",\"TimeoutMs\":4000,"
	"\"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"counter\","
	"\"MaxAttempts\":2,\"Sticky\":true,\"HomeRegions\":[]}},"
	"\"Services\":{\"counter\":{\"HealthPath\":\"/health\","
	"\"MaxConns\":845,\"Protocol\":\"h1\",\"Tls\":false,"
	"\"ColdStartS\":3.0,\"ColdPerS\":5.7}},"
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

static struct entry_vm vm;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char sent_ids[ORDERS][32];
static int sent_count;
static int unasked_count;

static bool was_sent(const char *id)
{
	int i;

	for (i = 0; i < sent_count; i++)
		if (!strcmp(sent_ids[i], id))
			return true;
	return false;
}

/* Finds a field, with or without white space before its colon. */
static bool find_field(const struct message *message, const char *name,
		       char *out, size_t bytes)
{
	const char *line = strstr(message->head, "\r\n");
	size_t name_bytes = strlen(name);

	while (line && line[2] != '\r') {
		const char *next = strstr(line + 2, "\r\n");
		const char *at = line + 2;

		if (next && !strncasecmp(at, name, name_bytes)) {
			at += name_bytes;
			at += strspn(at, " \t");
			if (*at == ':') {
				at++;
				at += strspn(at, " \t");
				snprintf(out, bytes, "%.*s", (int)(next - at),
					 at);
				return true;
			}
		}
		line = next;
	}
	return false;
}

/* Reads bytes of a body, from what was read already or the connection. */
static bool read_bytes(struct link *link, char *out, size_t bytes)
{
	size_t have = link->used < bytes ? link->used : bytes;

	memcpy(out, link->input, have);
	link->used -= have;
	memmove(link->input, link->input + have, link->used);
	while (have < bytes) {
		ssize_t got = recv(link->fd, out + have, bytes - have, 0);

		if (got <= 0)
			return false;
		have += (size_t)got;
	}
	return true;
}

static bool read_line(struct link *link, char *out, size_t bytes)
{
	size_t used = 0;

	while (used + 1 < bytes && read_bytes(link, &out[used], 1)) {
		if (out[used++] != '\n')
			continue;
		out[used] = '\0';
		return true;
	}
	return false;
}

/* Reads a body in chunks, whose trailer is empty. */
static bool read_chunks(struct link *link, char *out, size_t bytes)
{
	char line[64];
	size_t used = 0;
	size_t chunk;

	while (read_line(link, line, sizeof(line))) {
		chunk = strtoull(line, NULL, 16);
		if (used + chunk >= bytes ||
		    !read_bytes(link, out + used, chunk) ||
		    !read_line(link, line, sizeof(line)))
			return false;
		used += chunk;
		out[used] = '\0';
		if (!chunk)
			return true;
	}
	return false;
}

static bool read_request(struct link *link, struct message *request, char *body,
			 size_t bytes)
{
	char value[64];

	body[0] = '\0';
	if (!read_head(link, request))
		return false;
	if (find_field(request, "Transfer-Encoding", value, sizeof(value)) &&
	    !strcasecmp(value, "chunked"))
		return read_chunks(link, body, bytes);
	if (!find_field(request, "Content-Length", value, sizeof(value)))
		return true;
	if (strtoull(value, NULL, 10) >= bytes)
		return false;
	body[strtoull(value, NULL, 10)] = '\0';
	return read_bytes(link, body, strtoull(value, NULL, 10));
}

static void serve(struct link *link, void *context)
{
	struct message *request = calloc(1, sizeof(*request));
	char body[4096];
	char id[64];

	(void)context;
	while (read_request(link, request, body, sizeof(body))) {
		find_field(request, "Request-Id", id, sizeof(id));
		pthread_mutex_lock(&lock);
		record("server: runs %s, \"%.*s\", body of %zu bytes%s", id,
		       (int)strcspn(request->head, "\r"), request->head,
		       strlen(body),
		       was_sent(id) ? "" : ", which no caller has sent");
		unasked_count += !was_sent(id);
		pthread_mutex_unlock(&lock);
		if (!write_text(link->fd,
				"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
				"Response-Stamp: %s.1\r\n"
				"Content-Length: 2\r\n\r\nok",
				id, id))
			break;
	}
	free(request);
}

/* Sends an order in one chunk. @return the status of the answer. */
static int place_order(int number, const char *body)
{
	struct link *link = calloc(1, sizeof(*link));
	struct message *response = calloc(1, sizeof(*response));
	char *id = sent_ids[number];
	int status = 0;

	pthread_mutex_lock(&lock);
	snprintf(id, sizeof(sent_ids[0]), "order-%d", number + 1);
	sent_count = number + 1;
	pthread_mutex_unlock(&lock);
	link->fd = connect_to(vm.request_port, 0, 0);
	if (write_text(link->fd,
		       "POST /order/new HTTP/1.1\r\nHost: shop.example\r\n"
		       "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
		       "Transfer-Encoding%s: chunked\r\n\r\n"
		       "%zx\r\n%s\r\n0\r\n\r\n",
		       id, DEADLINE_MS, case_has_trouble() ? " " : "",
		       strlen(body), body) &&
	    read_head(link, response))
		status = get_status(response);
	record("caller: %s, body of %zu bytes, is answered %d", id,
	       strlen(body), status);
	close(link->fd);
	free(link);
	free(response);
	return status;
}

int main(void)
{
	static const char body[] =
		"0\r\n\r\n"
		"POST /order/hidden HTTP/1.1\r\nHost: shop.example\r\n"
		"Request-Id: hidden-%d\r\nExpect-Instance: server-1\r\n"
		"Content-Length: 5\r\n\r\nhello";
	char text[512];
	uint16_t port;
	int i;

	case_begin();
	store_start();
	store_put("op/config", config);
	serve_connections(listen_anywhere(&port), serve, NULL);
	store_put_server("server-1", "counter", "leic-a", port, 9, 1);
	entry_start(&vm, "entry-1", "leic-a");
	entry_wait_ready(&vm);
	for (i = 0; i < ORDERS; i++) {
		snprintf(text, sizeof(text), body, i + 1);
		place_order(i, text);
		sleep_ms(WAIT_MS);
	}
	record("%d orders ran that no caller has sent", unasked_count);
	case_end(unasked_count ? RULE_BROKEN : RULE_HELD);
}
