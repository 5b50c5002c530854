#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include <stddef.h>

#include "wire/peer.pb-c.h"

/**
 * @file
 * Serializes and parses envelopes. No other module does so.
 */

/** Protocol version of this program, and the oldest one that it accepts. */
#define WIRE_PROTOCOL 1
#define WIRE_PROTOCOL_OLDEST 1

/** Larger messages are rejected unparsed. Leaves room for one document. */
#define WIRE_BYTES_MAX (1100 * 1000)

/**
 * @param byte_count receives the length.
 * @return the packed envelope, which the caller frees, or NULL.
 */
void *wire_pack(const Wire__Envelope *envelope, size_t *byte_count);

/**
 * Unpacks an envelope and checks its protocol version and the lengths and
 * counts in it.
 *
 * @return an envelope to be freed with wire_free(), or NULL if it is invalid.
 */
Wire__Envelope *wire_unpack(const void *bytes, size_t byte_count);

/** NULL is allowed. */
void wire_free(Wire__Envelope *envelope);

#endif
