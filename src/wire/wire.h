#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include <stddef.h>

#include "wire/peer.pb-c.h"

/**
 * @file
 * Envelopes as bytes. The only place that packs or unpacks them.
 */

/** This program's version of the protocol, and the oldest it understands. */
#define WIRE_PROTOCOL 1
#define WIRE_PROTOCOL_OLDEST 1

/** Larger messages are refused unread: a document and some room. */
#define WIRE_BYTES_MAX (1100 * 1000)

/** @return packed bytes that the caller frees, or NULL. */
void *wire_pack(const Wire__Envelope *envelope, size_t *bytes);

/**
 * Unpacks and checks sizes and counts.
 *
 * @return an envelope to be freed with wire_free(), or NULL.
 */
Wire__Envelope *wire_unpack(const void *bytes, size_t byte_count);
void wire_free(Wire__Envelope *envelope);

#endif
