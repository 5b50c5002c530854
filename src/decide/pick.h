#ifndef DECIDE_PICK_H
#define DECIDE_PICK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Chooses a backend server among those of one service in one region, and
 * ejects servers that fail repeatedly. No I/O; the caller does the locking.
 */

/** Reasons why a backend server gets no new requests. Bit flags. */
enum pick_leaving {
	PICK_LEAVING_DOCUMENT = 1, /**< stated in the document */
	PICK_LEAVING_SIGNAL = 2,   /**< signalled by the server itself */
	PICK_LEAVING_PEER = 4,	   /**< server's signal, reported by a peer */
	PICK_LEAVING_VM_LIST = 8,  /**< stated in the platform's VM list */
};

struct pick_server {
	uint32_t slots;
	uint32_t in_flight;
	bool local;		  /**< in this entry VM's failure domain */
	uint8_t leaving;	  /**< bits of enum pick_leaving */
	uint32_t failures;	  /**< consecutive */
	int64_t ejected_until_ms; /**< 0: not ejected */
	int64_t full_until_ms; /**< not used before this time: no free slot */
	int64_t slow_start_began_ms; /**< start of the slow start; 0: none */
};

/** Outcome of an attempt, as far as it affects later choices. */
enum pick_outcome {
	PICK_RESPONDED,
	PICK_REFUSED,	/**< rejected before running: no free slot */
	PICK_FAILED,	/**< no connection; no or incomplete response */
	PICK_ABANDONED, /**< ended by the caller; not the server's fault */
};

#define PICK_SERVERS_MAX 4096

/**
 * Consecutive failures that eject a server, and the first and the longest time
 * of ejection; the time doubles with each further failure.
 */
#define PICK_FAILURES_TO_EJECT 3
#define PICK_EJECT_MS 1000
#define PICK_EJECT_MAX_MS 30000
/** Pause after a server has rejected a request because no slot was free. */
#define PICK_FULL_MS 5
/**
 * Time in which the usable slots of a new server, or of one whose ejection has
 * ended, grow to all its slots.
 */
#define PICK_SLOW_START_MS 10000
/** Largest fraction of the servers ejected at the same time, in thousandths. */
#define PICK_EJECTED_MAX_PERMILLE 500

/**
 * Chooses a server and acquires one of its slots.
 *
 * Of two randomly chosen servers, the one with the larger fraction of free
 * slots is used; servers of this VM's failure domain are preferred. If all
 * remaining servers are ejected, the one whose ejection ends first is used.
 *
 * @param tried indices of servers already tried for this request; may be NULL.
 * @param random 64 random bits.
 * @return the server's index, or -1 if none has a free slot.
 */
int pick_choose(struct pick_server *servers, uint32_t count,
		const uint32_t *tried, uint32_t tried_count, uint64_t random,
		int64_t now_ms);

/**
 * @return whether an untried server is usable, even if it has no free slot. If
 * not, there is no point in waiting for a slot.
 */
bool pick_has_untried(const struct pick_server *servers, uint32_t count,
		      const uint32_t *tried, uint32_t tried_count,
		      int64_t now_ms);

/** Releases the slot acquired by pick_choose() and records the outcome. */
void pick_finish(struct pick_server *servers, uint32_t count, uint32_t index,
		 enum pick_outcome outcome, int64_t now_ms);

/** @return the number of free slots of all usable servers. */
uint32_t pick_free_slots(const struct pick_server *servers, uint32_t count,
			 int64_t now_ms);

/** @return the number of slots of all usable servers, free or in use. */
uint32_t pick_usable_slots(const struct pick_server *servers, uint32_t count,
			   int64_t now_ms);

#endif
