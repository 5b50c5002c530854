#ifndef STANDIN_LIMIT_RECORD_H
#define STANDIN_LIMIT_RECORD_H

#include <jansson.h>
#include <stdint.h>

/**
 * @file
 * Records the limits that a backend server of the stand-in names and the
 * requests that reach it, and judges whether entry VMs keep to the limit.
 *
 * From LIMIT_LEARN_MS after it began to name limits, a server may get one and a
 * half times what its limit allows in LIMIT_WINDOW_MS, and five requests more.
 * A lower limit binds LIMIT_LEARN_MS later. Requests of all VMs count, also of
 * those that have not had a response of the server.
 */

#define LIMIT_WINDOW_MS 4000
#define LIMIT_LEARN_MS 4000

struct limit_record;

struct limit_record *limit_record_new(void);
void limit_record_free(struct limit_record *record);

/** Records that the server names `text` from now on; "": nothing. Text that is
 * no number limits nothing. */
void limit_record_set(struct limit_record *record, const char *text,
		      int64_t now_ms);

/** @return what the server names; "": nothing. */
const char *limit_record_text(const struct limit_record *record);

void limit_record_arrival(struct limit_record *record, int64_t now_ms);

/**
 * @return a new object: "worst" and "allowed", requests in the window that was
 * furthest above its limit, or closest to it, and "worst_ms", when it ended;
 * "received" and "judged_ms" since
 * the present limit binds (0: none does).
 */
json_t *limit_record_judge(const struct limit_record *record, int64_t now_ms);

#endif
