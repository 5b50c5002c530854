#ifndef DECIDE_LEND_H
#define DECIDE_LEND_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Slots of backend servers, each owned by one entry VM, which lends them to
 * other entry VMs while they are idle.
 *
 * A VM uses the slots of the servers it owns without asking its peers. If none
 * is free, the request waits and the VM asks a few other owners for a slot. An
 * owner grants a slot at once, or queues the request and grants a slot when one
 * becomes free, in order of arrival. The first grant is used and the remaining
 * requests to owners are cancelled; a grant that no request waits for goes back
 * to its owner. Since only the owner assigns a slot, servers do not have to
 * reject requests. No I/O, no locking; the caller executes the returned
 * commands.
 */

#define LEND_SERVERS_MAX 256
#define LEND_WAITERS_MAX 1024

/** A waiting request of this VM or of a peer that asked for a slot. */
struct lend_waiter {
	uint32_t peer; /**< VM that sent it; equal to `self` for this VM */
	uint64_t request;
	int64_t since_ms;
	int64_t until_ms;
};

struct lend_server {
	uint32_t owner; /**< number of the VM that assigns its slots */
	uint32_t slots;
	uint32_t used; /**< assigned slots; maintained by the owner only */
	bool usable;
};

struct lend {
	uint32_t self;
	uint32_t server_count;
	struct lend_server servers[LEND_SERVERS_MAX];
	uint32_t waiter_count;
	struct lend_waiter waiters[LEND_WAITERS_MAX]; /**< oldest first */
};

/** What the caller must do. */
enum lend_action {
	LEND_NOTHING,
	LEND_USE,    /**< run `request` on `server` */
	LEND_GRANT,  /**< grant `peer` a slot of `server` for `request` */
	LEND_RETURN, /**< return the slot of `server` to its owner `peer` */
	LEND_WAIT,   /**< `request` waits: ask other owners */
};

struct lend_command {
	enum lend_action action;
	uint32_t peer;
	uint32_t server;
	uint64_t request;
};

void lend_init(struct lend *lend, uint32_t self);

/** @return the number of the added server. */
uint32_t lend_add_server(struct lend *lend, uint32_t owner, uint32_t slots);

/**
 * Requests a slot for a request of this VM.
 *
 * @return LEND_USE, LEND_WAIT, or LEND_NOTHING if too many requests wait.
 */
struct lend_command lend_request_slot(struct lend *lend, uint64_t request,
				      int64_t now_ms, int64_t until_ms);

/**
 * Handles a peer's request for a slot.
 *
 * @return LEND_GRANT, or LEND_NOTHING if no slot is free; the request is then
 * queued unless too many wait.
 */
struct lend_command lend_handle_request(struct lend *lend, uint32_t peer,
					uint64_t request, int64_t now_ms,
					int64_t until_ms);

/**
 * Handles a peer's grant of a slot of its server.
 *
 * @return LEND_USE for the oldest waiting request of this VM, or LEND_RETURN if
 * none waits.
 */
struct lend_command lend_handle_grant(struct lend *lend, uint32_t server,
				      int64_t now_ms);

/**
 * Frees the slot of a request of this VM that has finished on a server.
 *
 * @return the next use of the slot, or LEND_RETURN if it was borrowed.
 */
struct lend_command lend_finish_request(struct lend *lend, uint32_t server,
					int64_t now_ms);

/** Handles a slot that a peer returned. @return the next use of the slot. */
struct lend_command lend_handle_return(struct lend *lend, uint32_t server,
				       int64_t now_ms);

/**
 * Removes a waiting request: one of this VM that timed out (`peer` is `self`),
 * or one that a peer cancelled.
 *
 * @return whether the request was waiting.
 */
bool lend_cancel(struct lend *lend, uint32_t peer, uint64_t request);

/** @return the number of free slots on usable servers that this VM owns. */
uint32_t lend_count_free_slots(const struct lend *lend);

#endif
