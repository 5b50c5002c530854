#include "decide/lend.h"

#include <string.h>

static struct lend_command make_command(enum lend_action action, uint32_t peer,
					uint32_t server, uint64_t request)
{
	struct lend_command command = { action, peer, server, request };

	return command;
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

/** @return this VM's server with the most free slots, or -1 if none is free. */
static int find_free_server(const struct lend *lend)
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

uint32_t lend_count_free_slots(const struct lend *lend)
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

static void drop_expired_waiters(struct lend *lend, int64_t now_ms)
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

	drop_expired_waiters(lend, now_ms);
	if (lend->waiter_count == LEND_WAITERS_MAX)
		return false;
	waiter = &lend->waiters[lend->waiter_count++];
	waiter->peer = peer;
	waiter->request = request;
	waiter->since_ms = now_ms;
	waiter->until_ms = until_ms;
	return true;
}

struct lend_command lend_request_slot(struct lend *lend, uint64_t request,
				      int64_t now_ms, int64_t until_ms)
{
	int server = find_free_server(lend);

	if (server >= 0) {
		lend->servers[server].used++;
		return make_command(LEND_USE, lend->self, (uint32_t)server,
				    request);
	}
	if (!add_waiter(lend, lend->self, request, now_ms, until_ms))
		return make_command(LEND_NOTHING, 0, 0, request);
	return make_command(LEND_WAIT, 0, 0, request);
}

struct lend_command lend_handle_request(struct lend *lend, uint32_t peer,
					uint64_t request, int64_t now_ms,
					int64_t until_ms)
{
	int server = find_free_server(lend);

	if (server < 0) {
		add_waiter(lend, peer, request, now_ms, until_ms);
		return make_command(LEND_NOTHING, peer, 0, request);
	}
	lend->servers[server].used++;
	return make_command(LEND_GRANT, peer, (uint32_t)server, request);
}

/** @return index of the oldest waiting request of this VM, or -1. */
static int find_oldest_own(const struct lend *lend)
{
	uint32_t i;

	for (i = 0; i < lend->waiter_count; i++)
		if (lend->waiters[i].peer == lend->self)
			return (int)i;
	return -1;
}

struct lend_command lend_handle_grant(struct lend *lend, uint32_t server,
				      int64_t now_ms)
{
	struct lend_command command;
	int index;

	drop_expired_waiters(lend, now_ms);
	index = find_oldest_own(lend);
	if (index < 0)
		return make_command(LEND_RETURN, lend->servers[server].owner,
				    server, 0);
	command = make_command(LEND_USE, lend->servers[server].owner, server,
			       lend->waiters[index].request);
	remove_waiter(lend, (uint32_t)index);
	return command;
}

/** Frees a slot of a server of this VM and gives it to the oldest waiter. */
static struct lend_command reassign_slot(struct lend *lend, uint32_t server,
					 int64_t now_ms)
{
	struct lend_server *own = &lend->servers[server];
	struct lend_waiter oldest;

	if (own->used)
		own->used--;
	drop_expired_waiters(lend, now_ms);
	if (!lend->waiter_count || !own->usable || own->used >= own->slots)
		return make_command(LEND_NOTHING, 0, server, 0);
	oldest = lend->waiters[0];
	remove_waiter(lend, 0);
	own->used++;
	return make_command(oldest.peer == lend->self ? LEND_USE : LEND_GRANT,
			    oldest.peer, server, oldest.request);
}

struct lend_command lend_finish_request(struct lend *lend, uint32_t server,
					int64_t now_ms)
{
	uint32_t owner = lend->servers[server].owner;

	if (owner == lend->self)
		return reassign_slot(lend, server, now_ms);
	return make_command(LEND_RETURN, owner, server, 0);
}

struct lend_command lend_handle_return(struct lend *lend, uint32_t server,
				       int64_t now_ms)
{
	return reassign_slot(lend, server, now_ms);
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
