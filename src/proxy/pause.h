#ifndef PROXY_PAUSE_H
#define PROXY_PAUSE_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Notices that this process or its machine stood still, after which all that it
 * believes of the fleet is out of date and is read anew. Loop's thread.
 */

struct pause_watch;

struct pause_watch *pause_watch_new(struct proxy *proxy);
void pause_watch_free(struct pause_watch *watch);

#endif
