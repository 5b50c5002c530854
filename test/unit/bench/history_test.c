#include "history.h"

#include "unit/test.h"

/* Which failed operations the demonstration excuses: an order that its home
 * held when it was killed, and nothing else. */

#define KILLED_MS 7000

static uint64_t excused(const char *operation)
{
	struct history history;
	uint64_t count;

	history_init(&history);
	history.killed_home = "entry-b";
	history.killed_ms = KILLED_MS;
	history_read_operation(&history, operation);
	g_assert_cmpuint(history.malformed, ==, 0);
	g_assert_cmpuint(history.failed, ==, 1);
	count = history.lost_with_home;
	history_clear(&history);
	return count;
}

#define ORDER(key, at_ms, verdict)                                               \
	"{\"kind\":\"order\",\"caller\":\"c\",\"key\":\"" key "\",\"ok\":false," \
	"\"wrong\":false,\"latency_us\":500000,\"at_ms\":" at_ms                 \
	",\"attempts\":[{\"verdict\":\"" verdict "\"}]}"

static void only_what_died_with_its_home(void)
{
	g_assert_cmpuint(excused(ORDER("entry-b~1~x", "7300", "may-have-run")),
			 ==, 1);
	/* another home, too early, too late, and told something else */
	g_assert_cmpuint(excused(ORDER("entry-c~1~x", "7300", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(excused(ORDER("entry-bb~1~x", "7300", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(excused(ORDER("entry-b~1~x", "6999", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(excused(ORDER("entry-b~1~x", "7501", "may-have-run")),
			 ==, 0);
	g_assert_cmpuint(excused(ORDER("entry-b~1~x", "7300", "not-run")), ==, 0);
	g_assert_cmpuint(excused(ORDER("entry-b~1~x", "7300", "ran")), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("history", only_what_died_with_its_home);
	return g_test_run();
}
