#ifndef REQUEST_MESSAGE_DEFS_H
#define REQUEST_MESSAGE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/** @file Decoded headers of requests and responses, and sizes of bodies. */

/** The receiver of a larger body may read it late, a server not before it
 * responds. Meanwhile its window is closed, which TCP_USER_TIMEOUT counts like
 * a host that is gone. */
#define SMALL_BODY_BYTES_MAX 16384

struct request_meta {
	const char *id;	    /**< of this attempt of the caller; NULL: none */
	const char *object; /**< object the request refers to; NULL: none */
	uint32_t object_bytes;
	uint32_t deadline_ms; /**< how long the caller waits; 0: not given */
	const char *receiver; /**< name of the process it is meant for; NULL:
			       * not given */
	/** How many times an entry VM that hands it off may have sent it. */
	uint32_t send_count;
};

struct response_meta {
	const char *id;	       /**< of the request; NULL: not given */
	const char *server_id; /**< server that responded; NULL: not given */
	bool stamped;	       /**< carries a backend server's response stamp */
	bool not_run; /**< the server reports that it did not run the request */
	/** An entry VM's estimates for the route, see decide/service_time.h; 0:
	 * not given. */
	uint32_t service_fast_ms;
	uint32_t service_slow_ms;
	bool declined; /**< an entry VM wants the sender to place the request */
	/** How many times an entry VM that refuses it may have sent it. */
	uint32_t send_count;
	bool leaving; /**< the server reports that it will exit */
	bool encoded; /**< has a content encoding: not the server's own bytes */
	bool has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	bool has_work_percent; /**< of the service time; part of the load */
	uint32_t work_percent; /**< 100: as usual; more: slower */
	bool has_cold;
	uint32_t cold_left_ms;
	uint32_t idle_timeout_ms; /**< of this connection; 0: not given */
	/** The server wants no request for this long; 0: not given. */
	uint32_t retry_after_ms;
	bool has_limit;	    /**< the server limits its requests */
	bool limit_invalid; /**< it says something else than a limit */
	double limit_per_s; /**< requests that it takes from all entry VMs */
};

#endif
