#ifndef PROXY_DIRECTORY_H
#define PROXY_DIRECTORY_H

#include "net/responder.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Tells callers which entry VMs to use: those that live, of the caller's region
 * where there are any.
 */

/** A responder_handler; `context` is the proxy. */
void directory_answer(void *context, struct responder_request *request);

#endif
