#ifndef DECIDE_PLACE_H
#define DECIDE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Where a request goes.
 *
 * Load pattern: more work than slots unless requests of one object meet the
 * server that handled the object lately. Every entry VM ranks the servers of a
 * service by a hash of object and server, so that all agree without messages;
 * a request goes to the first server in that order that has room, nearest
 * region first. Pure.
 */

/** A backend server as the decision sees it. */
struct place_candidate {
	uint64_t server_hash;
	uint32_t slots;
	uint32_t load; /**< estimated requests running or queued there */
	bool near;     /**< in this entry VM's region */
	bool avoid;    /**< fails or is slow: only when nothing else has room */
	bool barred;   /**< may get no request now */
};

struct place_request {
	uint64_t object_hash; /**< equal for all requests of one object */
	bool sticky;	      /**< the object's server runs it faster */
	bool away; /**< runs in another region, if one can take it */
	uint32_t service_time_ms; /**< of one request, expected */
	uint32_t time_left_ms;
};

enum place_verdict {
	PLACE_SEND,	 /**< to `index` */
	PLACE_NO_SERVER, /**< no candidate may get the request */
	PLACE_NO_ROOM,	 /**< the wait would outlast the time that is left */
};

struct place_choice {
	enum place_verdict verdict;
	uint32_t index;
	uint32_t wait_ms; /**< estimated wait at the chosen server */
};

struct place_choice place_choose(const struct place_candidate *candidates,
				 uint32_t count,
				 const struct place_request *request);

#endif
