#include "fleet/server_limit.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

/* A limit that differs by less than this fraction is not reported: those that
 * send to the server see it in its responses. */
#define REPORT_TOLERANCE 0.05
/* Time for a report to be read back from the store. */
#define WRITTEN_GRACE_MS 5000
/* Several times the interval at which a server that takes none is tried. */
#define FORGET_MS 60000
/* Larger numbers in a report are not what a server named. */
#define PER_S_MAX 1e6

static bool is_near(struct limit_statement a, struct limit_statement b)
{
	if (a.kind != b.kind)
		return false;
	return a.kind != LIMIT_NAMED ||
	       fabs(a.per_s - b.per_s) <=
		       REPORT_TOLERANCE * fmax(a.per_s, b.per_s);
}

bool server_limit_is_named(const struct server_limit *limit)
{
	return limit->known.kind == LIMIT_NAMED;
}

/* @param source where the statement comes from. */
static void set_known(struct server_limit *limit, const char *server_id,
		      struct limit_statement statement, const char *source)
{
	const struct limit_statement before = limit->known;

	limit->known = statement;
	if (statement.kind == LIMIT_NAMED && before.kind != LIMIT_NAMED) {
		memset(&limit->bucket, 0, sizeof(limit->bucket));
		gauge_add(GAUGE_SERVERS_LIMITED, 1);
	}
	if (statement.kind == LIMIT_NAMED &&
	    (before.kind != LIMIT_NAMED || before.per_s != statement.per_s))
		log_info("servers",
			 "server limits its requests server=%s per_s=%.3f "
			 "source=%s",
			 server_id, statement.per_s, source);
	if (statement.kind != LIMIT_NAMED && before.kind == LIMIT_NAMED) {
		gauge_add(GAUGE_SERVERS_LIMITED, -1);
		log_info("servers",
			 "server limits its requests no more server=%s source=%s",
			 server_id, source);
	}
}

void server_limit_record_response(struct server_limit *limit,
				  const char *server_id,
				  struct limit_statement statement,
				  int64_t now_ms)
{
	const bool was_named = server_limit_is_named(limit);

	if (statement.kind == LIMIT_NONE && !was_named &&
	    limit->reported.kind != LIMIT_NAMED)
		return;
	set_known(limit, server_id, statement, "response");
	limit->has_ended =
		statement.kind == LIMIT_NONE && (was_named || limit->has_ended);
	limit->answered = statement;
	limit->heard_ms = now_ms;
}

void server_limit_record_report(struct server_limit *limit, const char *server_id,
				struct limit_statement statement, int64_t now_ms)
{
	limit->reported = statement;
	limit->heard_ms = now_ms;
	if (statement.kind == LIMIT_UNKNOWN)
		return;
	set_known(limit, server_id, statement, "report");
	limit->answered.kind = LIMIT_UNKNOWN;
	limit->has_ended = false;
}

bool server_limit_needs_report(const struct server_limit *limit, int64_t now_ms)
{
	if (limit->answered.kind == LIMIT_UNKNOWN ||
	    is_near(limit->answered, limit->reported))
		return false;
	/* with no report, there is nothing to take back, unless other VMs may
	 * still know the limit from responses */
	if (limit->answered.kind == LIMIT_NONE &&
	    limit->reported.kind == LIMIT_UNKNOWN && !limit->has_ended)
		return false;
	return !is_near(limit->answered, limit->written) ||
	       now_ms - limit->written_ms >= WRITTEN_GRACE_MS;
}

void server_limit_mark_written(struct server_limit *limit, int64_t now_ms)
{
	limit->written = limit->answered;
	limit->written_ms = now_ms;
}

void server_limit_expire(struct server_limit *limit, const char *server_id,
			 int64_t now_ms)
{
	const struct limit_statement unknown = { LIMIT_UNKNOWN, 0 };

	if (!server_limit_is_named(limit) ||
	    limit->reported.kind != LIMIT_UNKNOWN ||
	    now_ms - limit->heard_ms < FORGET_MS)
		return;
	set_known(limit, server_id, unknown, "age");
	limit->answered = unknown;
}

void server_limit_clear(struct server_limit *limit)
{
	if (server_limit_is_named(limit))
		gauge_add(GAUGE_SERVERS_LIMITED, -1);
	memset(limit, 0, sizeof(*limit));
}

char *limit_report_encode(const struct limit_report *report)
{
	json_t *per_s = report->statement.kind == LIMIT_NAMED
				? json_real(report->statement.per_s)
				: json_null();
	json_t *root =
		json_pack("{s:I,s:o}", "start_unix_ms",
			  (json_int_t)report->start_unix_ms, "per_s", per_s);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

const char *limit_report_decode(const char *text, size_t bytes,
				struct limit_report *report)
{
	json_t *root = json_loadb(text, bytes, 0, NULL);
	json_t *start = json_object_get(root, "start_unix_ms");
	json_t *per_s = json_object_get(root, "per_s");
	const char *problem = NULL;

	memset(report, 0, sizeof(*report));
	if (!json_is_object(root))
		problem = "not a JSON object";
	else if (!json_is_integer(start) || json_integer_value(start) < 0)
		problem = "start_unix_ms is not a non-negative integer";
	else if (!json_is_null(per_s) &&
		 !(json_is_number(per_s) && json_number_value(per_s) >= 0 &&
		   json_number_value(per_s) <= PER_S_MAX))
		problem = "per_s is neither null nor a number from 0 to 1000000";
	if (!problem) {
		report->start_unix_ms = json_integer_value(start);
		report->statement.kind =
			json_is_null(per_s) ? LIMIT_NONE : LIMIT_NAMED;
		report->statement.per_s = json_number_value(per_s);
	}
	json_decref(root);
	return problem;
}
