#include "judge.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* What a VM may use for control at the size that the design is for. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define RSS_MAX_KB UINT32_MAX /* the sanitizer's memory is not the VM's */
#else
#define RSS_MAX_KB (32 * 1024)
#endif
/* Lines printed for each promise. */
#define LINES_MAX 5

struct judging {
	const struct evidence *evidence;
	uint32_t broken;
	const char *promise;
	uint32_t lines;
};

static void broken(struct judging *j, const char *promise,
		   const struct seen *seen, const char *detail)
{
	j->broken++;
	if (!j->promise || strcmp(j->promise, promise) != 0)
		j->lines = 0;
	j->promise = promise;
	if (j->lines++ >= LINES_MAX)
		return;
	printf("BROKEN: %s", promise);
	if (seen)
		printf(" request=%s vm=e%u order=%d status=%u sent=%d "
		       "began_ms=%" PRId64 " ended_ms=%" PRId64,
		       seen->id, seen->vm, seen->order, seen->status,
		       seen->sent, seen->began_ms, seen->ended_ms);
	printf("%s%s\n", detail ? " " : "", detail ? detail : "");
}

static size_t runs_of(const struct evidence *evidence, const char *id)
{
	return json_array_size(json_object_get(evidence->runs, id));
}

/* These statuses say that the request has not run and never will. */
static bool says_not_run(uint16_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool is_calm(const struct evidence *evidence, const struct seen *seen)
{
	return soak_plan_calm(evidence->plan, seen->ended_ms, JUDGE_CALM_MS) &&
	       soak_plan_calm(evidence->plan, seen->began_ms, JUDGE_CALM_MS);
}

static void judge_always(struct judging *j, const struct seen *seen)
{
	size_t runs = runs_of(j->evidence, seen->id);

	if (seen->order && runs > 1)
		broken(j, "an order ran more than once", seen, NULL);
	if (says_not_run(seen->status) && runs)
		broken(j, "told as not run, and has run", seen, NULL);
	if (seen->foreign)
		broken(j, "an answer to another request", seen, NULL);
	if (seen->status == 200 && !runs)
		broken(j, "a success that no server ran", seen, NULL);
	if (seen->status >= 300 && seen->status < 500 &&
	    !says_not_run(seen->status) && !seen->newer_route)
		broken(j, "a proper request was denied", seen, NULL);
}

static void judge_calm(struct judging *j, const struct seen *seen)
{
	if (!seen->status && seen->sent)
		broken(j, "no answer, without any fault", seen, NULL);
	if (seen->newer_route && seen->status == 404)
		broken(j, "a new route is not in force in time", seen, NULL);
}

static void judge_late_runs(struct judging *j)
{
	const struct evidence *evidence = j->evidence;
	const GArray *list = evidence->seen;
	json_t *run;
	size_t i;
	guint k;

	json_array_foreach (evidence->late, i, run) {
		const char *id = json_string_value(json_object_get(run, "id"));

		for (k = 0; k < list->len; k++) {
			const struct seen *seen =
				&g_array_index(list, struct seen, k);

			if (strcmp(seen->id, id) || !is_calm(evidence, seen))
				continue;
			broken(j, "new work at a server that had left", seen,
			       json_string_value(json_object_get(run, "server")));
		}
	}
}

static void judge_unasked(struct judging *j)
{
	GHashTable *asked = g_hash_table_new(g_str_hash, g_str_equal);
	const GArray *list = j->evidence->seen;
	const char *id;
	json_t *runs;
	guint i;

	for (i = 0; i < list->len; i++)
		g_hash_table_add(asked, g_array_index(list, struct seen, i).id);
	json_object_foreach (j->evidence->runs, id, runs)
		if (!g_hash_table_contains(asked, id))
			broken(j, "a run that no caller asked for", NULL, id);
	g_hash_table_destroy(asked);
}

uint32_t judge(const struct evidence *evidence)
{
	struct judging j = { evidence, 0, NULL, 0 };
	uint32_t statuses[6] = { 0 };
	uint32_t orders = 0;
	uint32_t last = 0;
	guint i;

	for (i = 0; i < evidence->seen->len; i++) {
		const struct seen *seen =
			&g_array_index(evidence->seen, struct seen, i);

		statuses[MIN(seen->status / 100, 5)]++;
		orders += seen->order;
		judge_always(&j, seen);
		if (is_calm(evidence, seen))
			judge_calm(&j, seen);
		if (seen->began_ms < evidence->served_from_ms)
			continue;
		last++;
		if (seen->status != 200)
			broken(&j, "not served after all faults were over",
			       seen, NULL);
	}
	judge_late_runs(&j);
	judge_unasked(&j);
	if (!last)
		broken(&j, "no caller asked after all faults were over", NULL,
		       NULL);
	if (evidence->own_ends)
		broken(&j, "a VM ended by itself", NULL, NULL);
	if (evidence->rss_max_kb > RSS_MAX_KB)
		broken(&j, "a VM uses too much memory", NULL, NULL);
	printf("requests=%u orders=%u served=%u refused_or_failed=%u "
	       "denied=%u unanswered=%u last=%u rss_early_kb=%u rss_max_kb=%u broken=%u\n",
	       evidence->seen->len, orders, statuses[2], statuses[5],
	       statuses[4], statuses[0], last, evidence->rss_early_kb,
	       evidence->rss_max_kb, j.broken);
	return j.broken;
}
