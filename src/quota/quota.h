#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include <jansson.h>

#include "proxy/proxy_defs.h"

/**
 * @file
 * Quotas of workspaces, kept by all entry VMs together. Loop's thread only. All
 * functions allow NULL, for which nothing is limited.
 *
 * Each VM reports what it admitted to one VM, the quota coordinator, which
 * replies with the fraction to admit. Nothing is sent, and no timer runs, while
 * no workspace in the configuration in force has a rate.
 */

struct quota;
struct relay;

/** @return quotas that the caller frees, or NULL. */
struct quota *quota_new(struct proxy *proxy);
void quota_free(struct quota *quota);

/** Serves the reports of other VMs on a relay, which is freed before the quotas.
 * @param relay may be NULL: this VM is never the coordinator. */
void quota_serve(struct quota *quota, struct relay *relay);

/**
 * Counts a request of a workspace, if it is within the quota.
 *
 * @return 0 if the request may run; otherwise the time in ms until there is
 * room again.
 */
uint32_t quota_admit(struct quota *quota, const struct workspace *workspace);

/** @return the status for operators as a JSON object that the caller frees. */
json_t *quota_encode_status(const struct quota *quota);

#endif
