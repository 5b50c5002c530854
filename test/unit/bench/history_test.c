#include "history.h"

#include "unit/test.h"

/* Guards against real failures that the demo would excuse: a failed operation
 * counts as lost with its home only if it is an order that was in progress at
 * its home VM when that was killed, and its caller was told MAY_HAVE_RUN. */

#define KILLED_MS 7000

static uint64_t count_lost(const char *operation)
{
	struct history history;
	uint64_t count;

	history_init(&history);
	history.killed_home = "entry-b";
	history.killed_ms = KILLED_MS;
	history_add_operation(&history, operation);
	g_assert_cmpuint(history.malformed_lines, ==, 0);
	g_assert_cmpuint(history.failed, ==, 1);
	count = history.lost_with_home;
	history_clear(&history);
	return count;
}

#define ORDER(key, at_ms, verdict)                                               \
	"{\"kind\":\"order\",\"caller\":\"c\",\"key\":\"" key "\",\"ok\":false," \
	"\"wrong\":false,\"latency_us\":500000,\"at_ms\":" at_ms                 \
	",\"attempts\":[{\"verdict\":\"" verdict "\"}]}"

static void counts_only_orders_lost_with_home(void)
{
	g_assert_cmpuint(count_lost(ORDER("entry-b~1~x", "7300", "may-have-run")),
			 ==, 1);
	/* another home, a home whose name begins alike, ended before the kill,
	 * began after it, and other verdicts */
	g_assert_cmpuint(count_lost(ORDER("entry-c~1~x", "7300", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(count_lost(ORDER("entry-bb~1~x", "7300", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(count_lost(ORDER("entry-b~1~x", "6999", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(count_lost(ORDER("entry-b~1~x", "7501", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(count_lost(ORDER("entry-b~1~x", "7300", "not-run")),
			 ==, 0);
	g_assert_cmpuint(count_lost(ORDER("entry-b~1~x", "7300", "ran")), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("history", counts_only_orders_lost_with_home);
	return g_test_run();
}
