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
 * after a time in which the peer made no progress, in reading or in closing.
 * Closing immediately with unread input would reset the
 * connection, and the peer could lose the last response.
 *
 * Takes ownership of `bev`, whose output is in the account of buffers (see
 * net/buffer_account.h); may be called from its callbacks. Loop's thread.
 */
void linger_close(struct bufferevent *bev);

/** @return the number of connections being closed whose peer has not received
 * all output; what this process still holds is lost if it exits now. */
uint32_t linger_undelivered_count(void);

/** Closes all of these connections at once. */
void linger_free_all(void);

#endif
