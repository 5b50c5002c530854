#ifndef KV_RELAY_H
#define KV_RELAY_H

#include <event2/event.h>
#include <stddef.h>

#include "kv/feed.h"

/**
 * @file
 * Answers the reads of other VMs from this VM's feeds, in the store's own
 * dialect, so that one VM of a failure domain reads from the store for all.
 * Runs on the loop's thread.
 */

struct relay;

/**
 * @param address "IP:port" to listen on.
 * @param feeds stay the caller's; they must outlive the relay.
 * @return a relay that the caller frees, or NULL with a log line.
 */
struct relay *relay_new(struct event_base *base, const char *address,
			struct feed *const *feeds, size_t feed_count);
void relay_free(struct relay *relay);

#endif
