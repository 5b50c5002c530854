#ifndef DECIDE_WAIT_ORDER_H
#define DECIDE_WAIT_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * The order in which waiting requests get free slots, and which of them are
 * refused when too many wait.
 *
 * Load patterns: more urgent and less urgent requests together need 1.5 times
 * the slots; one workspace sends 7.5 times its usual rate beside 20 others; a
 * burst of three seconds; a server takes 2.5 times as long for 600 ms. In a
 * plain queue, each of them makes all responses late.
 *
 * Requests that can still meet their target go first, urgent ones first among
 * them, and then those with the earliest target. Requests of a workspace that
 * had more than its share of slots go behind those of the others: each
 * workspace has a tag that rises by the run time of its requests (start-time
 * fair queueing). No I/O, no locking.
 */

#define WAIT_ORDER_NONE UINT32_MAX

/** A request that waits. */
struct wait_entry {
	uint64_t workspace; /**< hash of its name; 0: none */
	uint64_t sequence;  /**< rises with the time of arrival */
	uint32_t rank;	    /**< 0 is the most urgent */
	uint32_t run_ms;    /**< expected run time */
	uint32_t finish_ms; /**< until its response if it were sent now, or more */
	int64_t target_ms; /**< clock time of its target */
	uint32_t target_latency_ms;
	bool cached;	/**< the server that it waits for has its object */
	uint32_t index; /**< of the caller's */
	/* set by wait_order_sort() */
	bool is_first;	    /**< passed over for long enough */
	bool is_over_share; /**< its workspace had more than others */
	bool is_late;
	int64_t due_ms;
};

struct wait_order;

struct wait_order *wait_order_new(void);
void wait_order_free(struct wait_order *order);

/** Sorts the waiting requests, the next to be sent first. */
void wait_order_sort(struct wait_order *order, struct wait_entry *entries,
		     uint32_t count, int64_t now_ms);

/** Records that one of the sorted requests, at `position`, is sent. */
void wait_order_record_sent(struct wait_order *order,
			    const struct wait_entry *entries, uint32_t count,
			    uint32_t position, int64_t now_ms);

/** Records that a request is sent or waits, not refused. */
void wait_order_record_admitted(struct wait_order *order,
				const struct wait_entry *entry, int64_t now_ms);

/**
 * Estimates the wait of a request, as those that arrive later may go before it.
 *
 * @param entries sorted; the request is the one at `position`.
 * @param wait_ms its wait behind those that are ahead of it now.
 */
uint32_t wait_order_wait_ms(const struct wait_order *order,
			    const struct wait_entry *entries, uint32_t position,
			    uint32_t wait_ms, uint32_t slots, int64_t now_ms);

/**
 * Limits the queue: to one target latency's worth of work unless all meet their
 * target, as a late response is still worth a little, and to `count_max`.
 *
 * @param entries sorted.
 * @param slots that they wait for.
 * @return the position of a request to refuse, or WAIT_ORDER_NONE.
 */
uint32_t wait_order_find_excess(const struct wait_entry *entries, uint32_t count,
				uint32_t slots, uint32_t count_max);

/** @return the time that the work of the requests takes. */
uint32_t wait_order_work_ms(const struct wait_entry *entries, uint32_t count,
			    uint32_t slots);

#endif
