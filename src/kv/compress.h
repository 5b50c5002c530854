#ifndef KV_COMPRESS_H
#define KV_COMPRESS_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/attributes.h"

/** @file The "deflate" content coding, for lists that entry VMs exchange. */

#define COMPRESS_CODING "deflate"

/** Compresses the buffer in place. @return false: it is unchanged. */
MUST_USE bool compress_deflate(struct evbuffer *buffer);

/**
 * Decompresses the buffer in place.
 *
 * @param bytes_max limit of the decompressed size.
 * @return false: the data is invalid or exceeds the limit; the buffer is
 * unchanged.
 */
MUST_USE bool compress_inflate(struct evbuffer *buffer, size_t bytes_max);

#endif
