#include "history.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define JOURNAL_FIELDS 6
#define FIELD_METHOD 2
#define FIELD_KEY 4

void history_init(struct history *history)
{
	memset(history, 0, sizeof(*history));
	history->runs_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	history->used_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void history_clear(struct history *history)
{
	g_hash_table_destroy(history->runs_by_key);
	g_hash_table_destroy(history->used_keys);
}

static uint32_t runs_for_key(const struct history *history, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(history->runs_by_key, key));
}

void history_add_run(struct history *history, const char *line)
{
	char **fields = g_strsplit(line, " ", -1);
	const char *key;

	if (g_strv_length(fields) != JOURNAL_FIELDS) {
		history->malformed_lines++;
	} else {
		history->run_lines++;
		key = fields[FIELD_KEY];
		if (strcmp(fields[FIELD_METHOD], "GET") && strcmp(key, "-"))
			g_hash_table_replace(
				history->runs_by_key, g_strdup(key),
				GUINT_TO_POINTER(runs_for_key(history, key) + 1));
	}
	g_strfreev(fields);
}

/** Verdicts that the caller got from all attempts of one operation. */
struct reported_verdicts {
	bool ran;
	bool may_have_run;
};

static struct reported_verdicts collect_verdicts(json_t *attempts)
{
	struct reported_verdicts reported = { false, false };
	const char *verdict;
	json_t *attempt;
	size_t i;

	json_array_foreach (attempts, i, attempt) {
		verdict = json_string_value(json_object_get(attempt, "verdict"));
		if (!verdict || !strcmp(verdict, "may-have-run"))
			reported.may_have_run = true;
		else if (!strcmp(verdict, "ran"))
			reported.ran = true;
	}
	return reported;
}

static void classify_order(struct history *history, const char *key,
			   struct reported_verdicts reported)
{
	uint32_t runs = runs_for_key(history, key);

	history->orders++;
	g_hash_table_add(history->used_keys, g_strdup(key));
	if (runs > 1)
		history->ran_twice++;
	if (runs == 1)
		history->ran_once++;
	if (!runs && !reported.ran)
		history->never_ran++;
	if (!runs && reported.ran)
		history->told_ran_but_never++;
	if (runs && !reported.ran && !reported.may_have_run)
		history->told_not_run_but_ran++;
	if (runs && !reported.ran && reported.may_have_run)
		history->ran_unconfirmed++;
}

/* A key begins with the name of its home VM and a tilde. at_ms is the time at
 * which the operation ended. */
static bool was_lost_with_home(const struct history *history, const char *key,
			       json_t *json, struct reported_verdicts reported)
{
	int64_t at_ms = json_integer_value(json_object_get(json, "at_ms"));
	int64_t elapsed_ms =
		json_integer_value(json_object_get(json, "latency_us")) / 1000;
	size_t home_bytes =
		history->killed_home ? strlen(history->killed_home) : 0;

	return home_bytes && !strncmp(key, history->killed_home, home_bytes) &&
	       key[home_bytes] == '~' && reported.may_have_run &&
	       !reported.ran && at_ms - elapsed_ms <= history->killed_ms &&
	       at_ms >= history->killed_ms;
}

void history_add_operation(struct history *history, const char *line)
{
	json_t *json = json_loads(line, 0, NULL);
	const char *kind = json_string_value(json_object_get(json, "kind"));
	const char *key = json_string_value(json_object_get(json, "key"));
	struct reported_verdicts reported;

	if (!kind || !key) {
		history->malformed_lines++;
		json_decref(json);
		return;
	}
	history->operations++;
	history->wrong_responses += json_is_true(json_object_get(json, "wrong"));
	history->failed += !json_is_true(json_object_get(json, "ok"));
	if (!strcmp(kind, "order") && *key) {
		reported = collect_verdicts(json_object_get(json, "attempts"));
		classify_order(history, key, reported);
		if (!json_is_true(json_object_get(json, "ok")))
			history->lost_with_home +=
				was_lost_with_home(history, key, json, reported);
	}
	json_decref(json);
}

void history_finish(struct history *history)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, history->runs_by_key);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(history->used_keys, key))
			history->stray_runs++;
}

uint64_t history_count_violations(const struct history *history)
{
	return history->ran_twice + history->told_ran_but_never +
	       history->told_not_run_but_ran + history->wrong_responses +
	       history->stray_runs + history->malformed_lines;
}
