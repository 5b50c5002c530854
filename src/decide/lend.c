#include "decide/lend.h"

#include <string.h>

static struct lend_order order_of(enum lend_action action, uint32_t peer,
				  uint32_t server, uint64_t request)
{
	struct lend_order order = { action, peer, server, request };

	return order;
}

void lend_init(struct lend *lend, uint32_t self)
{
	memset(lend, 0, sizeof(*lend));
	lend->self = self;
}

uint32_t lend_add_server(struct lend *lend, uint32_t owner, uint32_t slots)
{
	struct lend_server *server = &lend->servers[lend->server_count];

	server->owner = owner;
	server->slots = slots;
	server->usable = true;
	return lend->server_count++;
}

/** The own server with the largest free part, or -1. */
static int free_server(const struct lend *lend)
{
	int best = -1;
	uint32_t best_free = 0;
	uint32_t i;

	for (i = 0; i < lend->server_count; i++) {
		const struct lend_server *server = &lend->servers[i];

		if (server->owner != lend->self || !server->usable ||
		    server->used >= server->slots ||
		    server->slots - server->used <= best_free)
			continue;
		best = (int)i;
		best_free = server->slots - server->used;
	}
	return best;
}

uint32_t lend_free(const struct lend *lend)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < lend->server_count; i++)
		if (lend->servers[i].owner == lend->self &&
		    lend->servers[i].usable &&
		    lend->servers[i].used < lend->servers[i].slots)
			sum += lend->servers[i].slots - lend->servers[i].used;
	return sum;
}

static void remove_waiter(struct lend *lend, uint32_t index)
{
	lend->waiter_count--;
	memmove(&lend->waiters[index], &lend->waiters[index + 1],
		(lend->waiter_count - index) * sizeof(*lend->waiters));
}

static void drop_late(struct lend *lend, int64_t now_ms)
{
	uint32_t i = 0;

	while (i < lend->waiter_count) {
		if (lend->waiters[i].until_ms <= now_ms)
			remove_waiter(lend, i);
		else
			i++;
	}
}

static bool add_waiter(struct lend *lend, uint32_t peer, uint64_t request,
		       int64_t now_ms, int64_t until_ms)
{
	struct lend_waiter *waiter;

	drop_late(lend, now_ms);
	if (lend->waiter_count == LEND_WAITERS_MAX)
		return false;
	waiter = &lend->waiters[lend->waiter_count++];
	waiter->peer = peer;
	waiter->request = request;
	waiter->since_ms = now_ms;
	waiter->until_ms = until_ms;
	return true;
}

struct lend_order lend_want(struct lend *lend, uint64_t request, int64_t now_ms,
			    int64_t until_ms)
{
	int server = free_server(lend);

	if (server >= 0) {
		lend->servers[server].used++;
		return order_of(LEND_USE, lend->self, (uint32_t)server, request);
	}
	if (!add_waiter(lend, lend->self, request, now_ms, until_ms))
		return order_of(LEND_NOTHING, 0, 0, request);
	return order_of(LEND_WAIT, 0, 0, request);
}

struct lend_order lend_asked(struct lend *lend, uint32_t peer, uint64_t request,
			     int64_t now_ms, int64_t until_ms)
{
	int server = free_server(lend);

	if (server < 0) {
		add_waiter(lend, peer, request, now_ms, until_ms);
		return order_of(LEND_NOTHING, peer, 0, request);
	}
	lend->servers[server].used++;
	return order_of(LEND_GRANT, peer, (uint32_t)server, request);
}

/** The oldest request of this VM that waits, or -1. */
static int oldest_own(const struct lend *lend)
{
	uint32_t i;

	for (i = 0; i < lend->waiter_count; i++)
		if (lend->waiters[i].peer == lend->self)
			return (int)i;
	return -1;
}

struct lend_order lend_granted(struct lend *lend, uint32_t server, int64_t now_ms)
{
	struct lend_order order;
	int index;

	drop_late(lend, now_ms);
	index = oldest_own(lend);
	if (index < 0)
		return order_of(LEND_RETURN, lend->servers[server].owner,
				server, 0);
	order = order_of(LEND_USE, lend->servers[server].owner, server,
			 lend->waiters[index].request);
	remove_waiter(lend, (uint32_t)index);
	return order;
}

/** Gives a free slot of an own server to the oldest waiter. */
static struct lend_order give(struct lend *lend, uint32_t server, int64_t now_ms)
{
	struct lend_server *own = &lend->servers[server];
	struct lend_waiter oldest;

	if (own->used)
		own->used--;
	drop_late(lend, now_ms);
	if (!lend->waiter_count || !own->usable || own->used >= own->slots)
		return order_of(LEND_NOTHING, 0, server, 0);
	oldest = lend->waiters[0];
	remove_waiter(lend, 0);
	own->used++;
	return order_of(oldest.peer == lend->self ? LEND_USE : LEND_GRANT,
			oldest.peer, server, oldest.request);
}

struct lend_order lend_ended(struct lend *lend, uint32_t server, int64_t now_ms)
{
	uint32_t owner = lend->servers[server].owner;

	if (owner == lend->self)
		return give(lend, server, now_ms);
	return order_of(LEND_RETURN, owner, server, 0);
}

struct lend_order lend_returned(struct lend *lend, uint32_t server, int64_t now_ms)
{
	return give(lend, server, now_ms);
}

bool lend_cancel(struct lend *lend, uint32_t peer, uint64_t request)
{
	uint32_t i;

	for (i = 0; i < lend->waiter_count; i++) {
		if (lend->waiters[i].peer != peer ||
		    lend->waiters[i].request != request)
			continue;
		remove_waiter(lend, i);
		return true;
	}
	return false;
}
