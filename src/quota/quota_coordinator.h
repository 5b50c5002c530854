#ifndef QUOTA_QUOTA_COORDINATOR_H
#define QUOTA_QUOTA_COORDINATOR_H

#include <jansson.h>

#include "kv/relay.h"
#include "quota/quota_internal.h"

/**
 * @file
 * The quota coordinator: answers the reports of all VMs. Each VM has one, and
 * that of the VM that the others choose is used. Loop's thread only.
 */

/** @return a coordinator that the caller frees. */
struct quota_coordinator *quota_coordinator_new(struct quota *quota);
void quota_coordinator_free(struct quota_coordinator *coordinator);

/** Answers the reports that come to a relay, which is freed first. */
void quota_coordinator_serve(struct quota_coordinator *coordinator,
			     struct relay *relay);

/** @return the reply to a report, which the caller frees; NULL: malformed. */
json_t *quota_coordinator_reply(struct quota_coordinator *coordinator,
				json_t *call);

/** Drops references to workspaces, which are about to change. */
void quota_coordinator_forget_list(struct quota_coordinator *coordinator);

#endif
