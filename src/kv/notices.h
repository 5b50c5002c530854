#ifndef KV_NOTICES_H
#define KV_NOTICES_H

#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

#include "base/clock.h"

/**
 * @file
 * Writes keys with a limited lifetime to the store: what this VM has found out
 * and all entry VMs should know. They outlive this process by up to two
 * minutes. A failed call is repeated. Runs on the loop's thread.
 */

struct notices;

/** @return notices that the caller frees, or NULL. */
struct notices *notices_new(struct event_base *base, const struct clock *clock,
			    const struct sockaddr_in *store);
void notices_free(struct notices *notices);

/**
 * Writes a key, in the order of the calls. Replaces a value of the key that is
 * not written yet. If too many keys are waiting, it is dropped and logged.
 *
 * @param rewrite whether it is written again when the store has lost it.
 */
void notices_write(struct notices *notices, const char *key, const char *value,
		   bool rewrite);

/** The store has come back from a copy: writes again what it may have lost. */
void notices_on_new_era(struct notices *notices);

#endif
