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
 * The daemon as its parts see it.
 */

#define ENTRY_SERVICES_MAX 64

/** Header names of the project. */
#define HEADER_REQUEST_ID "Auburnreach-Request-Id"
#define HEADER_DEADLINE "Auburnreach-Deadline-Unix-Ms"
#define HEADER_PASSED "Auburnreach-Passed"
#define HEADER_LEAVING "Auburnreach-Leaving"
#define HEADER_KEY "Idempotency-Key"

struct steering_table;
struct explain;
struct offer_cache;
struct claims;
struct watch;
struct probe;

/** How requests leave this process: to backend servers and entry VMs. */
struct entry_transport {
	/**
	 * @param pool kept connections to the address; NULL: connect anew.
	 * @param fresh_ms as for http_pool_exchange().
	 */
	enum http_result (*send)(void *context, const char *address,
				 struct http_pool *pool,
				 const struct http_request *request,
				 uint32_t fresh_ms, struct http_answer *answer);
	/** @return whether the address accepts connections. */
	bool (*reaches)(void *context, const char *address);
	void *context;
};

/** What this process asks of the other entry VMs. */
struct entry_fleet {
	/**
	 * Copies the address, of up to 65 bytes, of an entry VM.
	 *
	 * @return false when it is dead or has another incarnation.
	 */
	bool (*find)(void *context, const char *name, uint64_t incarnation,
		     char *address);
	void (*tell_leaving)(void *context, const char *backend);
	void (*tell_quarantined)(void *context, uint64_t fingerprint);
	void (*set_unclaimed)(void *context, bool unclaimed);
	void *context;
};

/** What a service has in progress here, and its retry budget. */
struct service_state {
	char name[65];
	uint32_t admitted;
	struct budget budget;
};

/** One entry VM's process. */
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
	struct offer_cache *offers;
	struct claims *claims;
	struct watch *watch;
	struct probe *probe;
	atomic_bool leaving;
	atomic_bool unclaimed; /**< orders run without claims: no store */
	atomic_uint_fast64_t request_count;

	pthread_mutex_t state_lock; /**< of the three below */
	struct service_state services[ENTRY_SERVICES_MAX];
	uint32_t service_count;
	struct quarantine quarantine;

	pthread_mutex_t order_lock; /**< of `orders` */
	pthread_cond_t order_done;
	struct orders *orders;
};

#endif
