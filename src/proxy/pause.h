#ifndef PROXY_PAUSE_H
#define PROXY_PAUSE_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Detects that this process or its machine was suspended. Its view of the fleet
 * is then out of date, so it is read again from the store. Event loop's thread.
 */

struct pause_watch;

struct pause_watch *pause_watch_new(struct proxy *proxy);
void pause_watch_free(struct pause_watch *watch);

#endif
