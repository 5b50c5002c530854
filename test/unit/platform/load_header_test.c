#include "platform/header_codec.h"
#include "unit/test.h"

static struct response_meta decode_header(const char *name, const char *value)
{
	struct http_header headers[] = { { name, value } };
	struct http_head head = {
		.status = 200,
		.headers = headers,
		.header_count = 1,
	};

	return response_meta_decode(&head);
}

static struct response_meta decode(const char *load)
{
	return decode_header("Backend-Load", load);
}

static void optional_fourth_figure_is_decoded(void)
{
	struct response_meta meta = decode("3,1,8,250");

	g_assert_true(meta.has_load);
	g_assert_cmpuint(meta.slots, ==, 8);
	g_assert_true(meta.has_work_percent);
	g_assert_cmpuint(meta.work_percent, ==, 250);
	meta = decode("3,1,8, 90 ");
	g_assert_cmpuint(meta.work_percent, ==, 90);
	meta = decode("3,1,8");
	g_assert_true(meta.has_load);
	g_assert_false(meta.has_work_percent);
}

/* Guards against a faulty server that gets no requests, or all of them, by one
 * figure. The load itself is kept as before. */
static void odd_percents_are_ignored_or_bounded(void)
{
	static const char *const odd[] = {
		"3,1,8,",   "3,1,8,0",	   "3,1,8,-5",	"3,1,8,+5",
		"3,1,8,x",  "3,1,8,100,7", "3,1,8,1e9", "3,1,8,90%",
		"3,1,8;90", "3,1,8,nan",
	};
	struct response_meta meta;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(odd); i++) {
		meta = decode(odd[i]);
		g_assert_true(meta.has_load);
		g_assert_cmpuint(meta.running, ==, 3);
		if (meta.has_work_percent)
			g_error("accepted: %s", odd[i]);
	}
	g_assert_cmpuint(decode("3,1,8,1").work_percent, ==, 10);
	g_assert_cmpuint(decode("3,1,8,99999999999999999999").work_percent, ==,
			 1000);
	meta = decode("3,1");
	g_assert_false(meta.has_load);
	g_assert_false(meta.has_work_percent);
}

static void service_time_is_encoded_and_decoded(void)
{
	struct evbuffer *out = evbuffer_new();
	struct response_meta meta;

	response_service_time_encode(out, 40, 130);
	evbuffer_add(out, "", 1);
	g_assert_cmpstr((const char *)evbuffer_pullup(out, -1), ==,
			"Handoff-Service-Time: 40,130\r\n");
	evbuffer_free(out);
	meta = decode_header("Handoff-Service-Time", "40,130");
	g_assert_cmpuint(meta.service_fast_ms, ==, 40);
	g_assert_cmpuint(meta.service_slow_ms, ==, 130);
	g_assert_true(response_header_is_between_vms("handoff-service-time"));
	g_assert_false(response_header_is_between_vms("Backend-Load"));
}

/* Guards against an estimate that one response sets to hours: "-5" was taken
 * for a number beyond the limit. */
static void odd_service_times_are_ignored_or_bounded(void)
{
	static const char *const odd[] = {
		"",    "40",	 "40,",	  "40;130", "0,0",   "0,130",
		"x,1", "130,40", "-5,-4", "40,-5",  "+5,+6", ",130",
	};
	struct response_meta meta;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(odd); i++) {
		meta = decode_header("Handoff-Service-Time", odd[i]);
		if (meta.service_fast_ms || meta.service_slow_ms)
			g_error("accepted: %s", odd[i]);
	}
	meta = decode_header("Handoff-Service-Time",
			     "99999999999999999999,99999999999999999999");
	g_assert_cmpuint(meta.service_fast_ms, ==, 600000);
	g_assert_cmpuint(meta.service_slow_ms, ==, 600000);
	/* a response of the previous build */
	meta = decode("3,1,8");
	g_assert_cmpuint(meta.service_fast_ms, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("load_header", optional_fourth_figure_is_decoded);
	ADD_TEST("load_header", odd_percents_are_ignored_or_bounded);
	ADD_TEST("load_header", service_time_is_encoded_and_decoded);
	ADD_TEST("load_header", odd_service_times_are_ignored_or_bounded);
	return g_test_run();
}
