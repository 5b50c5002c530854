#ifndef ENTRY_ENTRY_DEFS_H
#define ENTRY_ENTRY_DEFS_H

#include <pthread.h>
#include <stdatomic.h>

#include "backend/backends.h"
#include "base/clock.h"
#include "decide/budget.h"
#include "decide/orders.h"
#include "decide/quarantine.h"
#include "document/current.h"
#include "entry/settings.h"
#include "peer/peer.h"
#include "store/store_defs.h"

/**
 * @file
 * The state of one entry VM's process, shared by the modules of the daemon,
 * and the interfaces through which they reach servers and other entry VMs.
 */

#define ENTRY_SERVICES_MAX 64

/** HTTP headers exchanged with callers, servers and other entry VMs. */
#define HEADER_REQUEST_ID "Auburnreach-Request-Id"
#define HEADER_DEADLINE "Auburnreach-Deadline-Unix-Ms"
#define HEADER_PASSED "Auburnreach-Passed"
#define HEADER_LEAVING "Auburnreach-Leaving"
#define HEADER_KEY "Idempotency-Key"

struct steering_table;
struct explain;
struct lookup_snapshot_cache;
struct claims;
struct watch;
struct probe;

/**
 * Outgoing HTTP to backend servers and entry VMs. Callbacks, so that tests can
 * replace the network; called from any thread.
 */
struct entry_transport {
	/**
	 * Sends a request and reads the response; blocks up to the request's
	 * deadline.
	 *
	 * @param pool idle connections to the address; NULL: open a new one.
	 * @param idle_max_ms longest time that a pooled connection may have
	 * been idle; not used without a pool.
	 */
	enum http_result (*send)(void *context, const char *address,
				 struct http_pool *pool,
				 const struct http_request *request,
				 uint32_t idle_max_ms,
				 struct http_response *response);
	/** @return whether the address accepts a new connection. */
	bool (*can_connect)(void *context, const char *address);
	void *context;
};

/**
 * Exchange of state with the other entry VMs. Callbacks, so that tests can
 * replace the peer thread; called from any thread.
 */
struct entry_fleet {
	/**
	 * Looks up the HTTP address of an entry VM.
	 *
	 * @param address receives up to 65 bytes.
	 * @return false if it is dead or runs as another incarnation.
	 */
	bool (*find_entry)(void *context, const char *name,
			   uint64_t incarnation, char *address);
	/** Tells peers that a backend server is leaving. */
	void (*announce_leaving)(void *context, const char *backend);
	/** Tells peers to refuse requests of this fingerprint. */
	void (*announce_quarantined)(void *context, uint64_t fingerprint);
	/** Publishes whether new keys of this VM run without claims. */
	void (*set_unclaimed)(void *context, bool unclaimed);
	void *context;
};

/** A service's requests in progress in this process, and its retry budget. */
struct entry_service {
	char name[65];
	uint32_t admitted;
	struct budget budget;
};

/** The process of one entry VM. */
struct entry {
	struct settings settings;
	struct clock clock;
	uint64_t incarnation;
	int64_t started_ms;
	struct current *current;
	struct backends *backends;
	struct steering_table *steering;
	struct peer *peer;
	struct entry_fleet fleet;
	struct entry_transport transport;
	struct store store;
	struct explain *explain;
	struct lookup_snapshot_cache *lookup_snapshots;
	struct claims *claims;
	struct watch *watch;
	struct probe *probe;
	atomic_bool leaving;
	atomic_bool unclaimed; /**< store unreachable: new keys get no claim */
	atomic_uint_fast64_t request_count;

	pthread_mutex_t state_lock; /**< guards the next three members */
	struct entry_service services[ENTRY_SERVICES_MAX];
	uint32_t service_count;
	struct quarantine quarantine;

	pthread_mutex_t order_lock; /**< guards `orders` */
	pthread_cond_t order_done;  /**< an order finished or was forgotten */
	struct orders *orders;
};

#endif
