#ifndef KV_RELAY_H
#define KV_RELAY_H

#include <event2/event.h>
#include <stddef.h>

#include "kv/feed.h"
#include "net/responder.h"

/**
 * @file
 * Serves reads of other VMs from this VM's feeds, in the store's protocol, so
 * that one VM of a failure domain reads from the store for all. Runs on the
 * loop's thread.
 */

struct relay;

/**
 * @param address "IP:port" to listen on.
 * @param feeds owned by the caller; they must outlive the relay.
 * @return a relay that the caller frees; NULL if it cannot listen, which is
 * logged.
 */
struct relay *relay_new(struct event_base *base, const char *address,
			struct feed *const *feeds, size_t feed_count);
void relay_free(struct relay *relay);

/**
 * Lets a handler respond to the requests for another path on the same listener.
 *
 * @param path a string that outlives the relay; at most one can be set.
 * @param context must outlive the relay.
 */
void relay_set_handler(struct relay *relay, const char *path,
		       responder_handler handler, void *context);

#endif
