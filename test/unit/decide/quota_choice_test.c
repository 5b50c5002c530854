#include "decide/quota_choice.h"
#include "decide/quota_share.h"
#include "unit/test.h"

/* Guards against VMs that report to different coordinators though their lists
 * agree, against a coordinator on a VM with little processor share, and against
 * VMs that always admit or always refuse. */

#define VMS 20

static struct quota_candidate vms[VMS];

static void make_vms(void)
{
	uint32_t i;

	memset(vms, 0, sizeof(vms));
	for (i = 0; i < VMS; i++) {
		vms[i].hash = 1000 + i * 7919;
		vms[i].weight = i < 3 ? 500 : 70;
		vms[i].takes_part = i != 0;
	}
}

static void order_of_the_list_does_not_matter(void)
{
	struct quota_candidate swapped;
	uint64_t chosen;

	make_vms();
	chosen = vms[quota_choose(vms, VMS).index].hash;
	swapped = vms[1];
	vms[1] = vms[VMS - 1];
	vms[VMS - 1] = swapped;
	g_assert_cmpuint(vms[quota_choose(vms, VMS).index].hash, ==, chosen);
}

static void heavy_vms_that_take_part_come_first(void)
{
	struct quota_choice choice;
	uint32_t first;

	make_vms();
	choice = quota_choose(vms, VMS);
	first = choice.index;
	g_assert_true(first == 1 || first == 2);
	g_assert_false(choice.displaced);
	vms[first].excluded = true;
	choice = quota_choose(vms, VMS);
	g_assert_cmpuint(choice.index, ==, 3 - first);
	g_assert_true(choice.displaced);
	vms[choice.index].takes_part = false;
	choice = quota_choose(vms, VMS);
	g_assert_cmpuint(choice.index, >=, 3);
}

static void no_vm_may_take_part(void)
{
	uint32_t i;

	make_vms();
	for (i = 0; i < VMS; i++)
		vms[i].takes_part = false;
	g_assert_cmpuint(quota_choose(vms, VMS).index, ==, QUOTA_CHOICE_NONE);
	g_assert_cmpuint(quota_choose(vms, 0).index, ==, QUOTA_CHOICE_NONE);
}

/* All others exclude the only VM that takes part: it is still asked. */
static void only_vm_is_asked_again(void)
{
	uint32_t i;

	make_vms();
	for (i = 0; i < VMS; i++)
		vms[i].takes_part = i == 5;
	vms[5].excluded = true;
	g_assert_cmpuint(quota_choose(vms, VMS).index, ==, 5);
	g_assert_false(quota_choose(vms, VMS).displaced);
}

/* Load pattern: each of many VMs has one request in the time of a reply. */
static void single_requests_get_their_fraction(void)
{
	const struct quota_rule rule = { 100, 100 };
	const struct quota_view view = { 140, true };
	const struct quota_grant grant = { 0.3, 0.01, true, false };
	uint32_t admitted = 0;
	uint32_t i;

	for (i = 0; i < 140; i++) {
		struct quota_share share;

		quota_share_init(&share, &rule, (i * 37 % 140) / 140.0);
		quota_share_reply(&share, &grant, 1000);
		admitted += !quota_share_admit(&share, &view, 1001);
	}
	g_assert_cmpuint(admitted, >=, 40);
	g_assert_cmpuint(admitted, <=, 44);
}

static void fraction_is_spread_evenly(void)
{
	const struct quota_rule rule = { 100, 100 };
	const struct quota_view view = { 140, true };
	const struct quota_grant grant = { 0.25, 0.01, true, false };
	struct quota_share share;
	uint32_t in_a_row = 0;
	uint32_t admitted = 0;
	uint32_t i;

	quota_share_init(&share, &rule, 0.5);
	quota_share_reply(&share, &grant, 1000);
	for (i = 0; i < 100; i++) {
		uint32_t wait_ms = quota_share_admit(&share, &view, 1001);

		in_a_row = wait_ms ? in_a_row + 1 : 0;
		admitted += !wait_ms;
		g_assert_cmpuint(in_a_row, <, 4);
		if (wait_ms)
			g_assert_cmpuint(wait_ms, >=, 1000);
	}
	g_assert_cmpuint(admitted, ==, 25);
}

/* @return requests admitted between the times, at 100 a second. */
static uint32_t admit_between(struct quota_share *share, int64_t from_ms,
			      int64_t to_ms)
{
	const struct quota_view view = { 10, true };
	uint32_t admitted = 0;
	int64_t now_ms;

	for (now_ms = from_ms; now_ms < to_ms; now_ms += 10)
		admitted += !quota_share_admit(share, &view, now_ms);
	return admitted;
}

static void lost_coordinator_leaves_a_share(void)
{
	const struct quota_rule rule = { 100, 100 };
	const struct quota_grant grant = { 1, 0.2, false, false };
	struct quota_share share;

	quota_share_init(&share, &rule, 0);
	quota_share_reply(&share, &grant, 1000);
	g_assert_cmpuint(admit_between(&share, 1010, 1500), ==, 49);
	quota_share_fail(&share);
	quota_share_fail(&share);
	/* its share of 20 a second, to the end of the lease */
	g_assert_cmpuint(admit_between(&share, 2000, 4000), <=, 43);
	g_assert_cmpuint(admit_between(&share, 4010, 14000), <=, 53);
	g_assert_cmpuint(admit_between(&share, 14000, 24000), >=, 48);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("quota_choice", order_of_the_list_does_not_matter);
	ADD_TEST("quota_choice", heavy_vms_that_take_part_come_first);
	ADD_TEST("quota_choice", no_vm_may_take_part);
	ADD_TEST("quota_choice", only_vm_is_asked_again);
	ADD_TEST("quota_share", single_requests_get_their_fraction);
	ADD_TEST("quota_share", fraction_is_spread_evenly);
	ADD_TEST("quota_share", lost_coordinator_leaves_a_share);
	return g_test_run();
}
