#ifndef QUOTA_QUOTA_CODEC_H
#define QUOTA_QUOTA_CODEC_H

#include <event2/buffer.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attributes.h"
#include "decide/quota_bucket.h"

/**
 * @file
 * JSON messages between an entry VM and the quota coordinator. Members that are
 * unknown are ignored, so that later builds can add some.
 *
 *     POST /quota  {"vm":"e1","run":"5f...","from":"a0...","displaced":false,
 *                   "workspaces":{"NAME":[ADMITTED_TOTAL,ADMITTED,OFFERED,HELD]}}
 *     200 {"run":"a0...","workspaces":{"NAME":[FRACTION,SHARE,NEAR,SUBSTITUTE]},
 *                   "limited":{"NAME":FRACTION}}
 */

/** Target of the calls. */
#define QUOTA_PATH "/quota"

/** Head of a report. Strings are valid as long as the message. */
struct quota_call_head {
	const char *vm;
	uint64_t run;  /**< identifies the VM's process */
	uint64_t from; /**< the coordinator that replied last; 0: none */
	bool displaced;
};

/** @return a report without workspaces, which the caller frees. */
json_t *quota_call_new(const struct quota_call_head *head);
void quota_call_add(json_t *call, const char *workspace,
		    const struct quota_report *report);

/**
 * Decodes the head of a report.
 *
 * @return the workspaces, valid as long as `call`; NULL if it is malformed.
 */
json_t *quota_call_decode(json_t *call, struct quota_call_head *head);

/** Decodes what a report says of one workspace. `displaced` is not set. */
MUST_USE bool quota_call_decode_entry(json_t *entry, struct quota_report *report);

/** @return a reply without workspaces, which the caller frees. */
json_t *quota_reply_new(uint64_t run);
void quota_reply_add(json_t *reply, const char *workspace,
		     const struct quota_grant *grant);
/** Adds a workspace that is limited, and of which the VM reported nothing. */
void quota_reply_add_limited(json_t *reply, const char *workspace,
			     double fraction);

/** @return whether the reply is valid. @param run of the coordinator. */
MUST_USE bool quota_reply_decode(json_t *reply, uint64_t *run);

/** @return whether the reply names the workspace; if so, sets `grant`. */
MUST_USE bool quota_reply_decode_grant(json_t *reply, const char *workspace,
				       struct quota_grant *grant);

/** @return the fraction of a workspace that the VM did not report. */
double quota_reply_decode_limited(json_t *reply, const char *workspace);

#endif
