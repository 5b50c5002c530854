#ifndef STANDIN_ENDLESS_H
#define STANDIN_ENDLESS_H

#include <event2/event.h>

/**
 * @file
 * A broken backend server: responds to whatever it receives with bytes that do
 * not end until the peer closes the connection. Runs on the event loop's thread.
 */

struct endless;

/**
 * @param address "IP:port" to listen on.
 * @param kind endless-head and so on, see platform_server_set_fault().
 * @return a server that the caller frees, or NULL.
 */
struct endless *endless_new(struct event_base *base, const char *address,
			    const char *kind);
void endless_free(struct endless *endless);

#endif
