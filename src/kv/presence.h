#ifndef KV_PRESENCE_H
#define KV_PRESENCE_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

/**
 * @file
 * Registers one key in the store while this process runs: acquires a lease,
 * binds the key to it, renews it, and acquires a new one after it has expired.
 * Runs on the loop's thread.
 */

struct presence;

/** Whether the store responds to the registration's calls. */
struct presence_events {
	/** A call failed. Detects an outage of the store within two seconds; a
	 * waiting watch would take much longer. */
	void (*store_unreachable)(void *context);
	/** The first call after a failure succeeded. */
	void (*store_reachable)(void *context);
};

/** Initial interval between renewals. */
#define PRESENCE_RENEW_INTERVAL_MS 1000

/**
 * Starts to register the key.
 *
 * @param key copied, like `value`.
 * @param events not copied.
 * @return a presence that the caller frees, or NULL.
 */
struct presence *presence_new(struct event_base *base,
			      const struct sockaddr_in *store, const char *key,
			      const char *value,
			      const struct presence_events *events,
			      void *context);

/**
 * Reports that the store has come back from a copy, which may lack the lease or
 * the key: registers again, at a random time within half a second, because all
 * VMs do.
 */
void presence_on_new_era(struct presence *presence, uint64_t era);

/** Sets the interval between renewals; a shorter one detects an outage of the
 * store sooner. */
void presence_set_renew_interval(struct presence *presence, uint32_t renew_ms);

/** Writes another value (copied) to the key, under the same lease if there is
 * one. */
void presence_set_value(struct presence *presence, const char *value);

/** Revokes the lease, which removes the key at once. */
void presence_withdraw(struct presence *presence);

/** @return whether the store has removed the key after presence_withdraw(), or
 * never had it. */
bool presence_is_withdrawal_known(const struct presence *presence);

void presence_free(struct presence *presence);

#endif
