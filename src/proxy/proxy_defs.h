#ifndef PROXY_PROXY_DEFS_H
#define PROXY_PROXY_DEFS_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "decide/cache_depth.h"
#include "decide/object_cache.h"
#include "decide/region_share.h"
#include "decide/retry_share.h"
#include "decide/run_time.h"
#include "decide/service_time.h"
#include "decide/spillover.h"
#include "fleet/bounds_defs.h"
#include "fleet/config.h"
#include "fleet/servers.h"
#include "fleet/vms.h"
#include "proxy/settings.h"

/**
 * @file
 * State shared by the modules of the data path. One instance per process, used
 * on the event loop's thread only.
 */

struct store_sync;
struct config_loader;
struct presence;
struct notices;
struct server_limits;
struct crash_watch;
struct reach_watch;
struct quota;
struct handoff;
struct assignment;
struct wait_queue;

/** Per-service state of this VM, beside the service's servers. */
struct service_state {
	struct retry_share retries;
	struct spillover spillover;
	/** Used instead of `spillover` while VMs are assigned to servers. */
	struct region_share region_share;
	double logged_share; /**< of `region_share`, last logged */
	struct service_time time;
	struct cache_depth cache_depth; /**< of servers assigned to this VM */
};

/** Per-route state of this VM. */
struct route_state {
	struct service_time time;
	struct run_time run_time; /**< at servers assigned to this VM */
};

struct proxy {
	struct event_base *base;
	const struct clock *clock;
	const struct proxy_settings *settings;
	struct bounds bounds;
	struct topology topology;
	const char *region;	    /**< of this VM, interned */
	const char *failure_domain; /**< of this VM, interned */
	struct config *config;	 /**< in force; NULL until the first is read */
	int64_t config_since_ms; /**< when it came in force */
	GHashTable *evacuated;	 /**< names of failure domains */
	struct servers *servers;
	struct vms *vms;
	struct store_sync *store_sync;
	struct config_loader *config_loader; /**< owned by store_sync */
	struct presence *presence;
	struct notices *notices;
	struct server_limits *limits;
	struct crash_watch *crashes;
	struct reach_watch *reach;
	struct quota *quota;
	struct handoff *handoff;
	struct assignment *assignment;
	struct wait_queue *wait_queue;
	GHashTable *service_states; /**< name to struct service_state */
	GHashTable *route_states;   /**< name to struct route_state */
	struct object_cache object_cache;
	struct evconnlistener *listener; /**< for callers; NULL: closed */
	GQueue callers;			 /**< open connections of callers */
	uint32_t exchanges_in_progress;
	uint64_t buffered_body_bytes; /**< of requests in progress */
	bool stopping;
	int64_t refuse_from_ms; /**< while stopping: refuse requests from then */
	/** while stopping: refuse requests from then that may outlast the exit */
	int64_t late_from_ms;
	int64_t exit_deadline_ms; /**< while stopping: time of exit */
	bool exiting;		  /**< the event loop is about to end */
};

static inline int64_t proxy_now_ms(const struct proxy *proxy)
{
	return clock_now_ms(proxy->clock);
}

#endif
