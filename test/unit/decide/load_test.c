#include "decide/load.h"
#include "unit/test.h"

static void counts_own_requests_without_reports(void)
{
	struct load_view load = { .slots = 9 };

	load_record_sent(&load);
	load_record_sent(&load);
	load_record_finished(&load);
	g_assert_cmpuint(load_estimate(&load, 1000), ==, 1);
	load_record_finished(&load);
	load_record_finished(&load);
	g_assert_cmpuint(load_estimate(&load, 1000), ==, 0);
}

/* Two of the seven reported requests are from this VM, five from others. */
static void subtracts_own_requests_from_report(void)
{
	struct load_view load = { .slots = 9 };

	load_record_sent(&load);
	load_record_sent(&load);
	load_record_report(&load, 6, 1, 1000);
	g_assert_cmpuint(load_estimate(&load, 1000), ==, 7);
	load_record_finished(&load);
	g_assert_cmpuint(load_estimate(&load, 1000), ==, 6);
}

static void discounts_old_reports(void)
{
	struct load_view load = { .slots = 9 };

	load_record_report(&load, 9, 9, 1000);
	g_assert_cmpuint(load_estimate(&load, 1000), ==, 18);
	g_assert_cmpuint(load_estimate(&load, 1000 + LOAD_REPORT_AGE_MAX_MS / 2),
			 ==, 9);
	g_assert_cmpuint(load_estimate(&load, 1000 + LOAD_REPORT_AGE_MAX_MS),
			 ==, 0);
}

static void false_report_does_not_hide_own_requests(void)
{
	struct load_view load = { .slots = 9 };
	int i;

	for (i = 0; i < 12; i++)
		load_record_sent(&load);
	load_record_report(&load, 0, 0, 1000);
	g_assert_cmpuint(load_estimate(&load, 1000), ==, 12);
}

/* Load pattern: many VMs send to a few servers at the same moment, and the
 * queues are full before any VM learns of the others' requests. */
static void bounds_requests_of_many_vms(void)
{
	const uint32_t slots = 3;
	const uint32_t queue = 9;
	uint32_t vms;

	/* a single VM may fill the slots and the queue */
	g_assert_cmpuint(load_max_own_requests(slots, 1), >=, slots + queue);
	/* a few VMs together may fill at least the slots */
	for (vms = 1; vms <= 6; vms++)
		g_assert_cmpuint(load_max_own_requests(slots, vms) * vms, >=,
				 slots);
	/* never limited to one request, which would show too little */
	g_assert_cmpuint(load_max_own_requests(slots, 1000), ==, 2);
	g_assert_cmpuint(load_max_own_requests(9, 8), ==, 6);
}

/* Load pattern: one server in seven is slow at a time, for about 600 ms. An
 * old report tells nothing of the next request. */
static void work_percent_is_known_for_a_moment(void)
{
	struct load_view load = { .slots = 3 };

	g_assert_cmpuint(load_work_percent(&load, 1000), ==, 100);
	load_record_work_percent(&load, 250, 1000);
	g_assert_cmpuint(load_work_percent(&load, 1000), ==, 250);
	g_assert_cmpuint(load_work_percent(&load, 1300), ==, 250);
	g_assert_cmpuint(load_work_percent(&load, 1301), ==, 100);
	/* a report without the figure does not renew it */
	load_record_report(&load, 1, 0, 1400);
	g_assert_cmpuint(load_work_percent(&load, 1400), ==, 100);
	load_record_work_percent(&load, 90, 1500);
	g_assert_cmpuint(load_work_percent(&load, 1500), ==, 90);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("load", counts_own_requests_without_reports);
	ADD_TEST("load", subtracts_own_requests_from_report);
	ADD_TEST("load", discounts_old_reports);
	ADD_TEST("load", false_report_does_not_hide_own_requests);
	ADD_TEST("load", bounds_requests_of_many_vms);
	ADD_TEST("load", work_percent_is_known_for_a_moment);
	return g_test_run();
}
