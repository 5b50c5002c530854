#include "decide/naming.h"

#include "unit/test.h"

static void check(uint32_t region, uint32_t region_sound, uint32_t all,
		  uint32_t all_sound, uint32_t others_max, bool cut_off)
{
	const struct naming_counts counts = { region, region_sound, all,
					      all_sound };
	const struct naming naming = naming_choose(&counts);

	g_assert_cmpuint(naming.others_max, ==, others_max);
	g_assert_true(naming.cut_off == cut_off);
}

static void region_is_named_while_all_is_well(void)
{
	check(11, 11, 26, 26, 0, false);
}

static void all_are_named_to_a_region_without_vms(void)
{
	check(0, 0, 26, 26, 26, false);
}

static void cut_off_vms_are_left_out(void)
{
	check(11, 6, 26, 20, 0, false);
	check(2, 1, 26, 20, 0, false);
}

/* Load pattern: seven of nine VMs of a region are cut off, and its callers
 * would overwhelm the other two. One VM more or less must not move many callers
 * between regions. */
static void other_regions_help_out(void)
{
	check(9, 2, 26, 19, 3, false);
	check(9, 0, 26, 17, 26, false);
	check(11, 5, 26, 20, 1, false);
}

static void all_are_named_if_all_are_cut_off(void)
{
	check(11, 0, 26, 0, 0, true);
	check(0, 0, 26, 0, 26, true);
	check(0, 0, 0, 0, 0, true);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("naming", region_is_named_while_all_is_well);
	ADD_TEST("naming", all_are_named_to_a_region_without_vms);
	ADD_TEST("naming", cut_off_vms_are_left_out);
	ADD_TEST("naming", other_regions_help_out);
	ADD_TEST("naming", all_are_named_if_all_are_cut_off);
	return g_test_run();
}
