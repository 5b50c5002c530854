#ifndef PROXY_PROXY_DEFS_H
#define PROXY_PROXY_DEFS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "decide/retry_share.h"
#include "decide/service_time.h"
#include "decide/spill.h"
#include "decide/warmth.h"
#include "fleet/bounds_defs.h"
#include "fleet/config.h"
#include "fleet/servers.h"
#include "fleet/vms.h"
#include "proxy/settings.h"

/**
 * @file
 * What the parts of the data path share: one per process, used on the loop's
 * thread only.
 */

struct belief;
struct presence;
struct crash_watch;

/** What this VM keeps for each service, beside its servers. */
struct service_state {
	struct retry_share retries;
	struct spill spill;
	struct service_time time;
};

/** What this VM keeps for each route. */
struct route_state {
	struct service_time time;
};

struct proxy {
	struct event_base *base;
	const struct clock *clock;
	const struct proxy_settings *settings;
	struct bounds bounds;
	struct topology topology;
	const char *region;	    /**< of this VM, interned */
	const char *failure_domain; /**< of this VM, interned */
	struct config *config;	    /**< in force; NULL until one was read */
	GHashTable *evacuated;	    /**< names of failure domains */
	struct servers *servers;
	struct vms *vms;
	struct belief *belief;
	struct presence *presence;
	struct crash_watch *crashes;
	GHashTable *service_states; /**< name to struct service_state */
	GHashTable *route_states;   /**< name to struct route_state */
	struct warmth warmth;
	GQueue callers;	     /**< open connections of callers */
	uint32_t exchanges;  /**< requests in progress */
	uint64_t body_bytes; /**< held for requests in progress */
	bool stopping;
	int64_t stops_at_ms; /**< while stopping: when this process ends */
};

static inline int64_t proxy_now_ms(const struct proxy *proxy)
{
	return clock_now_ms(proxy->clock);
}

#endif
