#include "decide/outcome.h"
#include "unit/test.h"

static enum attempt_end end_of(uint16_t status, bool stamped, bool not_run,
			       bool encoded)
{
	struct response_facts facts = { status, stamped, not_run, encoded };

	return outcome_of_response(&facts);
}

static void classifies_responses(void)
{
	g_assert_cmpint(end_of(200, true, false, false), ==, ATTEMPT_ANSWERED);
	g_assert_cmpint(end_of(404, true, false, false), ==, ATTEMPT_ANSWERED);
	g_assert_cmpint(end_of(500, true, false, false), ==, ATTEMPT_FAILED);
	g_assert_cmpint(end_of(504, true, false, false), ==, ATTEMPT_FAILED);
	g_assert_cmpint(end_of(503, false, true, false), ==, ATTEMPT_REFUSED);
	g_assert_cmpint(end_of(421, false, true, false), ==,
			ATTEMPT_OTHER_SERVER);
}

/* Only an unmodified response of the server itself counts as a success. */
static void unstamped_and_encoded_responses_are_invalid(void)
{
	g_assert_cmpint(end_of(200, false, false, false), ==, ATTEMPT_INVALID);
	g_assert_cmpint(end_of(200, true, false, true), ==, ATTEMPT_INVALID);
	g_assert_cmpint(end_of(503, false, false, false), ==, ATTEMPT_INVALID);
}

/* Servers in trouble sent 600 and 999 with a valid stamp. */
static void statuses_out_of_range_are_invalid(void)
{
	static const uint16_t statuses[] = { 0, 42, 100, 199, 600, 999, 65535 };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(statuses); i++) {
		g_assert_cmpint(end_of(statuses[i], true, false, false), ==,
				ATTEMPT_INVALID);
		g_assert_cmpint(end_of(statuses[i], true, true, false), ==,
				ATTEMPT_INVALID);
	}
	g_assert_cmpint(end_of(599, true, false, false), ==, ATTEMPT_FAILED);
}

/* NOT_RUN is proven only if the server states it or no byte was sent. */
static void not_run_needs_proof(void)
{
	static const enum attempt_end unproven[] = {
		ATTEMPT_BROKEN, ATTEMPT_SILENT, ATTEMPT_INVALID, ATTEMPT_TIMED_OUT
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(unproven); i++)
		g_assert_cmpint(outcome_verdict(unproven[i]), ==,
				VERDICT_MAY_HAVE_RUN);
	g_assert_cmpint(outcome_verdict(ATTEMPT_REFUSED), ==, VERDICT_NOT_RUN);
	g_assert_cmpint(outcome_verdict(ATTEMPT_OTHER_SERVER), ==,
			VERDICT_NOT_RUN);
	g_assert_cmpint(outcome_verdict(ATTEMPT_NOT_CONNECTED), ==,
			VERDICT_NOT_RUN);
	g_assert_cmpint(outcome_verdict(ATTEMPT_FAILED), ==, VERDICT_RAN);
}

/* 503 states that the request has not run; 502 and 504 state nothing. */
static void status_matches_verdict(void)
{
	g_assert_cmpuint(outcome_http_status(VERDICT_NOT_RUN, false), ==, 503);
	g_assert_cmpuint(outcome_http_status(VERDICT_NOT_RUN, true), ==, 503);
	g_assert_cmpuint(outcome_http_status(VERDICT_MAY_HAVE_RUN, false), ==,
			 502);
	g_assert_cmpuint(outcome_http_status(VERDICT_MAY_HAVE_RUN, true), ==,
			 504);
	g_assert_cmpuint(outcome_http_status(VERDICT_RAN, false), ==, 502);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("outcome", classifies_responses);
	ADD_TEST("outcome", unstamped_and_encoded_responses_are_invalid);
	ADD_TEST("outcome", statuses_out_of_range_are_invalid);
	ADD_TEST("outcome", not_run_needs_proof);
	ADD_TEST("outcome", status_matches_verdict);
	return g_test_run();
}
