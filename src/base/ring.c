#include "base/ring.h"

#include <ck_ring.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"

struct ring {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	pthread_mutex_t lock;
	sem_t entry_available;
};

struct ring *ring_new(uint32_t slots)
{
	struct ring *ring = calloc(1, sizeof(*ring));

	if (!ring)
		return NULL;
	ring->buffer = calloc(slots, sizeof(*ring->buffer));
	if (!ring->buffer) {
		free(ring);
		return NULL;
	}
	ck_ring_init(&ring->ring, slots);
	pthread_mutex_init(&ring->lock, NULL);
	sem_init(&ring->entry_available, 0, 0);
	return ring;
}

void ring_free(struct ring *ring)
{
	if (!ring)
		return;
	pthread_mutex_destroy(&ring->lock);
	sem_destroy(&ring->entry_available);
	free(ring->buffer);
	free(ring);
}

bool ring_push(struct ring *ring, void *entry)
{
	bool pushed;

	/* a mutex, not a spin lock: there are more producers than cores */
	pthread_mutex_lock(&ring->lock);
	pushed = ck_ring_enqueue_spsc(&ring->ring, ring->buffer, entry);
	pthread_mutex_unlock(&ring->lock);
	if (!pushed)
		return false;
	sem_post(&ring->entry_available);
	return true;
}

static void wait_for_entry(struct ring *ring, uint32_t wait_ms)
{
	struct timespec deadline;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += wait_ms / MS_PER_S;
	deadline.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (deadline.tv_nsec >= MS_PER_S * NS_PER_MS) {
		deadline.tv_nsec -= MS_PER_S * NS_PER_MS;
		deadline.tv_sec++;
	}
	sem_clockwait(&ring->entry_available, CLOCK_MONOTONIC, &deadline);
}

void *ring_pop(struct ring *ring, uint32_t wait_ms)
{
	void *entry = NULL;

	if (sem_trywait(&ring->entry_available) && wait_ms)
		wait_for_entry(ring, wait_ms);
	pthread_mutex_lock(&ring->lock);
	if (!ck_ring_dequeue_spsc(&ring->ring, ring->buffer, &entry))
		entry = NULL;
	pthread_mutex_unlock(&ring->lock);
	return entry;
}

uint32_t ring_size(const struct ring *ring)
{
	return ck_ring_size(&ring->ring);
}
