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
struct claims;
struct watch;
struct probe;

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
	struct store store;
	struct explain *explain;
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
