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
	history->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	history->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void history_clear(struct history *history)
{
	g_hash_table_destroy(history->runs);
	g_hash_table_destroy(history->seen);
}

static uint32_t runs_of(const struct history *history, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(history->runs, key));
}

void history_read_run(struct history *history, const char *line)
{
	char **fields = g_strsplit(line, " ", -1);
	const char *key;

	if (g_strv_length(fields) != JOURNAL_FIELDS) {
		history->malformed++;
	} else {
		history->runs_read++;
		key = fields[FIELD_KEY];
		if (strcmp(fields[FIELD_METHOD], "GET") && strcmp(key, "-"))
			g_hash_table_replace(history->runs, g_strdup(key),
					     GUINT_TO_POINTER(
						     runs_of(history, key) + 1));
	}
	g_strfreev(fields);
}

/** What the attempts of one operation told its caller, together. */
struct told {
	bool ran;
	bool may_have_run;
};

static struct told told_of(json_t *attempts)
{
	struct told told = { false, false };
	const char *verdict;
	json_t *attempt;
	size_t i;

	json_array_foreach (attempts, i, attempt) {
		verdict = json_string_value(json_object_get(attempt, "verdict"));
		if (!verdict || !strcmp(verdict, "may-have-run"))
			told.may_have_run = true;
		else if (!strcmp(verdict, "ran"))
			told.ran = true;
	}
	return told;
}

static void judge_order(struct history *history, const char *key, struct told told)
{
	uint32_t runs = runs_of(history, key);

	history->orders++;
	g_hash_table_add(history->seen, g_strdup(key));
	if (runs > 1)
		history->twice++;
	if (runs == 1)
		history->once++;
	if (!runs && !told.ran)
		history->never++;
	if (!runs && told.ran)
		history->false_ran++;
	if (runs && !told.ran && !told.may_have_run)
		history->false_not_run++;
	if (runs && !told.ran && told.may_have_run)
		history->open++;
}

/* A key begins with the name of its home and a tilde; at_ms is the end of the
 * operation. */
static bool was_lost_with_home(const struct history *history, const char *key,
			       json_t *json, struct told told)
{
	int64_t at_ms = json_integer_value(json_object_get(json, "at_ms"));
	int64_t took_ms =
		json_integer_value(json_object_get(json, "latency_us")) / 1000;
	size_t bytes = history->killed_home ? strlen(history->killed_home) : 0;

	return bytes && !strncmp(key, history->killed_home, bytes) &&
	       key[bytes] == '~' && told.may_have_run && !told.ran &&
	       at_ms - took_ms <= history->killed_ms &&
	       at_ms >= history->killed_ms;
}

void history_read_operation(struct history *history, const char *line)
{
	json_t *json = json_loads(line, 0, NULL);
	const char *kind = json_string_value(json_object_get(json, "kind"));
	const char *key = json_string_value(json_object_get(json, "key"));
	struct told told;

	if (!kind || !key) {
		history->malformed++;
		json_decref(json);
		return;
	}
	history->operations++;
	history->wrong += json_is_true(json_object_get(json, "wrong"));
	history->failed += !json_is_true(json_object_get(json, "ok"));
	if (!strcmp(kind, "order") && *key) {
		told = told_of(json_object_get(json, "attempts"));
		judge_order(history, key, told);
		if (!json_is_true(json_object_get(json, "ok")))
			history->lost_with_home +=
				was_lost_with_home(history, key, json, told);
	}
	json_decref(json);
}

void history_finish(struct history *history)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, history->runs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(history->seen, key))
			history->stray++;
}

uint64_t history_broken(const struct history *history)
{
	return history->twice + history->false_ran + history->false_not_run +
	       history->wrong + history->stray + history->malformed;
}
