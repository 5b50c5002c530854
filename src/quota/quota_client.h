#ifndef QUOTA_QUOTA_CLIENT_H
#define QUOTA_QUOTA_CLIENT_H

#include "quota/quota_internal.h"

/**
 * @file
 * Reports this VM's requests of workspaces to the quota coordinator, on one
 * persistent connection with one call at a time. Loop's thread only.
 */

/** @return a client that the caller frees. */
struct quota_client *quota_client_new(struct quota *quota);
void quota_client_free(struct quota_client *client);

/** Makes sure that the next report is scheduled. */
void quota_client_wake(struct quota_client *client);

/** Sends the next report as soon as possible. */
void quota_client_hurry(struct quota_client *client);

/** @return whether some VM may coordinate, whether or not it answers. */
bool quota_client_has_coordinator(const struct quota_client *client);

/** @return the VM that this one reports to; "": none yet. */
const char *quota_client_target(const struct quota_client *client);

#endif
