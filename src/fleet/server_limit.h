#ifndef FLEET_SERVER_LIMIT_H
#define FLEET_SERVER_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attributes.h"
#include "decide/limit_share.h"

/**
 * @file
 * What this entry VM knows of the limit that a backend server sets on the rate
 * of requests from all entry VMs together. Loop's thread only.
 *
 * Most VMs send nothing to a limited server, so they learn from reports of
 * other VMs how its limit changes. The last statement holds, whether it was in
 * a response to this VM or in a report. A VM reports what it has learned from a
 * response if the last report says something else.
 */

enum limit_kind {
	LIMIT_UNKNOWN, /**< nothing was said */
	LIMIT_NONE,    /**< the server names no limit */
	LIMIT_NAMED,
};

struct limit_statement {
	enum limit_kind kind;
	double per_s; /**< LIMIT_NAMED: requests per second */
};

/** All zeros is the initial state. */
struct server_limit {
	struct limit_statement known;	 /**< the last statement */
	struct limit_statement answered; /**< in the last response since */
	struct limit_statement reported; /**< the report in the store */
	struct limit_statement written;	 /**< last report of this VM */
	bool has_ended;	    /**< the limit ended with the last response */
	int64_t written_ms; /**< when `written` was */
	int64_t heard_ms; /**< last statement, or since when there is no report */
	bool report_due;	    /**< waits to be reported */
	struct limit_bucket bucket; /**< of this VM; used while it is named */
};

/** @return whether the server is known to limit its requests. */
bool server_limit_is_named(const struct server_limit *limit);

/** Records what a response of the server says: LIMIT_NONE or LIMIT_NAMED. */
void server_limit_record_response(struct server_limit *limit,
				  const char *server_id,
				  struct limit_statement statement,
				  int64_t now_ms);

/** Records another VM's report, or LIMIT_UNKNOWN: the report was removed, which
 * says nothing of the limit. */
void server_limit_record_report(struct server_limit *limit, const char *server_id,
				struct limit_statement statement, int64_t now_ms);

/** @return whether this VM should report what it knows. */
bool server_limit_needs_report(const struct server_limit *limit, int64_t now_ms);

/** Records that this VM writes a report of what it knows. */
void server_limit_mark_written(struct server_limit *limit, int64_t now_ms);

/** Forgets a limit that neither a response nor a report has confirmed for a
 * while; only while reports can be read. */
void server_limit_expire(struct server_limit *limit, const char *server_id,
			 int64_t now_ms);

/** Forgets everything, without a log line. */
void server_limit_clear(struct server_limit *limit);

/** A report in the store. */
struct limit_report {
	int64_t start_unix_ms; /**< of the server's incarnation; 0: unknown */
	struct limit_statement statement;
};

/** @return the report as JSON text, which the caller frees. */
MUST_USE char *limit_report_encode(const struct limit_report *report);

/** @return NULL, or what is wrong with the text. */
MUST_USE const char *limit_report_decode(const char *text, size_t bytes,
					 struct limit_report *report);

#endif
