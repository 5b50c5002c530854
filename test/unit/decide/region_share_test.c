#include "decide/region_share.h"
#include "unit/test.h"

#define VMS 40
#define RATE_PER_S 14.0
/* 40 VMs x 14 requests/s x 162.5 ms need 91 slots. */
#define FAST_MS 162.5
/* 0.15 of a region's requests may change region in 2 s. */
#define SHIFT_MAX 0.15
#define SHIFT_MAX_PER_S 0.045

static const char *const names[] = { "fyn", "als", "mon" };

struct one_vm {
	struct region_share share;
	struct region_share_region regions[2];
	struct region_share_view view;
	int64_t now_ms;
};

static struct one_vm *new_vm(uint32_t local_slots)
{
	struct one_vm *vm = g_new0(struct one_vm, 1);

	vm->regions[0].name = names[0];
	vm->regions[0].slots = 360;
	vm->regions[1].name = names[2];
	vm->regions[1].slots = 300;
	vm->view.local_slots = local_slots;
	vm->view.regions = vm->regions;
	vm->view.region_count = 2;
	vm->view.region_vms = VMS;
	vm->view.shift_max_per_s = SHIFT_MAX_PER_S;
	vm->now_ms = 1000000;
	return vm;
}

/* Route 1 has the most room for the crossing, route 2 some, route 3 none; route
 * 4 has room and large bodies. Each needs a quarter of the demand. */
static const struct region_share_request kinds[] = {
	{ .route_key = 1, .target_ms = 3000, .fast_ms = FAST_MS },
	{ .route_key = 2, .target_ms = 500, .fast_ms = FAST_MS },
	{ .route_key = 3, .target_ms = 230, .fast_ms = FAST_MS },
	{ .route_key = 4, .target_ms = 3000, .fast_ms = FAST_MS, .large = true },
};

static void send_kinds(struct one_vm *vm, uint32_t seconds)
{
	int64_t end_ms = vm->now_ms + (int64_t)seconds * 1000;
	uint32_t i;

	while (vm->now_ms < end_ms)
		for (i = 0; i < ARRAY_SIZE(kinds); i++) {
			region_share_count_request(&vm->share, &vm->view,
						   &kinds[i], vm->now_ms);
			vm->now_ms += (int64_t)(1000 / RATE_PER_S);
		}
}

static double share_of(const struct one_vm *vm, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < vm->share.route_count; i++)
		if (vm->share.routes[i].key == key)
			return vm->share.routes[i].share;
	return -1;
}

/* A crossing makes responses of a route without room late, and large bodies
 * cost the link between regions: these stay as long as others can leave. */
static void routes_leave_in_order_of_their_room(void)
{
	struct one_vm *vm = new_vm(98);

	/* 0.75 x 98 slots are 0.8 of the demand */
	send_kinds(vm, 120);
	g_assert_cmpfloat(share_of(vm, 1), >, 0.4);
	g_assert_cmpfloat(share_of(vm, 1), <, 1);
	g_assert_cmpfloat(share_of(vm, 2), ==, 0);
	vm->view.local_slots = 72;
	send_kinds(vm, 120);
	g_assert_cmpfloat(share_of(vm, 1), >, 0.95);
	g_assert_cmpfloat(share_of(vm, 2), >, 0.3);
	g_assert_cmpfloat(share_of(vm, 3), ==, 0);
	vm->view.local_slots = 36;
	send_kinds(vm, 120);
	g_assert_cmpfloat(share_of(vm, 3), >, 0.3);
	g_assert_cmpfloat(share_of(vm, 4), ==, 0);
	vm->view.local_slots = 0;
	send_kinds(vm, 1);
	g_assert_cmpfloat(share_of(vm, 4), ==, 1);
	g_free(vm);
}

/* Objects that leave at a share leave at any larger one, for the same region
 * unless the weights change. */
