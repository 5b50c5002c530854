#include "judge.h"

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

struct judge_state {
	const struct evidence *evidence;
	uint32_t violations;
	const char *invariant;
	uint32_t line_count;
};

static void report_violation(struct judge_state *j, const char *invariant,
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
	return soak_plan_is_fault_free(evidence->plan, record->ended_ms,
				       JUDGE_RECOVERY_MS) &&
	       soak_plan_is_fault_free(evidence->plan, record->began_ms,
				       JUDGE_RECOVERY_MS);
}

static void check_always(struct judge_state *j, const struct call_record *record)
{
	size_t runs = run_count(j->evidence, record->id);

	if (record->order && runs > 1)
		report_violation(j, "order ran more than once", record, NULL);
	if (is_not_run_status(record->status) && runs)
		report_violation(j, "reported as not run, but has run", record,
				 NULL);
	if (record->mismatched)
		report_violation(j, "response to another request", record, NULL);
	if (record->status == 200 && !runs)
		report_violation(j, "success, but no server ran the request",
				 record, NULL);
	if (record->status >= 300 && record->status < 500 &&
	    !is_not_run_status(record->status) && !record->versioned_route)
		report_violation(j, "valid request was denied", record, NULL);
}

static void check_fault_free(struct judge_state *j,
			     const struct call_record *record)
{
	if (!record->status && record->sent)
		report_violation(j, "no response, without any fault", record,
				 NULL);
	if (record->versioned_route && record->status == 404)
		report_violation(j, "new route not in force in time", record,
				 NULL);
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
			report_violation(j, "new work at a draining server",
					 record,
					 json_string_value(
						 json_object_get(run, "server")));
		}
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
			report_violation(j, "run without a request from a caller",
					 NULL, id);
	g_hash_table_destroy(requested);
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
		if (record->status != 200)
			report_violation(&j, "not served after all faults ended",
					 record, NULL);
	}
	check_late_runs(&j);
	check_unrequested_runs(&j);
	if (!final_requests)
		report_violation(&j,
				 "no caller sent a request after all faults ended",
				 NULL, NULL);
	if (evidence->unexpected_exits)
		report_violation(&j, "a VM exited unexpectedly", NULL, NULL);
	if (evidence->rss_max_kb > RSS_MAX_KB)
		report_violation(&j, "a VM uses too much memory", NULL, NULL);
	printf("requests=%u orders=%u served=%u refused_or_failed=%u "
	       "denied=%u unanswered=%u last=%u rss_early_kb=%u rss_max_kb=%u broken=%u\n",
	       evidence->records->len, orders, statuses[2], statuses[5],
	       statuses[4], statuses[0], final_requests, evidence->rss_early_kb,
	       evidence->rss_max_kb, j.violations);
	return j.violations;
}
