#include "judge_internal.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Memory bound of a VM at the fleet size of the design. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define RSS_MAX_KB UINT32_MAX /* sanitizers add memory of their own */
#else
#define RSS_MAX_KB (32 * 1024)
#endif
#define LINES_PER_INVARIANT_MAX 5
/* Target latency of the routes. */
#define IN_TIME_MS 400

void judge_report(struct judge_state *j, const char *invariant,
		  const struct call_record *record, const char *detail)
{
	j->violations++;
	if (!j->invariant || strcmp(j->invariant, invariant) != 0)
		j->line_count = 0;
	j->invariant = invariant;
	if (j->line_count++ >= LINES_PER_INVARIANT_MAX)
		return;
	printf("BROKEN: %s", invariant);
	if (record)
		printf(" request=%s vm=e%u order=%d status=%u sent=%d "
		       "began_ms=%" PRId64 " ended_ms=%" PRId64,
		       record->id, record->vm, record->order, record->status,
		       record->sent, record->began_ms, record->ended_ms);
	printf("%s%s\n", detail ? " " : "", detail ? detail : "");
}

static size_t run_count(const struct evidence *evidence, const char *id)
{
	return json_array_size(json_object_get(evidence->runs, id));
}

/* These statuses guarantee that the request has not run and never will. */
static bool is_not_run_status(uint16_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool is_fault_free(const struct evidence *evidence,
			  const struct call_record *record)
{
	return soak_plan_is_fault_free(evidence->plan, record->began_ms,
				       record->ended_ms, JUDGE_RECOVERY_MS);
}

static void check_always(struct judge_state *j, const struct call_record *record)
{
	size_t runs = run_count(j->evidence, record->id);

	if (record->order && runs > 1)
		judge_report(j, "order ran more than once", record, NULL);
	if (is_not_run_status(record->status) && runs)
		judge_report(j, "reported as not run, but has run", record, NULL);
	if (record->mismatched)
		judge_report(j, "response to another request", record, NULL);
	if (record->status == 200 && !runs)
		judge_report(j, "success, but no server ran the request",
			     record, NULL);
	if (record->status >= 300 && record->status < 500 &&
	    !is_not_run_status(record->status) && !record->versioned_route)
		judge_report(j, "valid request was denied", record, NULL);
}

/* Whether a VM may end a response that its caller reads slowly: the time that
 * it has is over. */
static bool may_end_reading(const struct evidence *evidence,
			    const struct call_record *record)
{
	return record->reads_slowly &&
	       (record->ended_ms - record->began_ms >= record->limit_ms ||
		judge_outlasted_stop(evidence, record));
}

static void check_fault_free(struct judge_state *j,
			     const struct call_record *record)
{
	if (!record->status && record->sent &&
	    !may_end_reading(j->evidence, record))
		judge_report(j, "no response, without any fault", record, NULL);
	if (record->versioned_route && record->status == 404)
		judge_report(j, "new route not in force in time", record, NULL);
}

static void check_late_runs(struct judge_state *j)
{
	const struct evidence *evidence = j->evidence;
	const GArray *list = evidence->records;
	json_t *run;
	size_t i;
	guint k;

	json_array_foreach (evidence->late_runs, i, run) {
		const char *id = json_string_value(json_object_get(run, "id"));

		for (k = 0; k < list->len; k++) {
			const struct call_record *record =
				&g_array_index(list, struct call_record, k);

			if (strcmp(record->id, id) ||
			    !is_fault_free(evidence, record))
				continue;
			judge_report(j, "new work at a draining server", record,
				     json_string_value(
					     json_object_get(run, "server")));
		}
	}
}

/* Whether more requests than a server's limit may reach it: they were held up
 * on the way, a process stood still, or VMs may run a build without limits. */
static bool excuses_limits(const struct soak_event *event)
{
	return event->kind == SOAK_UPGRADE || event->kind == SOAK_SERVER_LINK ||
	       event->kind == SOAK_PAUSE || judge_is_cut(event);
}

static bool is_limit_checked(const struct evidence *evidence, int64_t at_ms)
{
	const GArray *list = evidence->plan->events;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		if (excuses_limits(event) &&
		    soak_event_is_near(event, at_ms - JUDGE_RECOVERY_MS, at_ms,
				       JUDGE_RECOVERY_MS))
			return false;
	}
	return true;
}

