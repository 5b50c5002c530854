#ifndef BASE_VERDICT_DEFS_H
#define BASE_VERDICT_DEFS_H

/**
 * @file
 * Verdicts: whether a backend server has executed a request.
 */

/**
 * Every outcome of a request has a verdict. VERDICT_NOT_RUN requires proof: no
 * byte of the request left this process, or the backend server stated that it
 * refused the request before executing it.
 */
enum verdict {
	VERDICT_NOT_RUN = 0,
	VERDICT_MAY_HAVE_RUN = 1,
	VERDICT_RAN = 2,
};

/** Header with the verdict, in responses to callers and of backend servers. */
#define VERDICT_HEADER "Auburnreach-Verdict"

/**
 * @return the header's value: "not-run", "may-have-run" or "ran".
 */
static inline const char *verdict_text(enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return "not-run";
	case VERDICT_RAN:
		return "ran";
	default:
		return "may-have-run";
	}
}

#endif
