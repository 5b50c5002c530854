#ifndef STANDIN_ENDLESS_H
#define STANDIN_ENDLESS_H

#include <event2/event.h>

/**
 * @file
 * A broken backend server: responds to whatever it receives with bytes that do
 * not end until the peer closes the connection. Runs on the event loop's thread.
 */

struct endless;

/** Stands for the request's ID in the start of a response. */
#define ENDLESS_ID "{id}"

/**
 * @param address "IP:port" to listen on.
 * @param start sent first.
 * @param piece follows again and again.
 * @return a server that the caller frees, or NULL.
 */
struct endless *endless_new(struct event_base *base, const char *address,
			    const char *start, const char *piece);
void endless_free(struct endless *endless);

#endif
