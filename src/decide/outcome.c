#include "decide/outcome.h"

#include "base/attributes.h"

enum {
	STATUS_FIRST = 200, /* of final responses */
	STATUS_LAST = 599,
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_OTHER_SERVER = 421,
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_FAILURE_FIRST = 500,
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503,
	STATUS_GATEWAY_TIMEOUT = 504,
};

enum attempt_end outcome_of_response(const struct response_facts *facts)
{
	if (facts->status < STATUS_FIRST || facts->status > STATUS_LAST)
		return ATTEMPT_INVALID;
	if (facts->status == STATUS_OTHER_SERVER)
		return ATTEMPT_OTHER_SERVER;
	if (facts->not_run)
		return ATTEMPT_REFUSED;
	if (!facts->stamped || facts->encoded)
		return ATTEMPT_INVALID;
	return facts->status >= STATUS_FAILURE_FIRST ? ATTEMPT_FAILED
						     : ATTEMPT_ANSWERED;
}

bool outcome_status_means_not_run(uint16_t status)
{
	return status == STATUS_REQUEST_TIMEOUT ||
	       status == STATUS_OTHER_SERVER ||
	       status == STATUS_TOO_MANY_REQUESTS ||
	       status == STATUS_UNAVAILABLE;
}

enum verdict outcome_verdict(enum attempt_end end)
{
	switch (end) {
	case ATTEMPT_REFUSED:
	case ATTEMPT_OTHER_SERVER:
	case ATTEMPT_NOT_CONNECTED:
		return VERDICT_NOT_RUN;
	case ATTEMPT_ANSWERED:
	case ATTEMPT_FAILED:
		return VERDICT_RAN;
	default:
		return VERDICT_MAY_HAVE_RUN;
	}
}

bool outcome_is_server_fault(enum attempt_end end)
{
	return end != ATTEMPT_ANSWERED && end != ATTEMPT_REFUSED &&
	       end != ATTEMPT_UNPROVED;
}

const char *outcome_text(enum attempt_end end)
{
	static const char *const texts[] = {
		[ATTEMPT_ANSWERED] = "answered",
		[ATTEMPT_FAILED] = "failed",
		[ATTEMPT_REFUSED] = "refused",
		[ATTEMPT_OTHER_SERVER] = "other-server",
		[ATTEMPT_NOT_CONNECTED] = "not-connected",
		[ATTEMPT_BROKEN] = "broken",
		[ATTEMPT_SILENT] = "silent",
		[ATTEMPT_INVALID] = "invalid",
		[ATTEMPT_UNPROVED] = "unproved",
		[ATTEMPT_TIMED_OUT] = "timed-out",
	};

	return texts[end];
}

uint16_t outcome_http_status(enum verdict strongest, bool timed_out)
{
	if (strongest == VERDICT_NOT_RUN)
		return STATUS_UNAVAILABLE;
	return timed_out ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
}
