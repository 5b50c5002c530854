#include "request/headers.h"

#include "unit/test.h"

static struct http_header headers[] = {
	{ "Host", "a.example" },
	{ "authorization", "Bearer k1" },
	{ "AUTHORIZATION", "Bearer k1" },
	{ "tenant-ID", "mill" },
	{ "Tenant-Id", "dairy" },
	{ "Connection", "keep-alive, Authorization, X-Hop" },
	{ "X-Hop", "1" },
	{ "Deadline-Ms", "400" },
	{ "Trailer", "Tenant-Id" },
	{ "X", "y" },
};

static struct http_head head = {
	.method = "GET",
	.target = "/a?b",
	.headers = headers,
	.header_count = ARRAY_SIZE(headers),
};

static char *take_text(struct evbuffer *buffer)
{
	char *text = g_strndup((char *)evbuffer_pullup(buffer, -1),
			       evbuffer_get_length(buffer));

	evbuffer_free(buffer);
	return text;
}

/* Guards against keys that reach servers, and against callers that name their
 * workspace themselves. */
static void keys_and_claimed_workspaces_are_not_forwarded(void)
{
	struct evbuffer *out = evbuffer_new();
	char *text;

	headers_copy_request(&head, true, out);
	text = take_text(out);
	g_assert_cmpstr(text, ==,
			"GET /a?b HTTP/1.1\r\nHost: a.example\r\nX: y\r\n");
	g_free(text);
}

/* Guards against a changed behaviour of fleets without workspaces. */
static void without_workspaces_both_are_forwarded(void)
{
	struct evbuffer *out = evbuffer_new();
	char *text;

	headers[5].value = "keep-alive, X-Hop";
	headers_copy_request(&head, false, out);
	headers[5].value = "keep-alive, Authorization, X-Hop";
	text = take_text(out);
	g_assert_cmpstr(text, ==,
			"GET /a?b HTTP/1.1\r\nHost: a.example\r\n"
			"authorization: Bearer k1\r\n"
			"AUTHORIZATION: Bearer k1\r\ntenant-ID: mill\r\n"
			"Tenant-Id: dairy\r\nX: y\r\n");
	g_free(text);
}

/* Guards against a request that one VM accepts and the VM that it passes the
 * request on to refuses. */
static void another_vm_gets_the_key(void)
{
	struct evbuffer *out = evbuffer_new();
	char *text;

	headers_copy_request_for_vm(&head, out);
	text = take_text(out);
	g_assert_cmpstr(text, ==,
			"GET /a?b HTTP/1.1\r\nHost: a.example\r\n"
			"authorization: Bearer k1\r\n"
			"AUTHORIZATION: Bearer k1\r\ntenant-ID: mill\r\n"
			"Tenant-Id: dairy\r\nX: y\r\n");
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("headers", keys_and_claimed_workspaces_are_not_forwarded);
	ADD_TEST("headers", without_workspaces_both_are_forwarded);
	ADD_TEST("headers", another_vm_gets_the_key);
	return g_test_run();
}
