#ifndef PROXY_DIRECTORY_H
#define PROXY_DIRECTORY_H

#include "net/responder.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Serves the directory that tells callers which entry VMs to use: the live ones
 * of the caller's region, or all live ones if that region has none. VMs that
 * are cut off from all servers are left out, see decide/naming.h.
 */

/** A responder_handler; `context` is the proxy. */
void directory_handle_request(void *context, struct responder_request *request);

#endif
