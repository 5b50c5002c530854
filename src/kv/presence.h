#ifndef KV_PRESENCE_H
#define KV_PRESENCE_H

#include <event2/event.h>
#include <netinet/in.h>

/**
 * @file
 * Keeps one key in the store for as long as this process lives: a lease, the
 * key bound to it, renewals, and a new lease when the old one has lapsed. Runs
 * on the loop's thread.
 */

struct presence;

/** How the store answers to the renewals. */
struct presence_events {
	/** The store does not answer, noticed within two seconds: a watch that
	 * waits would not show it for much longer. */
	void (*lost)(void *context);
	void (*found)(void *context);
};

/** Time between two renewals at first, in ms. */
#define PRESENCE_RENEW_MS 1000

/**
 * @param key and `value` are copied.
 * @return a presence that the caller frees, or NULL.
 */
struct presence *presence_new(struct event_base *base,
			      const struct sockaddr_in *store, const char *key,
			      const char *value,
			      const struct presence_events *events,
			      void *context);

/** Sets the time between two renewals; a shorter one notices sooner that the
 * store does not answer. */
void presence_set_renewal(struct presence *presence, uint32_t renew_ms);

/** Ends the lease, so that the key vanishes at once. */
void presence_withdraw(struct presence *presence);

void presence_free(struct presence *presence);

#endif
