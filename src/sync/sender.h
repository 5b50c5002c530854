#ifndef SYNC_SENDER_H
#define SYNC_SENDER_H

#include "proxy/proxy_defs.h"

/** @file This entry VM's rank among all as a sender to backend servers. */

/**
 * Ranks the VMs that can connect to servers. While VMs are assigned to servers,
 * the assigned one alone sends.
 *
 * @return the rank at a server, valid until the lists of VMs and servers
 * change; NULL if this VM is not in the list yet, or is cut off.
 */
const struct sender_rank *sender_rank_at(const struct proxy *proxy,
					 struct server *server);

#endif
