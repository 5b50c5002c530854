#include "judge_internal.h"

#include <inttypes.h>
#include <stdio.h>

/* While VMs are cut off from servers, callers' first requests may fail there as
 * often as this, or must be served at this share of the rate at other VMs. */
#define CUT_FAILED_MAX 10
#define CUT_FAILED_SHARE 0.02
#define CUT_SERVED_SHARE (2.0 / 3)

bool judge_is_cut(const struct soak_event *event)
{
	return event->kind == SOAK_CUT || event->kind == SOAK_CUT_HALF;
}

/* Whether the rates at which VMs with and without a path to servers serve can
 * be compared during an event. */
static bool is_comparable_during(const struct soak_event *event, uint32_t vm,
				 uint32_t vm_count)
{
	switch (event->kind) {
	case SOAK_CUT:
	case SOAK_CUT_HALF:
	case SOAK_SERVER:
	case SOAK_SERVER_LINK:
	case SOAK_CRASH:
	case SOAK_SLOW:
		return true;
	case SOAK_LIMIT_ALL:
		return false; /* few VMs may send */
	case SOAK_TERM:
	case SOAK_UPGRADE:
		return vm != event->target % vm_count;
	default:
		return soak_is_planned(event->kind);
	}
}

/* Whether requests are refused or take long while an event is active, which is
 * no fault. */
static bool is_shortage(const struct soak_event *event)
{
	return event->kind == SOAK_TERM || event->kind == SOAK_UPGRADE ||
	       event->kind == SOAK_SLOW || event->kind == SOAK_LIMIT_ALL;
}

/* Whether every request is served in spite of an event. */
static bool is_served_during(const struct soak_event *event)
{
	return !is_shortage(event) && soak_is_planned(event->kind);
}

/* Whether the check of a request during a cut, or of one afterwards, applies in
 * spite of the other events. */
static bool is_checked_for_cuts(const struct evidence *evidence,
				const struct call_record *record, bool during)
{
	const GArray *list = evidence->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);
		if (during ? is_comparable_during(event, record->vm,
						  evidence->vm_count)
			   : is_served_during(event))
			continue;
		if (soak_event_is_near(event, record->began_ms, record->ended_ms,
				       JUDGE_RECOVERY_MS +
					       (is_shortage(event) ? JUDGE_STOP_MS
								   : 0)))
			return false;
	}
	return true;
}

/* Whether any event cuts a VM off near the request; if `only_new`, whether one
 * has begun recently, for instance a second one with a different mode. */
static bool is_cut_near(const struct evidence *evidence, uint32_t vm,
			const struct call_record *record, bool only_new)
{
	const GArray *list = evidence->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);
		bool is_new = event->at_ms > record->began_ms - JUDGE_RECOVERY_MS;

		if (soak_event_cuts_vm(event, vm, evidence->vm_count) &&
		    (is_new || !only_new) &&
		    soak_event_is_near(event, record->began_ms,
				       record->ended_ms, JUDGE_RECOVERY_MS))
			return true;
	}
	return false;
}

/* Whether a VM is stopped near the request: directories don't name it. */
static bool is_stopped_near(const struct evidence *evidence, uint32_t vm,
			    const struct call_record *record)
{
	const GArray *list = evidence->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		if ((event->kind == SOAK_TERM || event->kind == SOAK_UPGRADE) &&
		    vm == event->target % evidence->vm_count &&
		    soak_event_is_near(event, record->began_ms, record->ended_ms,
				       JUDGE_RECOVERY_MS + JUDGE_STOP_MS))
			return true;
	}
	return false;
}

static bool has_vm_with_path(const struct evidence *evidence,
			     const struct call_record *record)
{
	uint32_t vm;

	for (vm = 0; vm < evidence->vm_count; vm++)
		if (!is_cut_near(evidence, vm, record, false) &&
		    !is_stopped_near(evidence, vm, record))
			return true;
	return false;
}

struct served_count {
	uint32_t total;
	uint32_t served;
};

static void add_to_count(struct served_count *count,
			 const struct call_record *record)
{
	count->total++;
	count->served += record->status == 200;
}

/* Callers that query the directory for each connection must be served although
 * some VMs have no path to servers. */
static void check_during_cut(struct judge_state *j, const struct soak_event *event)
{
	const struct evidence *evidence = j->evidence;
	struct served_count cut = { 0 };
	struct served_count other = { 0 };
	double other_share;
	uint32_t failed;
	char detail[96];
	guint i;

	for (i = 0; i < evidence->records->len; i++) {
		const struct call_record *record =
			&g_array_index(evidence->records, struct call_record, i);

		if (!record->fresh ||
		    record->began_ms < event->at_ms + JUDGE_RECOVERY_MS ||
		    record->began_ms > event->at_ms + event->for_ms ||
		    !is_checked_for_cuts(evidence, record, true) ||
		    !has_vm_with_path(evidence, record))
			continue;
		if (!is_cut_near(evidence, record->vm, record, false))
			add_to_count(&other, record);
		else if (soak_event_cuts_vm(event, record->vm,
					    evidence->vm_count) &&
			 !is_cut_near(evidence, record->vm, record, true))
			add_to_count(&cut, record);
	}
	failed = cut.total - cut.served;
	other_share = other.total ? (double)other.served / other.total : 1;
	g_snprintf(detail, sizeof(detail),
		   "at_ms=%" PRId64 " cut_off=%u/%u others=%u/%u", event->at_ms,
		   cut.served, cut.total, other.served, other.total);
	printf("cut %s\n", detail);
	if (failed >= CUT_FAILED_MAX + CUT_FAILED_SHARE * cut.total &&
	    cut.served < CUT_SERVED_SHARE * other_share * cut.total)
		judge_report(j, "not served at VMs without a path to servers",
			     NULL, detail);
}

/* Once the path is back, every request must be served. */
static void check_after_cuts(struct judge_state *j, int64_t from_ms)
{
	const struct evidence *evidence = j->evidence;
	guint i;

	for (i = 0; i < evidence->records->len; i++) {
		const struct call_record *record =
			&g_array_index(evidence->records, struct call_record, i);

		if (record->status != 200 && record->began_ms > from_ms &&
		    is_checked_for_cuts(evidence, record, false))
			judge_report(j, "not served with the path back", record,
				     NULL);
	}
}

void judge_check_cuts(struct judge_state *j)
{
	const GArray *list = j->evidence->plan->events;
	int64_t from_ms = INT64_MAX;
	guint i;

	/* refusals for lack of room say nothing about the cut */
	if (j->evidence->plan->busy)
		return;
	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		if (!judge_is_cut(event))
			continue;
		check_during_cut(j, event);
		from_ms = MIN(from_ms,
			      event->at_ms + event->for_ms + JUDGE_RECOVERY_MS);
	}
	check_after_cuts(j, from_ms);
}
