#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <event2/event.h>
#include <stdbool.h>

/**
 * @file
 * A loopback proxy that harms the connections which run through it.
 */

struct proxy_link;

/**
 * @param listen and `target` are "IP:port".
 * @return a proxy that the caller frees, or NULL.
 */
struct proxy_link *proxy_link_new(struct event_base *base, const char *listen,
				  const char *target);
void proxy_link_free(struct proxy_link *link);

/**
 * @param how "pass"; "delay": every byte comes 300 ms later; "silent": nothing
 * passes; "oneway": nothing passes towards the target; "reset": connections
 * end, also new ones. What was held passes after "silent" and "oneway".
 * @return whether `how` is one of these.
 */
bool proxy_link_set(struct proxy_link *link, const char *how);

#endif
