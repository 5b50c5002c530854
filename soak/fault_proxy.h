#ifndef SOAK_FAULT_PROXY_H
#define SOAK_FAULT_PROXY_H

#include <event2/event.h>
#include <stdbool.h>

/**
 * @file
 * A TCP proxy on loopback that injects faults into the connections through it.
 */

struct fault_proxy;

/**
 * @param listen and `target` are "IP:port".
 * @return a proxy that the caller frees, or NULL.
 */
struct fault_proxy *fault_proxy_new(struct event_base *base, const char *listen,
				    const char *target);
void fault_proxy_free(struct fault_proxy *proxy);

/**
 * Sets the fault mode of all current and future connections.
 *
 * @param how "pass"; "delay": forwards data up to 300 ms later; "silent":
 * forwards nothing; "oneway": forwards nothing to the target; "reset": resets
 * connections, also new ones. Data held back by "silent" or "oneway" is
 * forwarded once the mode changes.
 * @return false if `how` is none of these.
 */
bool fault_proxy_set_mode(struct fault_proxy *proxy, const char *how);

#endif
