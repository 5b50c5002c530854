#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * A bounded queue of pointers with many producers and one consumer. Producers
 * never wait for the consumer; the consumer may wait for an entry.
 */

struct ring;

/**
 * @param slots a power of two; the capacity is one entry less.
 * @return a ring that the caller frees with ring_free(), or NULL.
 */
struct ring *ring_new(uint32_t slots);

/** Frees the ring, but not the entries still in it. NULL is allowed. */
void ring_free(struct ring *ring);

/** Adds an entry. @return false when the ring is full. Any thread. */
bool ring_push(struct ring *ring, void *entry);

/**
 * Removes the oldest entry. Consumer's thread.
 *
 * @param wait_ms longest time to wait for an entry; 0: do not wait.
 * @return the entry, or NULL when there was none in time.
 */
void *ring_pop(struct ring *ring, uint32_t wait_ms);

/** @return the number of entries, approximate while other threads use it. */
uint32_t ring_size(const struct ring *ring);

#endif
