/** @file Finds headers and header tokens in a message's head. */

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
