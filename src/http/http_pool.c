#include "http/http_pool.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

struct kept {
	struct http_connection *connection;
	int64_t used_ms;
};

struct http_pool {
	char *address;
	uint32_t idle_max;
	uint32_t idle_ms;
	pthread_mutex_t lock;
	struct kept *kept; /* oldest first */
	uint32_t kept_count;
};

struct http_pool *http_pool_new(const char *address, uint32_t idle_max,
				uint32_t idle_ms)
{
	struct http_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->address = strdup(address);
	pool->kept = calloc(idle_max + 1, sizeof(*pool->kept));
	if (!pool->address || !pool->kept) {
		free(pool->address);
		free(pool->kept);
		free(pool);
		return NULL;
	}
	pool->idle_max = idle_max;
	pool->idle_ms = idle_ms;
	pthread_mutex_init(&pool->lock, NULL);
	return pool;
}

void http_pool_free(struct http_pool *pool)
{
	uint32_t i;

	if (!pool)
		return;
	for (i = 0; i < pool->kept_count; i++)
		http_close(pool->kept[i].connection);
	pthread_mutex_destroy(&pool->lock);
	free(pool->kept);
	free(pool->address);
	free(pool);
}

const char *http_pool_address(const struct http_pool *pool)
{
	return pool->address;
}

/** Removes the oldest connection. The lock is held. */
static struct http_connection *remove_oldest(struct http_pool *pool)
{
	struct http_connection *oldest = pool->kept[0].connection;

	pool->kept_count--;
	memmove(pool->kept, pool->kept + 1,
		pool->kept_count * sizeof(*pool->kept));
	return oldest;
}

static struct http_connection *take(struct http_pool *pool, uint32_t fresh_ms)
{
	struct http_connection *stale = NULL;
	struct http_connection *taken = NULL;
	int64_t now_ms = clock_now_ms(&clock_system);
	const struct kept *newest;

	pthread_mutex_lock(&pool->lock);
	if (pool->kept_count && now_ms - pool->kept[0].used_ms > pool->idle_ms)
		stale = remove_oldest(pool);
	if (pool->kept_count) {
		newest = &pool->kept[pool->kept_count - 1];
		if (now_ms - newest->used_ms <= fresh_ms) {
			taken = newest->connection;
			pool->kept_count--;
		}
	}
	pthread_mutex_unlock(&pool->lock);
	http_close(stale);
	return taken;
}

static void give_back(struct http_pool *pool, struct http_connection *connection)
{
	struct http_connection *extra = NULL;

	pthread_mutex_lock(&pool->lock);
	pool->kept[pool->kept_count].connection = connection;
	pool->kept[pool->kept_count].used_ms = clock_now_ms(&clock_system);
	pool->kept_count++;
	if (pool->kept_count > pool->idle_max)
		extra = remove_oldest(pool);
	pthread_mutex_unlock(&pool->lock);
	http_close(extra);
}

enum http_result http_pool_exchange(struct http_pool *pool,
				    const struct http_request *request,
				    uint32_t fresh_ms, struct http_answer *answer)
{
	struct http_connection *connection = take(pool, fresh_ms);
	enum http_result result;

	if (!connection)
		connection = http_connect(pool->address, request->deadline_ns);
	if (!connection)
		return HTTP_NOT_SENT;
	result = http_exchange(connection, request, answer);
	if (result == HTTP_WHOLE && http_reusable(connection))
		give_back(pool, connection);
	else
		http_close(connection);
	return result;
}
