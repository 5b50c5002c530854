#ifndef DECIDE_PLACE_H
#define DECIDE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Chooses the backend server for a request, or rejects the request at once.
 *
 * Load patterns: the slots suffice only if requests for an object go to the
 * server that has the object cached; or they do not suffice in any case, and
 * long queues delay every response until it is useless.
 *
 * Every entry VM ranks the servers of a service by a hash of object and server,
 * so that all VMs agree without exchanging messages. A request goes to the
 * first server in that order if its queue is short enough for a response in
 * time. Otherwise the request is rejected before it uses a slot.
 *
 * Load pattern: callers still send requests to a VM during its graceful
 * shutdown. The VM rejects requests that it could not finish, while another VM
 * can still run them. No I/O, no locking.
 */

/** A backend server as seen by this entry VM. */
struct place_candidate {
	uint64_t server_hash;
	uint32_t slots;
	uint32_t load;		/**< estimated running and queued requests */
	uint32_t rtt_ms;	/**< network round trip to the server */
	bool own_limit_reached; /**< this VM has reached its request limit there */
	bool local;		/**< in this entry VM's region */
	bool cached;		/**< probably has the object cached */
	bool cold;		/**< in its start-up phase, still slow */
	bool avoid;		/**< failing or slow */
	bool missing;		/**< not listed since an outage of the store */
	bool excluded;		/**< must not get a request now */
	uint32_t busy_ms;	/**< it takes no request for this long */
};

struct place_request {
	uint64_t object_hash; /**< equal for all requests of one object */
	bool sticky;	     /**< faster on the server that caches the object */
	bool remote;	     /**< should spill over to another region */
	uint32_t typical_ms; /**< median service time */
	uint32_t slow_ms;    /**< service time where the object is not cached */
	uint32_t wait_max_ms;  /**< maximum of queue wait plus `rtt_ms` */
	uint32_t remaining_ms; /**< until the deadline */
	bool must_end; /**< this VM shuts down at the end of `remaining_ms` */
};

enum place_result {
	PLACE_SEND,	 /**< send to the candidate `index` */
	PLACE_NO_SERVER, /**< no candidate may get the request */
	PLACE_NO_ROOM,	 /**< every queue is too long */
};

struct place_choice {
	enum place_result result;
	uint32_t index;
	uint32_t wait_ms; /**< estimated, at the chosen or least busy server */
	bool wait_is_stated; /**< no estimate: servers take none until then */
};

/** @return where to send the request, or why it must be rejected. */
struct place_choice place_choose(const struct place_candidate *candidates,
				 uint32_t count,
				 const struct place_request *request);

/**
 * @param load running and queued requests on the server.
 * @param service_ms typical service time.
 * @return the estimated wait for a slot, in ms.
 */
uint32_t place_wait_ms(uint32_t load, uint32_t slots, uint32_t service_ms);

#endif
