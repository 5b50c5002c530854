#ifndef QUEUE_WAIT_QUEUE_H
#define QUEUE_WAIT_QUEUE_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Requests that wait in this entry VM for a slot of the servers that are
 * assigned to it. Loop's thread only. All functions allow NULL: nothing waits.
 */

struct exchange;
struct wait_queue;

/** @return a queue that the caller frees, or NULL. */
struct wait_queue *wait_queue_new(struct proxy *proxy);
void wait_queue_free(struct wait_queue *queue);

/** Takes an exchange out of the queue, if it waits there. */
void wait_queue_remove(struct wait_queue *queue, struct exchange *exchange);

/** A slot of a server has become free, or its pace allows another request. */
void wait_queue_on_slot_free(struct wait_queue *queue, struct server *server);

#endif
