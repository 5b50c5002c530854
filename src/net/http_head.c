/** @file Finds and checks headers and header tokens in a message's head. */

#include <glib.h>
#include <string.h>
#include <strings.h>

#include "net/http_stream.h"

const char *http_head_get(const struct http_head *head, const char *name)
{
	uint32_t i;

	for (i = 0; i < head->header_count; i++)
		if (!strcasecmp(head->headers[i].name, name))
			return head->headers[i].value;
	return NULL;
}

bool http_head_has_token(const struct http_head *head, const char *name,
			 const char *token)
{
	size_t bytes = strlen(token);
	uint32_t i;

	for (i = 0; i < head->header_count; i++) {
		const char *at = head->headers[i].value;

		if (strcasecmp(head->headers[i].name, name))
			continue;
		while (*at) {
			size_t length;

			at += strspn(at, " \t,");
			length = strcspn(at, " \t,");
			if (length == bytes && !strncasecmp(at, token, bytes))
				return true;
			at += length;
		}
	}
	return false;
}

static bool is_token(const char *text)
{
	const char *at;

	for (at = text; *at; at++)
		if (!g_ascii_isalnum(*at) && !strchr("!#$%&'*+-.^_`|~", *at))
			return false;
	return at > text;
}

/* Other codings would have to be undone too, and their field is not passed on. */
static bool is_chunked_alone(const char *value)
{
	const size_t length = strlen("chunked");

	return !strncasecmp(value, "chunked", length) &&
	       !value[length + strspn(value + length, " \t")];
}

/* White space and control characters end a target for some servers. */
static bool is_target(const char *text)
{
	const char *at;

	for (at = text; *at; at++)
		if ((unsigned char)*at <= ' ' || *at == '\x7f')
			return false;
	return true;
}

bool http_head_is_valid(const struct http_head *head)
{
	bool has_coding = false;
	uint32_t i;

	if (head->target && !is_target(head->target))
		return false;
	for (i = 0; i < head->header_count; i++) {
		const struct http_header *header = &head->headers[i];

		if (!is_token(header->name))
			return false;
		if (strcasecmp(header->name, "Transfer-Encoding"))
			continue;
		if (has_coding || !is_chunked_alone(header->value))
			return false;
		has_coding = true;
	}
	return true;
}
