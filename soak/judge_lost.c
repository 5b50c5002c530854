#include <glib.h>

#include "judge_internal.h"

/**
 * @file
 * Checks that a VM lost no request that it had taken: the connection ended
 * without a response, or the VM responded for a server that was at work.
 * Planned restarts and faults of the store excuse neither.
 */

/* A request that is sent later after its VM's SIGTERM must be answered. */
#define LATE_AFTER_STOP_MS 3000
/* A run may go on beyond the exit only from this share of the grace on. */
#define LAST_PART_OF_GRACE_MS (FLEET_GRACE_MS * 5 / 6)
/* A slow caller sees the end of its connection only behind what its kernel
 * holds. */
#define READ_REST_MS 500
/* A request that has not run may cross the close of its connection. */
#define CROSSING_MS 200
/* How much earlier than its time limit a request may be ended. */
#define LIMIT_SLACK_MS 200

static bool is_checked(const struct evidence *evidence,
		       const struct call_record *record)
{
	const GArray *list = evidence->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		if (!soak_is_planned(event->kind) &&
		    !soak_is_store_fault(event->kind) &&
		    soak_event_is_near(event, record->began_ms,
				       record->ended_ms, JUDGE_RECOVERY_MS))
			return false;
	}
	return true;
}

bool judge_outlasted_stop(const struct evidence *evidence,
			  const struct call_record *record)
{
	const GArray *list = evidence->plan->events;
	const int64_t last_ms =
		FLEET_GRACE_MS + (record->reads_slowly ? READ_REST_MS : 0);
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		if ((event->kind == SOAK_TERM || event->kind == SOAK_UPGRADE) &&
		    event->target % evidence->vm_count == record->vm &&
		    record->began_ms <= event->at_ms + LATE_AFTER_STOP_MS &&
		    record->ended_ms >= event->at_ms + LAST_PART_OF_GRACE_MS &&
		    record->ended_ms <= event->at_ms + last_ms)
			return true;
	}
	return false;
}

static bool was_lost(const struct evidence *evidence,
		     const struct call_record *record)
{
	const int64_t took_ms = record->ended_ms - record->began_ms;
	const bool has_run =
		json_array_size(json_object_get(evidence->runs, record->id));

	if (took_ms >= (int64_t)record->limit_ms - LIMIT_SLACK_MS)
		return false;
	if (!record->status)
		return record->sent && (has_run || took_ms > CROSSING_MS);
	return (record->status == 502 || record->status == 504) &&
	       !record->stamped && has_run;
}

void judge_check_lost(struct judge_state *j)
{
	const GArray *list = j->evidence->records;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct call_record *record =
			&g_array_index(list, struct call_record, i);

		if (was_lost(j->evidence, record) &&
		    is_checked(j->evidence, record) &&
		    !judge_outlasted_stop(j->evidence, record))
			judge_report(j, "request was lost", record, NULL);
	}
}
