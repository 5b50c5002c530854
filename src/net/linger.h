#ifndef NET_LINGER_H
#define NET_LINGER_H

#include <event2/bufferevent.h>
#include <stdint.h>

/**
 * @file
 * Lingering close of connections.
 */

/**
 * Closes a connection after its output was sent and the peer has closed, or
 * after a time-out. Closing immediately with unread input would reset the
 * connection, and the peer could lose the last response.
 *
 * Takes ownership of `bev`; may be called from its callbacks. Loop's thread.
 */
void linger_close(struct bufferevent *bev);

/** @return the number of connections being closed whose output was not yet
 * passed to the kernel; it is lost if the process exits now. */
uint32_t linger_unsent_count(void);

/** Closes all of these connections at once. */
void linger_free_all(void);

#endif
