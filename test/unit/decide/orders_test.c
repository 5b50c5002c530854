#include "decide/orders.h"
#include "unit/test.h"

#define RETENTION_MS 1000

static void finish(struct orders *orders, const char *key, enum verdict verdict,
		   int64_t now_ms)
{
	struct order_response response = {
		.verdict = verdict,
		.status = 200,
		.content_type = "text/plain",
		.body = "done",
		.body_bytes = 4,
	};

	orders_finish(orders, key, &response, RETENTION_MS, now_ms);
}

static void duplicates_join_then_replay(void)
{
	struct orders *orders = orders_new(10, 1000);
	struct order *order;

	g_assert_cmpint(orders_begin(orders, "k", 1, 0, &order), ==, ORDER_START);
	g_assert_cmpint(orders_begin(orders, "k", 1, 0, &order), ==, ORDER_JOIN);
	finish(orders, "k", VERDICT_RAN, 0);
	g_assert_cmpint(orders_begin(orders, "k", 1, 0, &order), ==,
			ORDER_REPLAY);
	g_assert_cmpstr(order->response.body, ==, "done");
	orders_free(orders);
}

static void refuses_other_body_for_same_key(void)
{
	struct orders *orders = orders_new(10, 1000);
	struct order *order;

	orders_begin(orders, "k", 1, 0, &order);
	g_assert_cmpint(orders_begin(orders, "k", 2, 0, &order), ==,
			ORDER_KEY_REUSED);
	finish(orders, "k", VERDICT_RAN, 0);
	g_assert_cmpint(orders_begin(orders, "k", 2, 0, &order), ==,
			ORDER_KEY_REUSED);
	orders_free(orders);
}

static void not_run_order_restarts_with_its_claim(void)
{
	struct orders *orders = orders_new(10, 1000);
	struct order *order;

	orders_begin(orders, "k", 1, 0, &order);
	order->claim = ORDER_CLAIM_HELD;
	finish(orders, "k", VERDICT_NOT_RUN, 0);
	g_assert_cmpint(orders_begin(orders, "k", 1, 0, &order), ==, ORDER_START);
	g_assert_cmpint(order->claim, ==, ORDER_CLAIM_HELD);
	g_assert_cmpint(orders_begin(orders, "k", 1, 0, &order), ==, ORDER_JOIN);
	orders_free(orders);
}

static void may_have_run_order_never_restarts(void)
{
	struct orders *orders = orders_new(10, 1000);
	struct order *order;

	orders_begin(orders, "k", 1, 0, &order);
	finish(orders, "k", VERDICT_MAY_HAVE_RUN, 0);
	g_assert_cmpint(orders_begin(orders, "k", 1, RETENTION_MS - 1, &order),
			==, ORDER_REPLAY);
	g_assert_cmpint(order->response.verdict, ==, VERDICT_MAY_HAVE_RUN);
	orders_free(orders);
}

static void bounds_orders_and_response_bytes(void)
{
	struct orders *orders = orders_new(2, 6);
	struct order *order;

	orders_begin(orders, "a", 1, 0, &order);
	orders_begin(orders, "b", 1, 0, &order);
	g_assert_cmpint(orders_begin(orders, "c", 1, 0, &order), ==,
			ORDER_TABLE_FULL);
	finish(orders, "a", VERDICT_RAN, 0);
	finish(orders, "b", VERDICT_RAN, 0);
	orders_begin(orders, "b", 1, 0, &order);
	g_assert_null(order->response.body); /* only six bytes are stored */
	g_assert_cmpuint(order->response.body_bytes, ==, 4);
	g_assert_cmpuint(orders_expire(orders, RETENTION_MS), ==, 2);
	g_assert_cmpuint(orders_count(orders), ==, 0);
	orders_free(orders);
}

static void order_in_progress_never_expires(void)
{
	struct orders *orders = orders_new(2, 100);
	struct order *order;

	orders_begin(orders, "a", 1, 0, &order);
	g_assert_cmpuint(orders_expire(orders, INT64_MAX), ==, 0);
	g_assert_cmpint(orders_begin(orders, "a", 1, INT64_MAX, &order), ==,
			ORDER_JOIN);
	orders_free(orders);
}

static void key_parts_survive_a_round_trip(void)
{
	struct order_key key = { "entry-1", 0x1a2b, true, 0x65 };
	struct order_key read;
	char text[200];

	order_key_prefix(&key, text, sizeof(text));
	g_assert_cmpstr(text, ==, "entry-1~1a2b~c~65~");
	g_assert_false(order_key_parse(text, &read)); /* suffix is missing */
	strcat(text, "mine");
	g_assert_true(order_key_parse(text, &read));
	g_assert_cmpstr(read.home, ==, "entry-1");
	g_assert_cmpuint(read.incarnation, ==, 0x1a2b);
	g_assert_true(read.claimed);
	g_assert_cmpint(read.issued_unix_s, ==, 0x65);
}

static void malformed_keys_do_not_parse(void)
{
	static const char *const keys[] = {
		"",	     "plain",	  "~1~c~1~x",
		"e~x~c~1~x", "e~1~d~1~x", "e~1~c~~x",
		"e~1~c~1",   "e~1~c1~x",  "e~11111111111111111~c~1~x",
	};
	struct order_key read;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(keys); i++)
		g_assert_false(order_key_parse(keys[i], &read));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("orders", duplicates_join_then_replay);
	ADD_TEST("orders", refuses_other_body_for_same_key);
	ADD_TEST("orders", not_run_order_restarts_with_its_claim);
	ADD_TEST("orders", may_have_run_order_never_restarts);
	ADD_TEST("orders", bounds_orders_and_response_bytes);
	ADD_TEST("orders", order_in_progress_never_expires);
	ADD_TEST("orders", key_parts_survive_a_round_trip);
	ADD_TEST("orders", malformed_keys_do_not_parse);
	return g_test_run();
}
