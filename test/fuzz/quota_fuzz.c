#include <math.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "quota/quota_codec.h"

/**
 * @file
 * Fuzzes the messages between VMs and the quota coordinator: a report that is
 * accepted changes a bucket, a reply a share, and both must stay in range.
 */

#define RATE_PER_S 10
#define NOW_MS 100000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

static void check(bool holds)
{
	if (!holds)
		__builtin_trap();
}

static bool is_fraction(double value)
{
	return value >= 0 && value <= 1; /* false for NaN */
}

/* Each entry is recorded as that of another VM. */
static void read_call(json_t *call)
{
	const struct quota_rule rule = { RATE_PER_S, RATE_PER_S };
	struct quota_peer peers[2] = { 0 };
	const struct quota_fleet fleet = { peers, 2, 2, 0 };
	struct quota_bucket bucket = { 0 };
	struct quota_call_head head;
	json_t *workspaces = quota_call_decode(call, &head);
	uint32_t slot = 0;
	const char *name;
	json_t *value;

	if (!workspaces)
		return;
	quota_bucket_init(&bucket, &rule, true, NOW_MS);
	json_object_foreach (workspaces, name, value) {
		struct quota_report report;
		struct quota_grant grant;

		if (!quota_call_decode_entry(value, &report))
			continue;
		report.displaced = head.displaced;
		slot = !slot;
		quota_peer_record(&peers[slot], false, head.displaced,
				  NOW_MS + 60);
		quota_bucket_record(&bucket, slot, &report, &fleet, NOW_MS + 60);
		grant = quota_bucket_grant(&bucket, slot, &fleet, NOW_MS + 120);
		check(is_fraction(grant.fraction) && is_fraction(grant.share));
		check(isfinite(bucket.tokens) && isfinite(bucket.demand));
	}
	quota_bucket_clear(&bucket);
}

static void read_reply(json_t *reply)
{
	json_t *workspaces = json_object_get(reply, "workspaces");
	struct quota_grant grant;
	const char *name;
	json_t *value;
	uint64_t run;

	if (!quota_reply_decode(reply, &run))
		return;
	check(run);
	json_object_foreach (workspaces, name, value) {
		if (quota_reply_decode_grant(reply, name, &grant))
			check(is_fraction(grant.fraction) &&
			      is_fraction(grant.share));
		check(is_fraction(quota_reply_decode_limited(reply, name)));
	}
	json_object_foreach (json_object_get(reply, "limited"), name, value)
		check(is_fraction(quota_reply_decode_limited(reply, name)));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	json_t *message = json_loadb((const char *)data, size, 0, NULL);

	if (!message)
		return 0;
	read_call(message);
	read_reply(message);
	json_decref(message);
	return 0;
}
