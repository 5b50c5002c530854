#ifndef QUEUE_WAIT_QUEUE_H
#define QUEUE_WAIT_QUEUE_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Requests that wait in this entry VM for a slot of the servers that are
 * assigned to it. Loop's thread only. All functions allow NULL: nothing waits.
 */

struct exchange;
struct finish_choice;
struct own_view;
struct wait_queue;

/** @return a queue that the caller frees, or NULL. */
struct wait_queue *wait_queue_new(struct proxy *proxy);
void wait_queue_free(struct wait_queue *queue);

/** @return the number of requests that wait. */
uint32_t wait_queue_length(const struct wait_queue *queue);

/** Adds the requests that go before this one, which does not wait yet, to the
 * servers that they wait for. */
void wait_queue_add_ahead(struct wait_queue *queue,
			  const struct exchange *exchange, struct own_view *view);

/**
 * Lets a request wait.
 *
 * @param choice the server to wait for.
 * @return NULL, or the reason for which it must be refused.
 */
const char *wait_queue_add(struct wait_queue *queue, struct exchange *exchange,
			   const struct own_view *view,
			   const struct finish_choice *choice);

/** Counts a request that is sent without waiting for the share of its
 * workspace. */
void wait_queue_record_sent(struct wait_queue *queue, struct exchange *exchange,
			    uint32_t run_ms);

/** Takes an exchange out of the queue, if it waits there. */
void wait_queue_remove(struct wait_queue *queue, struct exchange *exchange);

/** A slot of a server has become free, or its pace allows another request. The
 * next requests are sent from the event loop, not during this call. */
void wait_queue_on_slot_free(struct wait_queue *queue, struct server *server);

#endif
