#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * A bounded queue of pointers from any number of threads to one. Producers
 * never wait for the consumer; the consumer may wait.
 */

struct ring;

/**
 * @param slots power of two; the ring holds one entry less.
 * @return a ring that the caller frees with ring_free(), or NULL.
 */
struct ring *ring_new(uint32_t slots);

/** Frees the ring; entries still in it are the caller's. NULL is allowed. */
void ring_free(struct ring *ring);

/** @return false when the ring is full. Any thread. */
bool ring_push(struct ring *ring, void *entry);

/**
 * @param wait_ms longest wait in milliseconds.
 * @return the oldest entry, or NULL when none came in time. The consumer's thread.
 */
void *ring_pop(struct ring *ring, uint32_t wait_ms);

/** @return the number of entries, approximate while others use the ring. */
uint32_t ring_size(const struct ring *ring);

#endif
