#ifndef HANDOFF_HANDOFF_H
#define HANDOFF_HANDOFF_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Passes requests on to the entry VM that is assigned to the servers of their
 * objects, and takes such requests from other VMs. Loop's thread only. All
 * functions allow a proxy without handoff, which places every request itself.
 */

struct exchange;
struct handoff;

/** Listens at the settings' `handoff_address`. @return a handoff that the
 * caller frees, or NULL. */
struct handoff *handoff_new(struct proxy *proxy);
void handoff_free(struct handoff *handoff);

/**
 * Passes a request on to the VM that is assigned to its object, if there is one
 * and it is not this VM. The response, or a failure, then ends the exchange;
 * where the other VM fails and the request may still be sent, the exchange goes
 * on with a server that this VM selects.
 *
 * @return whether the request was passed on.
 */
bool handoff_start(struct exchange *exchange);

#endif
