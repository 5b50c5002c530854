#include "queue/wait_queue.h"

struct wait_queue *wait_queue_new(struct proxy *proxy)
{
	(void)proxy;
	return NULL;
}

void wait_queue_free(struct wait_queue *queue)
{
	(void)queue;
}

void wait_queue_remove(struct wait_queue *queue, struct exchange *exchange)
{
	(void)queue;
	(void)exchange;
}

void wait_queue_on_slot_free(struct wait_queue *queue, struct server *server)
{
	(void)queue;
	(void)server;
}
