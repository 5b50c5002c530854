#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

/**
 * @file
 * Counters and gauges of the process, exported as OpenMetrics text.
 */

enum counter {
	COUNTER_LOOKUPS,
	COUNTER_LOOKUPS_REFUSED,
	COUNTER_REQUESTS,
	COUNTER_ATTEMPTS,
	COUNTER_RETRIES,
	COUNTER_RETRIES_OVER_BUDGET,
	COUNTER_ANSWERED,
	COUNTER_REFUSED_BY_BACKEND,
	COUNTER_REFUSED_FULL,
	COUNTER_REFUSED_OTHER,
	COUNTER_TIMED_OUT,
	COUNTER_LOST,
	COUNTER_NOT_RUN,
	COUNTER_MAY_HAVE_RUN,
	COUNTER_ORDERS,
	COUNTER_ORDERS_JOINED,
	COUNTER_ORDERS_REPLAYED,
	COUNTER_ORDERS_KEY_REUSED,
	COUNTER_ORDERS_PASSED_HOME,
	COUNTER_CLAIMS,
	COUNTER_CLAIMS_LOST,
	COUNTER_CLAIMS_UNKNOWN,
	COUNTER_STORE_CALLS,
	COUNTER_STORE_ERRORS,
	COUNTER_RELAY_CALLS,
	COUNTER_RELAY_ANSWERS,
	COUNTER_DOCUMENTS_APPLIED,
	COUNTER_DOCUMENTS_REFUSED,
	COUNTER_PEER_MESSAGES_IN,
	COUNTER_PEER_MESSAGES_OUT,
	COUNTER_PEER_BYTES_IN,
	COUNTER_PEER_BYTES_OUT,
	COUNTER_PEER_MESSAGES_REFUSED,
	COUNTER_PROBES,
	COUNTER_CROSSED_REGION,
	COUNTER_QUARANTINED,
	COUNTER_LIMITED_SENDS,
	COUNTER_UNREADABLE_ENTRIES,
	COUNTER_OVER_QUOTA,
	COUNTER_QUOTA_REPORTS,
	COUNTER_COUNT
};

enum gauge {
	GAUGE_DOCUMENT_VERSION,
	GAUGE_IN_FLIGHT,
	GAUGE_WAITING,
	GAUGE_ORDERS_REMEMBERED,
	GAUGE_MEMBERS_LIVE,
	GAUGE_MEMBERS_SUSPECT,
	GAUGE_LEAVING,
	GAUGE_STORE_REACHABLE,
	GAUGE_CUT_OFF,
	GAUGE_VMS_CUT_OFF,
	GAUGE_SERVERS_LIMITED,
	GAUGE_WORKSPACES_LIMITED,
	GAUGE_COUNT
};

/** Adds to a counter. Any thread. */
void counter_add(enum counter counter, uint64_t amount);

/** @return a counter's value. Any thread. */
uint64_t counter_get(enum counter counter);

/** Adds to a gauge; a negative amount lowers it. Any thread. */
void gauge_add(enum gauge gauge, int64_t amount);
/** Sets a gauge. Any thread. */
void gauge_set(enum gauge gauge, int64_t value);
/** @return a gauge's value. Any thread. */
int64_t gauge_get(enum gauge gauge);

/** Appends all counters and gauges, without the final "# EOF". Any thread. */
void counter_write(GString *text);

#endif
