#include "decide/cold_share.h"
#include "unit/test.h"

#define VMS_MAX 530
/* 5.7 requests per second, times 1.5, plus 5. */
#define LIMIT_PER_S 13.55

static struct sender_vm vms[VMS_MAX];

static void make_fleet(uint32_t count, uint32_t local_count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		vms[i].hash = 31 + i * 7919;
		vms[i].local = i < local_count;
	}
}

static uint32_t interval_ms(uint32_t count, uint32_t self, uint64_t server,
			    double limit_per_s)
{
	struct sender_rank rank = sender_rank_compute(vms, count, self, server);

	return cold_share_min_interval_ms(&rank, limit_per_s);
}

/* @return the largest number of requests that the fleet may send to a server in
 * one second.
 *
 * Load pattern: the servers of a failure domain restart together, and every
 * entry VM has requests for them. */
static uint32_t max_requests_per_s(uint32_t count, uint64_t server)
{
	uint32_t max_requests = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		uint32_t gap_ms = interval_ms(count, i, server, LIMIT_PER_S);

		if (gap_ms)
			max_requests += (1000 + gap_ms - 1) / gap_ms;
	}
	return max_requests;
}

static void fleet_stays_under_the_limit(void)
{
	static const uint32_t sizes[] = { 1, 2, 5, 8, 22, 26, 145, 530 };
	uint64_t server;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(sizes); i++) {
		make_fleet(sizes[i], sizes[i] / 3);
		for (server = 1; server < 50; server++) {
			uint32_t max_requests =
				max_requests_per_s(sizes[i], server);

			g_assert_cmpuint(max_requests, >, 0);
			g_assert_cmpuint(max_requests, <=, (uint32_t)LIMIT_PER_S);
		}
	}
}

static void prefers_vms_of_the_region(void)
{
	uint32_t i;

	make_fleet(26, 9);
	for (i = 9; i < 26; i++)
		g_assert_cmpuint(interval_ms(26, i, 5, LIMIT_PER_S), ==, 0);
}

static void tiny_limit_allows_no_requests(void)
{
	make_fleet(3, 3);
	g_assert_cmpuint(interval_ms(3, 0, 5, 1), ==, 0);
}

/* @return the largest number of requests that arrive in one second, if VMs send
 * as often as they may from random times on, and requests are up to 20 ms on
 * their way. */
static uint32_t most_in_a_second(uint32_t gap_ms, uint32_t vm_count)
{
	static uint32_t arrivals[20000];
	GRand *rand = g_rand_new_with_seed(3);
	uint32_t most = 0;
	uint32_t sum = 0;
	uint32_t i;

	memset(arrivals, 0, sizeof(arrivals));
	for (i = 0; i < vm_count; i++) {
		uint32_t at_ms = g_rand_int_range(rand, 0, 1000);

		for (; at_ms < 19000; at_ms += gap_ms)
			arrivals[at_ms + g_rand_int_range(rand, 0, 20)]++;
	}
	for (i = 0; i < ARRAY_SIZE(arrivals); i++) {
		sum += arrivals[i];
		if (i >= 1000)
			sum -= arrivals[i - 1000];
		most = MAX(most, sum);
	}
	g_rand_free(rand);
	return most;
}

/* Load pattern: all requests for a cold server pass through the VM that is
 * assigned to it; while the lists of VMs change, two take themselves for it. */
static void two_assigned_vms_stay_under_the_limit(void)
{
	static const double limits[] = { 2, 5, 6.5, LIMIT_PER_S, 40, 200 };
	const struct sender_rank assigned = { .kind = SENDER_ASSIGNED };
	const struct sender_rank none = { .kind = SENDER_NONE };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(limits); i++) {
		uint32_t gap_ms =
			cold_share_min_interval_ms(&assigned, limits[i]);
		uint32_t one = most_in_a_second(gap_ms, 1);
		uint32_t two = most_in_a_second(gap_ms, 2);

		g_test_message("limit=%g gap_ms=%u one=%u two=%u", limits[i],
			       gap_ms, one, two);
		g_assert_cmpuint(gap_ms, >, 0);
		g_assert_cmpfloat(two, <=, limits[i]);
		g_assert_cmpfloat(one, >=, 0.35 * limits[i]);
		g_assert_cmpuint(cold_share_min_interval_ms(&none, limits[i]),
				 ==, 0);
	}
	g_assert_cmpuint(cold_share_min_interval_ms(&assigned, 1), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("cold_share", fleet_stays_under_the_limit);
	ADD_TEST("cold_share", prefers_vms_of_the_region);
	ADD_TEST("cold_share", tiny_limit_allows_no_requests);
	ADD_TEST("cold_share", two_assigned_vms_stay_under_the_limit);
	return g_test_run();
}
