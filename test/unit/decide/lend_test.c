#include "decide/lend.h"
#include "unit/test.h"

#define SELF 1
#define PEER 2
#define TIMEOUT_MS 1000

/** One server of this VM and one of a peer, with two slots each. */
static struct lend *new_lend(void)
{
	struct lend *lend = g_new(struct lend, 1);

	lend_init(lend, SELF);
	g_assert_cmpuint(lend_add_server(lend, SELF, 2), ==, 0);
	g_assert_cmpuint(lend_add_server(lend, PEER, 2), ==, 1);
	return lend;
}

static void uses_own_slots_without_asking_peers(void)
{
	struct lend *lend = new_lend();

	g_assert_cmpint(lend_request_slot(lend, 1, 0, TIMEOUT_MS).action, ==,
			LEND_USE);
	g_assert_cmpint(lend_request_slot(lend, 2, 0, TIMEOUT_MS).action, ==,
			LEND_USE);
	g_assert_cmpint(lend_request_slot(lend, 3, 0, TIMEOUT_MS).action, ==,
			LEND_WAIT);
	g_assert_cmpuint(lend_count_free_slots(lend), ==, 0);
	g_free(lend);
}

static void grants_each_slot_once(void)
{
	struct lend *lend = new_lend();
	uint32_t granted = 0;
	uint64_t i;

	for (i = 0; i < 10; i++) {
		granted +=
			lend_handle_request(lend, PEER, i, 0, TIMEOUT_MS).action ==
			LEND_GRANT;
		granted +=
			lend_request_slot(lend, 100 + i, 0, TIMEOUT_MS).action ==
			LEND_USE;
	}
	g_assert_cmpuint(granted, ==, 2);
	g_free(lend);
}

static void serves_waiters_in_arrival_order(void)
{
	struct lend *lend = new_lend();
	struct lend_command command;

	lend_request_slot(lend, 1, 0, TIMEOUT_MS);
	lend_request_slot(lend, 2, 0, TIMEOUT_MS);
	lend_handle_request(lend, PEER, 3, 0, TIMEOUT_MS);
	lend_request_slot(lend, 4, 0, TIMEOUT_MS);
	command = lend_finish_request(lend, 0, 10);
	g_assert_cmpint(command.action, ==, LEND_GRANT);
	g_assert_cmpuint(command.peer, ==, PEER);
	g_assert_cmpuint(command.request, ==, 3);
	command = lend_finish_request(lend, 0, 10);
	g_assert_cmpint(command.action, ==, LEND_USE);
	g_assert_cmpuint(command.request, ==, 4);
	command = lend_handle_return(lend, 0, 10);
	g_assert_cmpint(command.action, ==, LEND_NOTHING);
	g_assert_cmpuint(lend_count_free_slots(lend), ==, 1);
	g_free(lend);
}

static void returns_unneeded_grant_to_owner(void)
{
	struct lend *lend = new_lend();
	struct lend_command command;

	lend_request_slot(lend, 1, 0, TIMEOUT_MS);
	lend_request_slot(lend, 2, 0, TIMEOUT_MS);
	lend_request_slot(lend, 3, 0, TIMEOUT_MS);
	command = lend_handle_grant(lend, 1, 5);
	g_assert_cmpint(command.action, ==, LEND_USE);
	g_assert_cmpuint(command.request, ==, 3);
	command = lend_handle_grant(lend, 1, 5);
	g_assert_cmpint(command.action, ==, LEND_RETURN);
	g_assert_cmpuint(command.peer, ==, PEER);
	command = lend_finish_request(lend, 1, 9);
	g_assert_cmpint(command.action, ==, LEND_RETURN);
	g_free(lend);
}

static void ignores_expired_and_cancelled_requests(void)
{
	struct lend *lend = new_lend();

	lend_request_slot(lend, 1, 0, TIMEOUT_MS);
	lend_request_slot(lend, 2, 0, TIMEOUT_MS);
	lend_handle_request(lend, PEER, 3, 0, 20);
	lend_handle_request(lend, PEER, 4, 0, TIMEOUT_MS);
	g_assert_true(lend_cancel(lend, PEER, 4));
	g_assert_false(lend_cancel(lend, PEER, 4));
	g_assert_cmpint(lend_finish_request(lend, 0, 20).action, ==,
			LEND_NOTHING);
	g_free(lend);
}

static void bounds_waiting_requests(void)
{
	struct lend *lend = new_lend();
	uint64_t i;

	for (i = 0; i < 2 + LEND_WAITERS_MAX; i++)
		g_assert_cmpint(lend_request_slot(lend, i, 0, TIMEOUT_MS).action,
				!=, LEND_NOTHING);
	g_assert_cmpint(lend_request_slot(lend, i, 0, TIMEOUT_MS).action, ==,
			LEND_NOTHING);
	g_free(lend);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("lend", uses_own_slots_without_asking_peers);
	ADD_TEST("lend", grants_each_slot_once);
	ADD_TEST("lend", serves_waiters_in_arrival_order);
	ADD_TEST("lend", returns_unneeded_grant_to_owner);
	ADD_TEST("lend", ignores_expired_and_cancelled_requests);
	ADD_TEST("lend", bounds_waiting_requests);
	return g_test_run();
}
