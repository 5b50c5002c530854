#ifndef PROXY_PROXY_DEFS_H
#define PROXY_PROXY_DEFS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "decide/retry_share.h"
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

struct proxy {
	struct event_base *base;
	const struct clock *clock;
	const struct proxy_settings *settings;
	struct bounds bounds;
	struct topology topology;
	const char *region; /**< of this VM, interned */
	struct config *config; /**< in force; NULL until one was read */
	GHashTable *evacuated; /**< names of failure domains */
	struct servers *servers;
	struct vms *vms;
	struct belief *belief;
	GHashTable *retry_shares; /**< service name to struct retry_share */
	GQueue callers;		  /**< open connections of callers */
	uint32_t exchanges;	  /**< requests in progress */
	uint64_t body_bytes;	  /**< held for requests in progress */
	bool stopping;
};

static inline int64_t proxy_now_ms(const struct proxy *proxy)
{
	return clock_now_ms(proxy->clock);
}

#endif