static void same_objects_leave_to_the_same_region(void)
{
	struct one_vm *vm = new_vm(72);
	const char *before[1000];
	uint32_t changed = 0;
	uint32_t i;

	send_kinds(vm, 60);
	for (i = 0; i < ARRAY_SIZE(before); i++)
		before[i] =
			region_share_is_remote(&vm->share, 2, i)
				? region_share_select(&vm->share, i, NULL, NULL)
				: NULL;
	vm->view.local_slots = 54;
	send_kinds(vm, 60);
	for (i = 0; i < ARRAY_SIZE(before); i++) {
		if (!before[i])
			continue;
		g_assert_true(region_share_is_remote(&vm->share, 2, i));
		changed += before[i] !=
			   region_share_select(&vm->share, i, NULL, NULL);
	}
	g_assert_cmpuint(changed, <, 100);
	g_free(vm);
}

/* Load pattern: a region has much more demand than is assumed of it, and
 * refuses what others send. They must send it less, and more again later. */
static void refusals_push_objects_to_other_regions(void)
{
	struct one_vm *vm = new_vm(72);
	double before;
	uint32_t i;

	send_kinds(vm, 60);
	before = vm->share.peers[0].weight;
	for (i = 0; i < 30; i++) {
		uint32_t k;

		for (k = 0; k < 5; k++)
			region_share_record_end(&vm->share, names[0],
						REGION_SHARE_REFUSED, vm->now_ms);
		send_kinds(vm, 1);
	}
	g_assert_cmpfloat(vm->share.peers[0].weight, <, before / 2);
	send_kinds(vm, 120);
	g_assert_cmpfloat(vm->share.peers[0].weight, >, before * 0.9);
	g_free(vm);
}

/* If all regions refuse, the objects stay. */
static void refusals_everywhere_lower_the_share(void)
{
	struct one_vm *vm = new_vm(36);
	double before;
	uint32_t i;

	send_kinds(vm, 60);
	before = region_share_total(&vm->share);
	for (i = 0; i < 60; i++) {
		uint32_t k;

		for (k = 0; k < 10; k++)
			region_share_record_end(&vm->share, names[k % 2 ? 0 : 2],
						REGION_SHARE_REFUSED, vm->now_ms);
		send_kinds(vm, 1);
	}
	g_assert_cmpfloat(region_share_total(&vm->share), <, before - 0.2);
	g_free(vm);
}

/* Load pattern: servers limit the requests that they take. The share must rise,
 * but no faster than the shift may be: the servers are not lost. */
static void limits_of_servers_raise_the_share_slowly(void)
{
	struct one_vm *vm = new_vm(144);
	double before;

	send_kinds(vm, 60);
	before = region_share_total(&vm->share);
	vm->view.local_unused_slots = 90;
	send_kinds(vm, 2);
	g_assert_cmpfloat(region_share_total(&vm->share), >, before);
	g_assert_cmpfloat(region_share_total(&vm->share), <, before + SHIFT_MAX);
	send_kinds(vm, 30);
	g_assert_cmpfloat(region_share_total(&vm->share), >, before + 0.2);
	g_free(vm);
}

/* @return the largest number of requests that went on in any 2 s. */
static uint32_t most_admitted(struct one_vm *vm, uint32_t seconds)
{
	/* 200 requests/s have 5 ms between them */
	static uint32_t admitted[100000];
	const uint32_t per_2_s = 400;
	const uint32_t count = seconds * per_2_s / 2;
	uint32_t most = 0;
	uint32_t sum = 0;
	uint32_t i;

	g_assert_cmpuint(count, <=, ARRAY_SIZE(admitted));
	for (i = 0; i < count; i++) {
		region_share_count_request(&vm->share, &vm->view, &kinds[0],
					   vm->now_ms);
		admitted[i] =
			region_share_admit_elsewhere(&vm->share, 1, vm->now_ms);
		vm->now_ms += 5;
		sum += admitted[i];
		if (i >= per_2_s)
			sum -= admitted[i - per_2_s];
		most = MAX(most, sum);
	}
	return most;
}

/* A budget saved up in quiet times was spent within one window, which moved
 * more requests than the bound on shifts allows. */
