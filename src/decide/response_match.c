#include "decide/response_match.h"

#include <string.h>
#include <xxhash.h>

static uint64_t hash_id(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

bool response_history_allows(const struct response_history *history,
			     const char *request_id)
{
	uint64_t hash;
	uint32_t i;

	if (!request_id)
		return true;
	hash = hash_id(request_id);
	for (i = 0; i < history->refused_count; i++)
		if (history->refused_ids[i] == hash)
			return false;
	return true;
}

bool response_history_add_refusal(struct response_history *history,
				  const char *request_id)
{
	if (!request_id || history->refused_count == RESPONSE_HISTORY_REFUSALS_MAX)
		return false;
	history->refused_ids[history->refused_count++] = hash_id(request_id);
	return true;
}

enum response_match response_match(const struct response_history *history,
				   const struct response_origin *origin,
				   const char *request_id)
{
	if (!origin->id) {
		if (origin->refused &&
		    (!history->has_response || origin->answers_unread))
			return RESPONSE_MATCHES;
		return RESPONSE_UNPROVED;
	}
	if (!request_id || strcmp(origin->id, request_id))
		return RESPONSE_OF_OTHER;
	return origin->refused && !response_history_allows(history, request_id)
		       ? RESPONSE_UNPROVED
		       : RESPONSE_MATCHES;
}
