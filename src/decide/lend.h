#ifndef DECIDE_LEND_H
#define DECIDE_LEND_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Slots of backend servers, each owned by one entry VM and lent while idle.
 *
 * A VM uses the slots of the servers that it owns without asking. A request
 * that finds none free waits, and asks a few other owners; an owner grants a
 * slot at once, or registers the ask and grants when one becomes free, in the
 * order in which requests came. The first grant is used, and the other asks
 * are called off; a grant that no request waits for any more goes back. So a
 * slot is given out by one VM only,
 * and servers need not refuse. Pure: no I/O, no locks; the caller sends what
 * the actions say.
 */

#define LEND_SERVERS_MAX 256
#define LEND_WAITERS_MAX 1024

/** A request that waits: of this VM, or one that a peer registered. */
struct lend_waiter {
	uint32_t peer; /**< the owner's own number: a request of this VM */
	uint64_t request;
	int64_t since_ms;
	int64_t until_ms;
};

struct lend_server {
	uint32_t owner; /**< number of the VM that gives out its slots */
	uint32_t slots;
	uint32_t used; /**< given out, to anyone; kept by the owner only */
	bool usable;
};

struct lend {
	uint32_t self;
	uint32_t server_count;
	struct lend_server servers[LEND_SERVERS_MAX];
	uint32_t waiter_count;
	struct lend_waiter waiters[LEND_WAITERS_MAX]; /**< oldest first */
};

/** What the caller is to do. */
enum lend_action {
	LEND_NOTHING,
	LEND_USE,    /**< run `request` on `server` */
	LEND_GRANT,  /**< send `peer` a slot of `server` for `request` */
	LEND_RETURN, /**< send the slot of `server` back to its owner `peer` */
	LEND_WAIT,   /**< the request waits: ask other owners */
};

struct lend_order {
	enum lend_action action;
	uint32_t peer;
	uint32_t server;
	uint64_t request;
};

void lend_init(struct lend *lend, uint32_t self);

/** Adds a server. @return its number. */
uint32_t lend_add_server(struct lend *lend, uint32_t owner, uint32_t slots);

/** A request of this VM wants a slot. @return LEND_USE, LEND_WAIT, or
 * LEND_NOTHING when too many wait. */
struct lend_order lend_want(struct lend *lend, uint64_t request, int64_t now_ms,
			    int64_t until_ms);

/** A peer asks for a slot. @return LEND_GRANT, or LEND_NOTHING: registered. */
struct lend_order lend_asked(struct lend *lend, uint32_t peer, uint64_t request,
			     int64_t now_ms, int64_t until_ms);

/**
 * A peer granted a slot of its server. @return LEND_USE for the oldest request
 * that waits here, else LEND_RETURN.
 */
struct lend_order lend_granted(struct lend *lend, uint32_t server,
			       int64_t now_ms);

/**
 * A request of this VM has ended on a server. @return what the slot is used
 * for next, or LEND_RETURN for a borrowed one.
 */
struct lend_order lend_ended(struct lend *lend, uint32_t server, int64_t now_ms);

/** A peer gave a slot back. @return what it is used for next. */
struct lend_order lend_returned(struct lend *lend, uint32_t server,
				int64_t now_ms);

/**
 * A request no longer waits: one of this VM (`peer` is `self`) that gave up, or
 * one of a peer that called its ask off. @return whether it waited.
 */
bool lend_cancel(struct lend *lend, uint32_t peer, uint64_t request);

/** @return free slots of the servers that this VM owns. */
uint32_t lend_free(const struct lend *lend);

#endif
