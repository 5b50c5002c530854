#include "limit_record.h"

#include <stdbool.h>

#include <glib.h>

#define NO_LIMIT (-1.0)
#define EXCESS_FACTOR 1.5
#define EXCESS_REQUESTS 5

struct statement {
	int64_t at_ms;
	double per_s; /* NO_LIMIT: none */
};

struct limit_record {
	char *text;
	GArray *statements; /* of struct statement */
	GArray *arrivals;   /* of int64_t, in ms */
};

struct limit_record *limit_record_new(void)
{
	struct limit_record *record = g_new0(struct limit_record, 1);

	record->text = g_strdup("");
	record->statements = g_array_new(false, false, sizeof(struct statement));
	record->arrivals = g_array_new(false, false, sizeof(int64_t));
	return record;
}

void limit_record_free(struct limit_record *record)
{
	if (!record)
		return;
	g_free(record->text);
	g_array_unref(record->statements);
	g_array_unref(record->arrivals);
	g_free(record);
}

void limit_record_set(struct limit_record *record, const char *text,
		      int64_t now_ms)
{
	struct statement statement = { now_ms, NO_LIMIT };
	char *end;
	double per_s = g_ascii_strtod(text, &end);

	if (end != text && !*end && per_s >= 0)
		statement.per_s = per_s;
	g_array_append_val(record->statements, statement);
	g_free(record->text);
	record->text = g_strdup(text);
}

const char *limit_record_text(const struct limit_record *record)
{
	return record->text;
}

void limit_record_arrival(struct limit_record *record, int64_t now_ms)
{
	g_array_append_val(record->arrivals, now_ms);
}

static const struct statement *statement_at(const struct limit_record *record,
					    guint i)
{
	return &g_array_index(record->statements, struct statement, i);
}

/* @return the highest limit named at any time in a span, or NO_LIMIT if at some
 * time none was. */
static double highest_limit(const struct limit_record *record, int64_t from_ms,
			    int64_t to_ms)
{
	double highest = NO_LIMIT;
	guint i;

	if (!record->statements->len || statement_at(record, 0)->at_ms > from_ms)
		return NO_LIMIT;
	for (i = 0; i < record->statements->len; i++) {
		const struct statement *next =
			i + 1 < record->statements->len
				? statement_at(record, i + 1)
				: NULL;

		if (statement_at(record, i)->at_ms > to_ms ||
		    (next && next->at_ms <= from_ms))
			continue;
		if (statement_at(record, i)->per_s < 0)
			return NO_LIMIT;
		highest = MAX(highest, statement_at(record, i)->per_s);
	}
	return highest;
}

static int64_t arrival_at(const struct limit_record *record, guint i)
{
	return g_array_index(record->arrivals, int64_t, i);
}

/* @return since when the present limit binds, or 0. */
static int64_t bound_since_ms(const struct limit_record *record)
{
	const struct statement *last;

	if (!record->statements->len)
		return 0;
	last = statement_at(record, record->statements->len - 1);
	return last->per_s < 0 ? 0 : last->at_ms + LIMIT_LEARN_MS;
}

json_t *limit_record_judge(const struct limit_record *record, int64_t now_ms)
{
	const int64_t since_ms = bound_since_ms(record);
	const bool is_bound = since_ms && since_ms < now_ms;
	uint32_t worst = 0;
	double worst_allowed = UINT32_MAX; /* no window so far */
	int64_t worst_ms = 0;
	uint32_t received = 0;
	guint first = 0;
	guint i;

	for (i = 0; i < record->arrivals->len; i++) {
		const int64_t at_ms = arrival_at(record, i);
		const double limit =
			highest_limit(record,
				      at_ms - LIMIT_WINDOW_MS - LIMIT_LEARN_MS,
				      at_ms);
		const double allowed =
			EXCESS_FACTOR * limit * LIMIT_WINDOW_MS / 1000 +
			EXCESS_REQUESTS;

		received += is_bound && at_ms >= since_ms;
		while (arrival_at(record, first) <= at_ms - LIMIT_WINDOW_MS)
			first++;
		if (limit < 0 ||
		    (i - first + 1) - allowed <= worst - worst_allowed)
			continue;
		worst = i - first + 1;
		worst_allowed = allowed;
		worst_ms = at_ms;
	}
	return json_pack("{s:i,s:f,s:I,s:i,s:I}", "worst", (int)worst, "allowed",
			 worst_allowed, "worst_ms", (json_int_t)worst_ms,
			 "received", (int)received, "judged_ms",
			 (json_int_t)(is_bound ? now_ms - since_ms : 0));
}
