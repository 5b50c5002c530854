#ifndef HANDOFF_PEERS_H
#define HANDOFF_PEERS_H

#include <jansson.h>

#include "proxy/proxy_defs.h"

/**
 * @file
 * The entry VMs that this one passes requests on to: their connections, and
 * which of them failed.
 */

/** Time for which a VM that failed gets no requests. */
#define PEER_AVOID_MS 2000

struct peers;

struct peers *peers_new(struct proxy *proxy);
/** Closes idle connections; attempts in progress keep theirs. */
void peers_free(struct peers *peers);

/** @return what stands for the VM in attempts and the connection pool. */
struct server *peers_get(struct peers *peers, const struct vm *vm);

/** Records that a VM failed: requests are not assigned to it for a while. */
void peers_record_failure(struct peers *peers, const struct server *server,
			  const char *reason);
/** Records that a VM responded. */
void peers_record_success(struct peers *peers, const struct server *server);

json_t *peers_encode_status(const struct peers *peers);

#endif
