#include "http/http_pool.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

struct idle_connection {
	struct http_connection *connection;
	int64_t idle_since_ms;
};

struct http_pool {
	char *address;
	uint32_t idle_max;
	uint32_t idle_timeout_ms;
	pthread_mutex_t lock;
	struct idle_connection *idle; /* oldest first */
	uint32_t idle_count;
};

struct http_pool *http_pool_new(const char *address, uint32_t idle_max,
				uint32_t idle_timeout_ms)
{
	struct http_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->address = strdup(address);
	pool->idle = calloc(idle_max + 1, sizeof(*pool->idle));
	if (!pool->address || !pool->idle) {
		free(pool->address);
		free(pool->idle);
		free(pool);
		return NULL;
	}
	pool->idle_max = idle_max;
	pool->idle_timeout_ms = idle_timeout_ms;
	pthread_mutex_init(&pool->lock, NULL);
	return pool;
}

void http_pool_free(struct http_pool *pool)
{
	uint32_t i;

	if (!pool)
		return;
	for (i = 0; i < pool->idle_count; i++)
		http_close(pool->idle[i].connection);
	pthread_mutex_destroy(&pool->lock);
	free(pool->idle);
	free(pool->address);
	free(pool);
}

const char *http_pool_address(const struct http_pool *pool)
{
	return pool->address;
}

/** Removes the longest idle connection. The caller holds the lock. */
static struct http_connection *pop_oldest(struct http_pool *pool)
{
	struct http_connection *oldest = pool->idle[0].connection;

	pool->idle_count--;
	memmove(pool->idle, pool->idle + 1,
		pool->idle_count * sizeof(*pool->idle));
	return oldest;
}

static struct http_connection *pop_idle(struct http_pool *pool,
					uint32_t reuse_within_ms)
{
	struct http_connection *stale = NULL;
	struct http_connection *connection = NULL;
	int64_t now_ms = clock_now_ms(&clock_system);
	const struct idle_connection *newest;

	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count &&
	    now_ms - pool->idle[0].idle_since_ms > pool->idle_timeout_ms)
		stale = pop_oldest(pool);
	if (pool->idle_count) {
		newest = &pool->idle[pool->idle_count - 1];
		if (now_ms - newest->idle_since_ms <= reuse_within_ms) {
			connection = newest->connection;
			pool->idle_count--;
		}
	}
	pthread_mutex_unlock(&pool->lock);
	http_close(stale);
	return connection;
}

static void push_idle(struct http_pool *pool, struct http_connection *connection)
{
	struct http_connection *extra = NULL;

	pthread_mutex_lock(&pool->lock);
	pool->idle[pool->idle_count].connection = connection;
	pool->idle[pool->idle_count].idle_since_ms = clock_now_ms(&clock_system);
	pool->idle_count++;
	if (pool->idle_count > pool->idle_max)
		extra = pop_oldest(pool);
	pthread_mutex_unlock(&pool->lock);
	http_close(extra);
}

enum http_result http_pool_exchange(struct http_pool *pool,
				    const struct http_request *request,
				    uint32_t reuse_within_ms,
				    struct http_response *response)
{
	struct http_connection *connection = pop_idle(pool, reuse_within_ms);
	enum http_result result;

	if (!connection)
		connection = http_connect(pool->address, request->deadline_ns);
	if (!connection)
		return HTTP_NOT_SENT;
	result = http_exchange(connection, request, response);
	if (result == HTTP_COMPLETE && http_is_reusable(connection))
		push_idle(pool, connection);
	else
		http_close(connection);
	return result;
}
