#ifndef NET_BUFFER_H
#define NET_BUFFER_H

#include <event2/buffer.h>
#include <stdint.h>

/**
 * @file
 * Operations on libevent's buffers that keep the memory allocated for bytes in
 * proportion to their number. A buffer is a list of blocks of 1 KB or more; a
 * block that is moved from buffer to buffer keeps its unused part.
 */

/**
 * Moves all bytes of `from` to the end of `to`. Small amounts are copied, so
 * that `to` allocates no more than about twice the bytes that it holds, in
 * however small pieces they come.
 */
void buffer_append(struct evbuffer *to, struct evbuffer *from);

/** @return the XXH3 hash of all bytes; does not copy them. */
uint64_t buffer_hash(struct evbuffer *buffer);

#endif
