#include "workspace/authenticate.h"

#include <string.h>
#include <strings.h>

#include "platform/header_codec.h"

#define SCHEME "Bearer"

/* @return the only value of the header that carries the key; NULL: there is
 * none, or there are several that differ. */
static const char *get_credentials(const struct http_head *head,
				   bool *is_ambiguous)
{
	const char *value = NULL;
	uint32_t i;

	*is_ambiguous = false;
	for (i = 0; i < head->header_count; i++) {
		if (!request_header_has_key(head->headers[i].name))
			continue;
		if (value && strcmp(value, head->headers[i].value)) {
			*is_ambiguous = true;
			return NULL;
		}
		value = head->headers[i].value;
	}
	return value;
}

/* @return the key in the credentials and its length, or NULL. */
static const char *get_key(const char *credentials, size_t *bytes)
{
	const size_t scheme_bytes = strlen(SCHEME);
	const char *key;

	if (strncasecmp(credentials, SCHEME, scheme_bytes))
		return NULL;
	key = credentials + scheme_bytes;
	if (*key != ' ' && *key != '\t')
		return NULL;
	key += strspn(key, " \t");
	*bytes = strlen(key);
	while (*bytes && strchr(" \t", key[*bytes - 1]))
		--*bytes;
	return *bytes ? key : NULL;
}

struct authentication authenticate(const struct config *config,
				   const struct http_head *head)
{
	struct authentication result = { 0 };
	const char *credentials = get_credentials(head, &result.is_ambiguous);
	const char *key;
	size_t bytes;
	int64_t index;

	if (!credentials) {
		result.problem = result.is_ambiguous ? "several-keys" : "no-key";
		return result;
	}
	key = get_key(credentials, &bytes);
	if (!key) {
		result.problem = "no-key";
		return result;
	}
	result.key = workspace_key_hash(key, bytes);
	index = workspace_keys_find(config->keys, result.key);
	if (index < 0)
		result.problem = "unknown-key";
	else
		result.workspace = &config->workspaces[index];
	return result;
}
