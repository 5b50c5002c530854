#ifndef DECIDE_FINISH_H
#define DECIDE_FINISH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Chooses, among the backend servers that are assigned to this VM, the one at
 * which a request is expected to finish first.
 *
 * Load patterns: an object is in demand and its server has all slots occupied
 * while others are idle; a server takes 2.5 times as long for 600 ms; cache
 * misses of a few requests take the slots of many others.
 *
 * A cache miss occupies a slot several times as long, so it is charged by how
 * busy the servers are: it is taken early while slots are free, and hardly ever
 * when all are occupied.
 *
 * A server that has joined would get only objects that no other one has cached.
 * Objects that rank first there move to it, one run each at full length, while
 * its window has a free place and the request has time for it. No I/O, no
 * locking.
 */

/** A server that is assigned to this VM. */
struct finish_server {
	uint64_t hash;
	uint32_t slots;
	uint32_t window;       /**< requests that may be in progress there */
	uint32_t own_requests; /**< of this VM in progress */
	uint32_t others;       /**< of other VMs, according to its reports */
	uint32_t ahead_count;  /**< requests that wait for it and go first */
	uint32_t ahead_ms;     /**< their run times together */
	uint32_t work_percent; /**< its run time now, 100 being usual */
	uint32_t rtt_ms;
	uint32_t pause_ms; /**< it takes no request for this long */
	bool cached;	   /**< has the object cached */
	bool avoid;	   /**< failing: used only if all others are, too */
	bool excluded;	   /**< must not get the request */
	/** started or recovered a short while ago and has not had the object
	 * since: it moves there if the server ranks first for it */
	bool takes_objects;
};

struct finish_request {
	uint64_t object_hash;
	bool sticky;	      /**< faster where the object is cached */
	uint32_t cached_ms;   /**< run time where it is */
	uint32_t uncached_ms; /**< run time elsewhere */
	uint32_t mean_ms;     /**< run time of the requests in progress */
	uint32_t target_ms;   /**< until its target; 0: passed */
	uint32_t deadline_ms; /**< until its deadline */
};

enum finish_result {
	FINISH_SEND,	  /**< to the server `index` now */
	FINISH_WAIT,	  /**< for a slot of the server `index` */
	FINISH_TOO_LATE,  /**< it cannot finish before its deadline */
	FINISH_NO_SERVER, /**< no server may get it */
};

struct finish_choice {
	enum finish_result result;
	uint32_t index;
	uint32_t wait_ms; /**< until a slot is free; the shortest if too late */
	uint32_t run_ms;  /**< expected at the server */
	uint32_t finish_ms; /**< until its response */
	bool moves;	    /**< the object moves to this server */
};

struct finish_choice finish_choose(const struct finish_server *servers,
				   uint32_t count,
				   const struct finish_request *request);

#endif
