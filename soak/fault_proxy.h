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
 * Decides on the mode of a single connection.
 *
 * @param fd the accepted socket.
 * @return a mode of fault_proxy_set_mode().
 */
typedef const char *(*fault_proxy_rule)(void *context, int fd);

/**
 * @param listen and `target` are "IP:port".
 * @param rule may be NULL.
 * @return a proxy that the caller frees, or NULL.
 */
struct fault_proxy *fault_proxy_new(struct event_base *base, const char *listen,
				    const char *target, fault_proxy_rule rule,
				    void *rule_context);
void fault_proxy_free(struct fault_proxy *proxy);

/** Applies the rule to the current connections again. */
void fault_proxy_apply_rule(struct fault_proxy *proxy);

/**
 * Sets the fault mode of all current and future connections. Unless it is
 * "pass", the rule has no effect.
 *
 * @param how "pass"; "delay": forwards data up to 300 ms later; "silent":
 * forwards nothing; "oneway": forwards nothing to the target; "reset": resets
 * connections, also new ones; "refuse": resets new ones only; "repeat": writes
 * the last response once more when the next request of a connection comes. Data
 * held back by "silent" or "oneway" is forwarded once the mode changes.
 * @return false if `how` is none of these.
 */
bool fault_proxy_set_mode(struct fault_proxy *proxy, const char *how);

#endif
