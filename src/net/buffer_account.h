#ifndef NET_BUFFER_ACCOUNT_H
#define NET_BUFFER_ACCOUNT_H

#include <event2/buffer.h>
#include <stdint.h>

/**
 * @file
 * Counts the bytes of all buffers that hold responses, wherever they are on
 * their way from servers to callers. Limits for each response alone would add
 * up to more than the VM's memory. Loop's thread only.
 */

/** Counts a buffer's bytes from now on. */
void buffer_account_add(struct evbuffer *buffer);

/** Must be called before a counted buffer is freed. */
void buffer_account_remove(struct evbuffer *buffer);

/** @return the bytes in all counted buffers. */
uint64_t buffer_account_bytes(void);

#endif