static void check_limits(struct judge_state *j)
{
	const char *server;
	char detail[96];
	json_t *limit;

	json_object_foreach (j->evidence->limits, server, limit) {
		json_int_t worst =
			json_integer_value(json_object_get(limit, "worst"));
		double allowed =
			json_real_value(json_object_get(limit, "allowed"));
		int64_t at_ms =
			json_integer_value(json_object_get(limit, "worst_ms")) -
			j->evidence->started_ms;

		if ((double)worst <= allowed ||
		    !is_limit_checked(j->evidence, at_ms))
			continue;
		g_snprintf(detail, sizeof(detail),
			   "server=%s at_ms=%" PRId64 " requests=%d allowed=%.1f",
			   server, at_ms, (int)worst, allowed);
		judge_report(j, "more requests than a server's limit", NULL,
			     detail);
	}
}

static void check_unrequested_runs(struct judge_state *j)
{
	GHashTable *requested = g_hash_table_new(g_str_hash, g_str_equal);
	const GArray *list = j->evidence->records;
	const char *id;
	json_t *runs;
	guint i;

	for (i = 0; i < list->len; i++)
		g_hash_table_add(requested,
				 g_array_index(list, struct call_record, i).id);
	json_object_foreach (j->evidence->runs, id, runs)
		if (!g_hash_table_contains(requested, id))
			judge_report(j, "run without a request from a caller",
				     NULL, id);
	g_hash_table_destroy(requested);
}

/* Requests that callers sent while VMs ran one build, or both. */
struct phase {
	const char *name;
	int64_t from_ms;
	int64_t to_ms;
};

static void print_phase(const struct evidence *evidence, const struct phase *phase)
{
	uint32_t sent = 0;
	uint32_t in_time = 0;
	uint32_t refused = 0;
	uint32_t failed = 0;
	guint i;

	for (i = 0; i < evidence->records->len; i++) {
		const struct call_record *record =
			&g_array_index(evidence->records, struct call_record, i);

		if (record->began_ms < phase->from_ms ||
		    record->began_ms >= phase->to_ms)
			continue;
		sent++;
		if (is_not_run_status(record->status))
			refused++;
		else if (record->status != 200)
			failed++;
		else if (record->ended_ms - record->began_ms <= IN_TIME_MS)
			in_time++;
	}
	printf("phase=%s sent=%u in_time=%u refused=%u failed=%u "
	       "in_time_share=%.4f\n",
	       phase->name, sent, in_time, refused, failed,
	       sent ? (double)in_time / sent : 0);
}

static void print_phases(const struct evidence *evidence)
{
	const GArray *list = evidence->plan->events;
	struct phase old = { "old", 0, INT64_MAX };
	struct phase mixed = { "mixed", 0, 0 };
	struct phase new = { "new", 0, evidence->served_from_ms };
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct soak_event *event =
			&g_array_index(list, struct soak_event, i);

		if (event->kind != SOAK_UPGRADE)
			continue;
		old.to_ms = MIN(old.to_ms, event->at_ms);
		mixed.to_ms = event->at_ms + event->for_ms + JUDGE_STOP_MS;
	}
	if (!mixed.to_ms)
		return;
	mixed.from_ms = old.to_ms;
	new.from_ms = mixed.to_ms;
	print_phase(evidence, &old);
	print_phase(evidence, &mixed);
	print_phase(evidence, &new);
}

uint32_t judge_evidence(const struct evidence *evidence)
{
	struct judge_state j = { evidence, 0, NULL, 0 };
	uint32_t statuses[6] = { 0 };
	uint32_t orders = 0;
	uint32_t final_requests = 0;
	guint i;

	for (i = 0; i < evidence->records->len; i++) {
		const struct call_record *record =
			&g_array_index(evidence->records, struct call_record, i);

		statuses[MIN(record->status / 100, 5)]++;
		orders += record->order;
		check_always(&j, record);
		if (is_fault_free(evidence, record))
			check_fault_free(&j, record);
		if (record->began_ms < evidence->served_from_ms)
			continue;
		final_requests++;
		if (record->status != 200 && !evidence->plan->busy)
			judge_report(&j, "not served after all faults ended",
				     record, NULL);
	}
	print_phases(evidence);
	judge_check_lost(&j);
	judge_check_cuts(&j);
	check_late_runs(&j);
	check_limits(&j);
	check_unrequested_runs(&j);
	if (!final_requests)
		judge_report(&j,
			     "no caller sent a request after all faults ended",
			     NULL, NULL);
	if (evidence->unexpected_exits)
		judge_report(&j, "a VM exited unexpectedly", NULL, NULL);
	if (evidence->rss_max_kb > RSS_MAX_KB)
		judge_report(&j, "a VM uses too much memory", NULL, NULL);
	printf("requests=%u orders=%u served=%u refused_or_failed=%u "
	       "denied=%u unanswered=%u last=%u rss_early_kb=%u rss_max_kb=%u broken=%u\n",
	       evidence->records->len, orders, statuses[2], statuses[5],
	       statuses[4], statuses[0], final_requests, evidence->rss_early_kb,
	       evidence->rss_max_kb, j.violations);
	return j.violations;
}
