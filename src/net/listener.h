#ifndef NET_LISTENER_H
#define NET_LISTENER_H

#include <event2/listener.h>

#include "net/tcp.h"

/** @file Listening sockets. */

/**
 * Listens on "IPv4:port".
 *
 * @return a listener that the caller frees, or NULL after logging an error.
 */
struct evconnlistener *listener_open(struct event_base *base, const char *address,
				     evconnlistener_cb accepted, void *context);

#endif
