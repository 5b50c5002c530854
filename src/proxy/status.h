#ifndef PROXY_STATUS_H
#define PROXY_STATUS_H

#include <event2/buffer.h>

#include "proxy/proxy_defs.h"

/**
 * @file
 * This entry VM's status for operators: the configuration in force and how
 * current its view of the fleet is. Loop's thread only.
 */

#define STATUS_PATH "/status"

/** Appends the status as JSON, with the other entry VMs that are registered and
 * where to ask them. */
void status_write(const struct proxy *proxy, struct evbuffer *out);

#endif
