#ifndef PROXY_BELIEF_H
#define PROXY_BELIEF_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Keeps what the data path believes in step with the platform's store:
 * configuration, evacuations, backend servers, and the other entry VMs.
 */

/** Begins to follow the store. @return NULL when memory is short. */
struct belief *belief_new(struct proxy *proxy, const struct sockaddr_in *store);
void belief_free(struct belief *belief);

/** @return whether all that the store holds has been read once. */
bool belief_complete(const struct belief *belief);

/** Reads everything anew, after this process was paused. */
void belief_resync(struct belief *belief);

/** Reads anew what is read from the store itself, which does not answer. */
void belief_store_lost(struct belief *belief);
void belief_store_found(struct belief *belief);

/** @return time since the list of servers was last confirmed, in ms. */
int64_t belief_servers_age_ms(const struct belief *belief);

#endif
