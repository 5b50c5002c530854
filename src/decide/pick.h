#ifndef DECIDE_PICK_H
#define DECIDE_PICK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Choice of a backend server among those of one service in one region, and
 * what is remembered of each one's failures. Pure: the caller locks.
 */

/** Why a backend server gets no new work. Bits. */
enum pick_leaving {
	PICK_LEAVING_DOCUMENT = 1, /**< the document says so */
	PICK_LEAVING_SIGNAL = 2,   /**< the server says so itself */
	PICK_LEAVING_PEER = 4,	   /**< a peer heard the server's signal */
	PICK_LEAVING_VM_LIST = 8,  /**< the platform's list says so */
};

struct pick_server {
	uint32_t slots;
	uint32_t in_flight;
	bool near;		  /**< in this entry VM's failure domain */
	uint8_t leaving;	  /**< bits of enum pick_leaving */
	uint32_t failures;	  /**< in a row */
	int64_t ejected_until_ms; /**< 0: not ejected */
	int64_t full_until_ms;	  /**< refused for lack of slots until then */
	int64_t warm_from_ms;	  /**< slow start began; 0: warm */
};

/** Outcome of an attempt as the choice of later ones sees it. */
enum pick_outcome {
	PICK_ANSWERED,
	PICK_REFUSED,	/**< refused before running: no free slot */
	PICK_FAILED,	/**< no connection, no answer or a broken one */
	PICK_ABANDONED, /**< the attempt ended for a reason of the caller */
};

#define PICK_SERVERS_MAX 4096

/** Failures in a row that eject a server, and for how long at first. */
#define PICK_FAILURES_TO_EJECT 3
#define PICK_EJECT_MS 1000
#define PICK_EJECT_MAX_MS 30000
/** A server that refused for lack of slots is left alone this long. */
#define PICK_FULL_MS 5
/** Time in which a server that came back reaches its full share. */
#define PICK_SLOW_START_MS 10000
/** At most this part of the servers, in thousandths, is ejected at a time. */
#define PICK_EJECTED_MAX_PERMILLE 500

/**
 * Chooses a server and takes one of its slots.
 *
 * Of two servers drawn at random, the one with the larger free part wins; a
 * near one goes before a far one. When every server that may be used was
 * ejected, the one whose ejection ends first is tried.
 *
 * @param tried servers already tried for this request; may be NULL.
 * @param draw random number.
 * @return the server's index, or -1 when none has a free slot.
 */
int pick_choose(struct pick_server *servers, uint32_t count,
		const uint32_t *tried, uint32_t tried_count, uint64_t draw,
		int64_t now_ms);

/**
 * @return whether a server that was not tried may be used, busy or not; if
 * none, waiting for a slot is in vain.
 */
bool pick_any_left(const struct pick_server *servers, uint32_t count,
		   const uint32_t *tried, uint32_t tried_count, int64_t now_ms);

/** Returns the slot taken by pick_choose() and notes the outcome. */
void pick_finish(struct pick_server *servers, uint32_t count, uint32_t index,
		 enum pick_outcome outcome, int64_t now_ms);

/** @return slots that new work may use now, over all servers. */
uint32_t pick_free_slots(const struct pick_server *servers, uint32_t count,
			 int64_t now_ms);

/** @return slots of the servers that may be used, busy or not. */
uint32_t pick_usable_slots(const struct pick_server *servers, uint32_t count,
			   int64_t now_ms);

#endif
