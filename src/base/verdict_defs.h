#ifndef BASE_VERDICT_DEFS_H
#define BASE_VERDICT_DEFS_H

/**
 * @file
 * What is known of a request's execution on a backend server.
 */

/**
 * Every outcome carries a verdict. VERDICT_NOT_RUN is used only with proof:
 * no byte of the request left this process, or the backend server stated that
 * it refused the request before running it.
 */
enum verdict {
	VERDICT_NOT_RUN = 0,
	VERDICT_MAY_HAVE_RUN = 1,
	VERDICT_RAN = 2,
};

/** Header that carries the verdict, to callers and from backend servers. */
#define VERDICT_HEADER "Auburnreach-Verdict"

/**
 * @return the verdict's text in the header: "not-run", "may-have-run", "ran".
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
