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
	sem_t filled;
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
	sem_init(&ring->filled, 0, 0);
	return ring;
}

void ring_free(struct ring *ring)
{
	if (!ring)
		return;
	pthread_mutex_destroy(&ring->lock);
	sem_destroy(&ring->filled);
	free(ring->buffer);
	free(ring);
}

bool ring_push(struct ring *ring, void *entry)
{
	bool pushed;

	/* a lock, not a spin: producers outnumber the cores */
	pthread_mutex_lock(&ring->lock);
	pushed = ck_ring_enqueue_spsc(&ring->ring, ring->buffer, entry);
	pthread_mutex_unlock(&ring->lock);
	if (!pushed)
		return false;
	sem_post(&ring->filled);
	return true;
}

static void wait_filled(struct ring *ring, uint32_t wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_ms / MS_PER_S;
	until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (until.tv_nsec >= MS_PER_S * NS_PER_MS) {
		until.tv_nsec -= MS_PER_S * NS_PER_MS;
		until.tv_sec++;
	}
	sem_clockwait(&ring->filled, CLOCK_MONOTONIC, &until);
}

void *ring_pop(struct ring *ring, uint32_t wait_ms)
{
	void *entry = NULL;

	if (sem_trywait(&ring->filled) && wait_ms)
		wait_filled(ring, wait_ms);
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
