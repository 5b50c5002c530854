#include "decide/retry_after.h"

#include <glib.h>

/* Used if no wait has been estimated. */
#define DEFAULT_MS 500
/* Room that opens in less time is gone when the caller is back. */
#define MIN_MS 50
/* Longer than callers wait; keeps the sum with its jitter in 32 bits. */
#define MAX_MS 120000

struct retry_after_range retry_after_range(const struct retry_after_facts *facts)
{
	uint32_t ms = facts->wait_ms ? facts->wait_ms : DEFAULT_MS;

	if (facts->elsewhere)
		ms = 0;
	ms = MIN(ms, MAX_MS);
	/* an estimate may be too long, but earlier than servers state, a caller
	 * would be refused again */
	return (struct retry_after_range){
		.min_ms = facts->is_stated ? MAX(ms, MIN_MS) : ms / 2 + MIN_MS,
		.end_ms = ms * 3 / 2 + MIN_MS + 1,
	};
}
