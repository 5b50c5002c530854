#ifndef QUOTA_QUOTA_INTERNAL_H
#define QUOTA_QUOTA_INTERNAL_H

#include "decide/quota_bucket.h"
#include "decide/quota_share.h"
#include "proxy/proxy_defs.h"

/** @file Shared by the modules of this folder. */

struct quota_client;
struct quota_coordinator;

#define QUOTA_METER_SECONDS 5

/** Requests of the second in progress and of the four before it. */
struct quota_meter {
	int64_t second;
	uint32_t counts[QUOTA_METER_SECONDS];
};

/** A workspace with a rate, in the configuration in force. */
struct quota_entry {
	char *name;
	struct quota_share share;
	struct quota_bucket bucket; /* at the coordinator */
	bool has_bucket;
	bool in_call; /* of the report in progress */
	bool listed;  /* while the configuration is applied */
	bool refuses; /* refused a request a moment ago */
	int64_t refused_ms;
	uint64_t refused_count;	  /* since the start */
	struct quota_meter meter; /* of requests admitted here */
};

struct quota {
	struct proxy *proxy;
	uint64_t run;		     /* identifies this process; never 0 */
	GHashTable *entries;	     /* by name, owned by `list` */
	GPtrArray *list;	     /* of struct quota_entry */
	const struct config *config; /* that the entries are from */
	uint64_t config_version;
	struct quota_client *client;
	struct quota_coordinator *coordinator;
};

/** Applies the configuration in force, if it has changed. */
void quota_sync_config(struct quota *quota);

/** Ends the refusals that were some time ago. @return whether some have not. */
bool quota_check_refusals(struct quota *quota, int64_t now_ms);

/** Counts a request. */
void quota_meter_add(struct quota_meter *meter, int64_t now_ms);

/** @return the requests/s of the last 4 to 5 s. */
double quota_meter_per_s(struct quota_meter *meter, int64_t now_ms);

/** @return what the VM knows of the others. */
struct quota_view quota_view(const struct quota *quota);

#endif
