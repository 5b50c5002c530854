#include "request/headers.h"

#include <stdbool.h>
#include <string.h>
#include <strings.h>

#include "base/attributes.h"
#include "platform/header_codec.h"

/* Hop-by-hop headers (RFC 9110 section 7.6.1), and headers for the framing of
 * the body, which the proxy generates itself. */
static const char *const hop_by_hop_headers[] = {
	"Connection", "Keep-Alive",	"Proxy-Connection",
	"TE",	      "Trailer",	"Transfer-Encoding",
	"Upgrade",    "Content-Length", "Expect",
};

static bool is_forwarded(const struct http_head *head, const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(hop_by_hop_headers); i++)
		if (!strcasecmp(name, hop_by_hop_headers[i]))
			return false;
	return !http_head_has_token(head, "Connection", name);
}

static void copy_request_line(const struct http_head *head, struct evbuffer *out)
{
	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", head->method,
			    head->target);
}

static void copy_header(const struct http_header *header, struct evbuffer *out)
{
	evbuffer_add_printf(out, "%s: %s\r\n", header->name, header->value);
}

void headers_copy_request(const struct http_head *head, bool has_workspaces,
			  struct evbuffer *out)
{
	uint32_t i;

	copy_request_line(head, out);
	for (i = 0; i < head->header_count; i++) {
		const struct http_header *header = &head->headers[i];

		if (has_workspaces &&
		    (request_header_has_key(header->name) ||
		     request_header_names_workspace(header->name)))
			continue;
		if (is_forwarded(head, header->name) &&
		    !request_header_is_set_by_proxy(header->name))
			copy_header(header, out);
	}
}

void headers_copy_request_for_vm(const struct http_head *head,
				 struct evbuffer *out)
{
	uint32_t i;

	copy_request_line(head, out);
	for (i = 0; i < head->header_count; i++) {
		const struct http_header *header = &head->headers[i];

		/* a key named in Connection is valid here, and so it is there */
		if (request_header_has_key(header->name) ||
		    (is_forwarded(head, header->name) &&
		     !request_header_is_set_by_proxy(header->name)))
			copy_header(header, out);
	}
}

void headers_end_request(const char *method, size_t body_bytes,
			 struct evbuffer *out)
{
	if (body_bytes || (strcmp(method, "GET") && strcmp(method, "HEAD")))
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", body_bytes);
	evbuffer_add(out, "\r\n", 2);
}

void headers_copy_response(const struct http_head *head, bool from_vm,
			   struct evbuffer *out)
{
	uint32_t i;

	for (i = 0; i < head->header_count; i++) {
		const struct http_header *header = &head->headers[i];

		if (is_forwarded(head, header->name) &&
		    !(from_vm && response_header_is_between_vms(header->name)))
			copy_header(header, out);
	}
}