static void requests_that_go_on_elsewhere_are_bounded(void)
{
	struct one_vm *vm = new_vm(72);
	uint32_t most;

	/* from the first request on, when the rate is not known */
	most = most_admitted(vm, 60);
	g_assert_cmpuint(most, <=, 400 * 5 / 100 + 2);
	g_assert_cmpuint(most, >=, 10);
	/* after a time without refusals */
	while (vm->now_ms % 60000) {
		region_share_count_request(&vm->share, &vm->view, &kinds[0],
					   vm->now_ms);
		vm->now_ms += 5;
	}
	g_assert_cmpuint(most_admitted(vm, 10), <=, 400 * 5 / 100 + 2);
	g_free(vm);
}

/* VMs that see few requests, which each have one refused at the same moment,
 * would exceed the bound together if each could send one on. */
static void vms_with_few_requests_take_turns(void)
{
	struct one_vm *vm = new_vm(72);
	uint32_t admitted = 0;
	uint32_t i;

	/* 28 requests in 2 s allow 0.7 */
	send_kinds(vm, 60);
	for (i = 0; i < 1000; i++) {
		struct region_share share = vm->share;

		admitted += region_share_admit_elsewhere(&share, i * 7919,
							 vm->now_ms);
	}
	g_assert_cmpuint(admitted, >, 600);
	g_assert_cmpuint(admitted, <, 800);
	g_free(vm);
}

/* Load pattern: servers are slow, so that the demand needs more slots than the
 * service time says, and the region refuses. */
static void refusals_of_the_region_raise_its_demand(void)
{
	struct one_vm *vm = new_vm(144);
	uint32_t i;

	send_kinds(vm, 60);
	g_assert_cmpfloat(vm->share.pressure, ==, 1);
	g_assert_cmpfloat(region_share_total(&vm->share), ==, 0);
	for (i = 0; i < 20; i++) {
		region_share_record_refusal(&vm->share);
		send_kinds(vm, 1);
	}
	g_assert_cmpfloat(vm->share.pressure, ==, 2);
	g_assert_cmpfloat(region_share_total(&vm->share), >, 0.1);
	/* without refusals, the demand is soon what it was */
	send_kinds(vm, 60);
	g_assert_cmpfloat(vm->share.pressure, ==, 1);
	/* and the objects return when its peak is forgotten */
	send_kinds(vm, 180);
	g_assert_cmpfloat(region_share_total(&vm->share), ==, 0);
	g_free(vm);
}

/* One refusal among many requests says nothing about the region. */
static void rare_refusals_change_nothing(void)
{
	struct one_vm *vm = new_vm(144);
	uint32_t i;

	send_kinds(vm, 60);
	for (i = 0; i < 10; i++) {
		region_share_record_refusal(&vm->share);
		send_kinds(vm, 20);
		g_assert_cmpfloat(vm->share.pressure, ==, 1);
	}
	g_assert_cmpfloat(region_share_total(&vm->share), ==, 0);
	g_free(vm);
}

static bool is_mon(const char *region, const void *context)
{
	(void)context;
	return !strcmp(region, "mon");
}

/* Requests with home regions run in no other. */
static void only_allowed_regions_are_selected(void)
{
	struct one_vm *vm = new_vm(72);
	uint32_t i;

	region_share_list_regions(&vm->share, &vm->view);
	for (i = 0; i < 100; i++)
		g_assert_cmpstr(region_share_select(&vm->share, i, is_mon, NULL),
				==, "mon");
	vm->regions[1].slots = 0;
	region_share_list_regions(&vm->share, &vm->view);
	g_assert_null(region_share_select(&vm->share, 1, is_mon, NULL));
	g_free(vm);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("region_share", routes_leave_in_order_of_their_room);
	ADD_TEST("region_share", same_objects_leave_to_the_same_region);
	ADD_TEST("region_share", refusals_push_objects_to_other_regions);
	ADD_TEST("region_share", refusals_everywhere_lower_the_share);
	ADD_TEST("region_share", limits_of_servers_raise_the_share_slowly);
	ADD_TEST("region_share", requests_that_go_on_elsewhere_are_bounded);
	ADD_TEST("region_share", vms_with_few_requests_take_turns);
	ADD_TEST("region_share", refusals_of_the_region_raise_its_demand);
	ADD_TEST("region_share", rare_refusals_change_nothing);
	ADD_TEST("region_share", only_allowed_regions_are_selected);
	return g_test_run();
}
