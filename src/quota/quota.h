#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Quotas of workspaces, kept by all entry VMs together. Loop's thread only. All
 * functions allow NULL, for which nothing is limited.
 */

struct quota;

/** @return quotas that the caller frees, or NULL. */
struct quota *quota_new(struct proxy *proxy);
void quota_free(struct quota *quota);

/**
 * Counts a request of a workspace, if it is within the quota.
 *
 * @return 0 if the request may run; otherwise the time in ms until there is
 * room again.
 */
uint32_t quota_admit(struct quota *quota, const struct workspace *workspace);

#endif
