#ifndef CHECK_FINDING_H
#define CHECK_FINDING_H

#include <glib.h>
#include <stdint.h>

#include "base/attributes.h"

/** @file What a check of a configuration found. */

enum finding_severity {
	FINDING_ERROR,	 /**< rejected by entry VMs, or cannot work */
	FINDING_WARNING, /**< accepted, but probably not what was meant */
	FINDING_CHANGE,	 /**< differs from the version in force */
};

struct finding {
	enum finding_severity severity;
	char *path; /**< in the document; "": the whole */
	char *text; /**< one line without control characters */
};

/** A list of findings in the order in which they were added. */
struct findings {
	GPtrArray *items;		     /**< of struct finding */
	uint32_t counts[FINDING_CHANGE + 1]; /**< by severity */
};

/** @return an empty list that the caller frees with findings_free(). */
struct findings *findings_new(void);
/** NULL is allowed. */
void findings_free(struct findings *findings);

/** Adds a finding. Control characters in the text become "?". */
void findings_add(struct findings *findings, enum finding_severity severity,
		  const char *path, const char *format, ...) PRINTF_LIKE(4, 5);

/** @return "error", "warning" or "change". */
const char *finding_severity_name(enum finding_severity severity);

#endif
