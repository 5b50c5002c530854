#ifndef KV_COMPRESS_H
#define KV_COMPRESS_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/attributes.h"

/** @file The "deflate" content coding, for lists that entry VMs exchange. */

#define COMPRESS_CODING "deflate"

/** Replaces the buffer's bytes. @return false: the buffer is as it was. */
MUST_USE bool compress_buffer(struct evbuffer *buffer);

/**
 * Replaces the buffer's bytes.
 *
 * @param bytes_max the most that the result may hold.
 * @return false: they cannot be restored, or would be too many.
 */
MUST_USE bool compress_restore(struct evbuffer *buffer, size_t bytes_max);

#endif
