#include "decide/region_share.h"

#include <math.h>

#include "unit/test.h"

/* Three regions with the same demand, one of which has a tenth of the slots.
 * Every VM estimates the demand from its own callers alone. */
#define REGIONS 3
/* Of each region; RATE_PER_S and RATE_LOW_PER_S x VMs are the same. */
#define VMS 40
#define VMS_MAX 160
/* Of each region, in slots. */
#define MEAN_DEMAND 91.0
#define SMALL 1
/* Of one VM, as in a fleet of 140 VMs with 2,000 requests/s. */
#define RATE_PER_S 14.0
/* Of one VM, for one of several services. */
#define RATE_LOW_PER_S 3.5
#define STEP_MS 100
#define WINDOW_MS 2000
/* 0.15 of a region's requests may change region in 2 s. */
#define SHIFT_MAX 0.15
#define SHIFT_MAX_PER_S 0.045
#define WAVE_S 36.0

static const char *const names[REGIONS] = { "fyn", "als", "mon" };

struct window {
	double sent[REGIONS][REGIONS]; /* requests, by region from and to */
};

struct fleet {
	struct region_share shares[REGIONS][VMS_MAX];
	uint32_t slots[REGIONS];
	double swing;
	double refused;	  /* fraction of the requests in the small region */
	double elsewhere; /* in the current window, from the small region */
	double highest_elsewhere; /* fraction, since reset_measures() */
	uint32_t vms;		  /* of each region */
	double rate_per_s;	  /* of each VM */
	double fast_ms;		  /* so that the rate needs MEAN_DEMAND slots */
	int64_t now_ms;
	GRand *rand;
	struct window window;	/* current */
	struct window previous; /* of the 2 s before */
	uint32_t windows;
	/* since reset_measures() */
	double highest_utilization[REGIONS];
	double highest_away[REGIONS];
	double lowest_away[REGIONS];
	double largest_shift[REGIONS];
};

static uint32_t view_of(const struct fleet *fleet, uint32_t own,
			struct region_share_view *view,
			struct region_share_region *regions)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < REGIONS; i++) {
		if (i == own)
			continue;
		regions[count].name = names[i];
		regions[count].rtt_ms = 70;
		regions[count++].slots = fleet->slots[i];
	}
	memset(view, 0, sizeof(*view));
	view->local_slots = fleet->slots[own];
	view->regions = regions;
	view->region_count = count;
	view->region_vms = fleet->vms;
	view->shift_max_per_s = SHIFT_MAX_PER_S;
	return count;
}

static uint32_t index_of(const char *name)
{
	uint32_t i;

	for (i = 0; i < REGIONS; i++)
		if (!strcmp(names[i], name))
			return i;
	g_assert_not_reached();
}

static void send_request(struct fleet *fleet, uint32_t region, uint32_t vm)
{
	struct region_share *share = &fleet->shares[region][vm];
	const struct region_share_request request = {
		.route_key = 1,
		.target_ms = (uint32_t)(5 * fleet->fast_ms),
		.fast_ms = fleet->fast_ms,
	};
	struct region_share_region regions[REGIONS];
	struct region_share_view view;
	uint64_t object = g_rand_int(fleet->rand);
	uint32_t to = region;

	view_of(fleet, region, &view, regions);
	region_share_count_request(share, &view, &request, fleet->now_ms);
	if (region_share_is_remote(share, request.route_key, object))
		to = index_of(region_share_select(share, object, NULL, NULL));
	if (region == SMALL && to == SMALL &&
	    g_rand_double(fleet->rand) < fleet->refused) {
		region_share_record_refusal(share);
		if (region_share_admit_elsewhere(share, vm * 7919 + 1,
						 fleet->now_ms)) {
			to = g_rand_boolean(fleet->rand) ? 0 : 2;
			fleet->elsewhere++;
		}
	}
	fleet->window.sent[region][to]++;
}

static double sent_from(const struct window *window, uint32_t from)
{
	double sum = 0;
	uint32_t to;

	for (to = 0; to < REGIONS; to++)
		sum += window->sent[from][to];
	return fmax(sum, 1);
}

static void end_window(struct fleet *fleet)
{
	const struct window *window = &fleet->window;
	uint32_t from;
	uint32_t to;

	for (to = 0; to < REGIONS; to++) {
		double needed = 0;
		double away = 1 - window->sent[to][to] / sent_from(window, to);
		double shift = 0;
		uint32_t i;

		for (from = 0; from < REGIONS; from++)
			needed += window->sent[from][to] * fleet->fast_ms /
				  WINDOW_MS;
		for (i = 0; fleet->windows && i < REGIONS; i++)
			shift += fabs(window->sent[to][i] / sent_from(window, to) -
				      fleet->previous.sent[to][i] /
					      sent_from(&fleet->previous, to)) /
				 2;
		if (fleet->slots[to])
			fleet->highest_utilization[to] =
				fmax(fleet->highest_utilization[to],
				     needed / fleet->slots[to]);
		fleet->highest_away[to] = fmax(fleet->highest_away[to], away);
		fleet->lowest_away[to] = fmin(fleet->lowest_away[to], away);
		fleet->largest_shift[to] = fmax(fleet->largest_shift[to], shift);
		if (to == SMALL)
			g_test_message("t=%" G_GINT64_FORMAT
				       " away=%.2f needed=%.1f of %u",
				       fleet->now_ms, away, needed,
				       fleet->slots[to]);
	}
	fleet->highest_elsewhere =
		fmax(fleet->highest_elsewhere,
		     fleet->elsewhere / sent_from(window, SMALL));
	fleet->elsewhere = 0;
	fleet->previous = *window;
	fleet->windows++;
	memset(&fleet->window, 0, sizeof(fleet->window));
}

static void reset_measures(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < REGIONS; i++) {
		fleet->highest_utilization[i] = 0;
		fleet->highest_away[i] = 0;
		fleet->lowest_away[i] = 1;
		fleet->largest_shift[i] = 0;
	}
	fleet->highest_elsewhere = 0;
	fleet->windows = 0;
}

static void run_fleet(struct fleet *fleet, uint32_t seconds)
{
	int64_t end_ms = fleet->now_ms + (int64_t)seconds * 1000;
	uint32_t region;
	uint32_t vm;

	while (fleet->now_ms < end_ms) {
		for (region = 0; region < REGIONS; region++) {
			double phase = 2 * G_PI *
				       ((double)fleet->now_ms / 1000 / WAVE_S +
					(double)region / REGIONS);
			double rate = fleet->rate_per_s *
				      (1 + fleet->swing * sin(phase));

			for (vm = 0; vm < fleet->vms; vm++) {
				double odds = rate * STEP_MS / 1000;

				for (; odds > 0; odds -= 0.25)
					if (g_rand_double(fleet->rand) <
					    fmin(odds, 0.25))
						send_request(fleet, region, vm);
			}
		}
		fleet->now_ms += STEP_MS;
		if (!(fleet->now_ms % WINDOW_MS))
			end_window(fleet);
	}
}

static struct fleet *new_fleet(uint32_t seed, double rate_per_s)
{
	static const uint32_t slots[REGIONS] = { 360, 72, 300 };
	struct fleet *fleet = g_new0(struct fleet, 1);

	memcpy(fleet->slots, slots, sizeof(slots));
	fleet->rate_per_s = rate_per_s;
	fleet->vms = (uint32_t)(VMS * RATE_PER_S / rate_per_s);
	fleet->fast_ms = MEAN_DEMAND * 1000 / (fleet->vms * rate_per_s);
	fleet->now_ms = 1000000;
	fleet->rand = g_rand_new_with_seed(seed);
	reset_measures(fleet);
	return fleet;
}

static void free_fleet(struct fleet *fleet)
{
	g_rand_free(fleet->rand);
	g_free(fleet);
}

static void assert_shifts_stay_small(const struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < REGIONS; i++)
		g_assert_cmpfloat(fleet->largest_shift[i], <, SHIFT_MAX);
}

static void run_waves(uint32_t seed, double rate_per_s)
{
	struct fleet *fleet = new_fleet(seed, rate_per_s);
	uint32_t i;

	fleet->swing = 0.55;
	run_fleet(fleet, 72);
	reset_measures(fleet);
	run_fleet(fleet, 144);
	for (i = 0; i < REGIONS; i++) {
		g_test_message("seed=%u region=%s utilization=%.2f "
			       "away=%.2f..%.2f shift=%.3f",
			       seed, names[i], fleet->highest_utilization[i],
			       fleet->lowest_away[i], fleet->highest_away[i],
			       fleet->largest_shift[i]);
		g_assert_cmpfloat(fleet->highest_utilization[i], <, 0.9);
		if (i != SMALL)
			g_assert_cmpfloat(fleet->highest_away[i], ==, 0);
	}
	g_assert_cmpfloat(fleet->lowest_away[SMALL], >, 0.3);
	g_assert_cmpfloat(fleet->highest_away[SMALL], <, 0.75);
	g_assert_cmpfloat(fleet->highest_away[SMALL] - fleet->lowest_away[SMALL],
			  <, 0.2);
	assert_shifts_stay_small(fleet);
	free_fleet(fleet);
}

/* Load pattern: demand moves between the regions in waves of 36 s. The small
 * region is not to be overloaded at its peak, objects are not to change region
 * in each wave, and regions with room are not to send any away. */
static void waves_fill_no_region(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++)
		run_waves(seed, RATE_PER_S);
}

/* A VM that sees few requests must not take their number for exact. */
static void waves_seen_by_few_requests(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 5; seed++)
		run_waves(seed, RATE_LOW_PER_S);
}

/* From the first requests on: all VMs start at once, within a wave. */
static void start_keeps_the_bound_on_shifts(void)
{
	struct fleet *fleet = new_fleet(2, RATE_PER_S);

	fleet->swing = 0.55;
	run_fleet(fleet, 36);
	assert_shifts_stay_small(fleet);
	g_assert_cmpfloat(fleet->highest_away[0], ==, 0);
	g_assert_cmpfloat(fleet->highest_away[2], ==, 0);
	free_fleet(fleet);
}

/* Without waves: what exceeds 0.75 of the slots leaves, and no more. */
static void steady_demand_uses_the_region_to_its_target(void)
{
	struct fleet *fleet = new_fleet(3, RATE_PER_S);

	run_fleet(fleet, 60);
	reset_measures(fleet);
	run_fleet(fleet, 60);
	g_assert_cmpfloat(fleet->highest_away[SMALL], <, 0.55);
	g_assert_cmpfloat(fleet->lowest_away[SMALL], >, 0.3);
	g_assert_cmpfloat(fleet->highest_utilization[SMALL], <, 0.9);
	free_fleet(fleet);
}

/* Load pattern: half of the small region is evacuated. What it cannot serve is
 * to leave at once, and to come back within the bound on shifts. */
static void evacuation_moves_objects_at_once_and_back_slowly(void)
{
	struct fleet *fleet = new_fleet(4, RATE_PER_S);
	double before;

	run_fleet(fleet, 60);
	before = region_share_total(&fleet->shares[SMALL][0]);
	fleet->slots[SMALL] = 36;
	run_fleet(fleet, 2);
	reset_measures(fleet);
	run_fleet(fleet, 20);
	g_assert_cmpfloat(fleet->lowest_away[SMALL], >, before + 0.1);
	g_assert_cmpfloat(fleet->highest_utilization[SMALL], <, 0.9);
	fleet->slots[SMALL] = 72;
	reset_measures(fleet);
	run_fleet(fleet, 60);
	assert_shifts_stay_small(fleet);
	reset_measures(fleet);
	run_fleet(fleet, 30);
	g_assert_cmpfloat(fleet->highest_away[SMALL], <, before + 0.1);
	free_fleet(fleet);
}

/* A region without servers of the service keeps nothing, large bodies and
 * routes without room for the crossing included; with servers again, all
 * objects come back within the bound on shifts and a minute. */
static void run_loss_and_return(double swing, double rate_per_s)
{
	struct fleet *fleet = new_fleet(5, rate_per_s);

	fleet->swing = swing;
	run_fleet(fleet, 20);
	fleet->slots[0] = 0;
	run_fleet(fleet, 2);
	reset_measures(fleet);
	run_fleet(fleet, 10);
	g_assert_cmpfloat(fleet->lowest_away[0], ==, 1);
	fleet->slots[0] = 360;
	reset_measures(fleet);
	run_fleet(fleet, 60);
	assert_shifts_stay_small(fleet);
	reset_measures(fleet);
	run_fleet(fleet, 30);
	g_assert_cmpfloat(fleet->highest_away[0], ==, 0);
	free_fleet(fleet);
}

static void region_without_servers_sends_all_away(void)
{
	run_loss_and_return(0, RATE_PER_S);
	run_loss_and_return(0.55, RATE_PER_S);
	run_loss_and_return(0.55, RATE_LOW_PER_S);
}

static void run_refusals(uint32_t seed, double swing, double rate_per_s)
{
	struct fleet *fleet = new_fleet(seed, rate_per_s);
	double before;

	fleet->swing = swing;
	run_fleet(fleet, 108);
	reset_measures(fleet);
	run_fleet(fleet, 36);
	before = fleet->lowest_away[SMALL];
	reset_measures(fleet);
	fleet->refused = 0.3;
	run_fleet(fleet, 36);
	g_test_message("seed=%u before=%.2f away=%.2f..%.2f elsewhere=%.3f "
		       "shift=%.3f",
		       seed, before, fleet->lowest_away[SMALL],
		       fleet->highest_away[SMALL], fleet->highest_elsewhere,
		       fleet->largest_shift[SMALL]);
	assert_shifts_stay_small(fleet);
	g_assert_cmpfloat(fleet->highest_elsewhere, >, 0.01);
	g_assert_cmpfloat(fleet->highest_elsewhere, <, 0.05);
	g_assert_cmpfloat(fleet->highest_away[SMALL], >, before + 0.1);
	fleet->refused = 0;
	run_fleet(fleet, 180);
	assert_shifts_stay_small(fleet);
	reset_measures(fleet);
	run_fleet(fleet, 36);
	g_test_message("after: away=%.2f..%.2f", fleet->lowest_away[SMALL],
		       fleet->highest_away[SMALL]);
	g_assert_cmpfloat(fleet->lowest_away[SMALL], <, before + 0.1);
	g_assert_cmpfloat(fleet->highest_away[0], ==, 0);
	g_assert_cmpfloat(fleet->highest_away[2], ==, 0);
	free_fleet(fleet);
}

/* Load pattern: servers of the small region slow down from one moment to the
 * next, and it refuses 0.3 of its requests. More objects leave, and some of the
 * refused requests go on at once; together they are within the bound on shifts.
 * The objects return within three minutes after the refusals end. */
static void refusals_raise_the_share_within_the_bound(void)
{
	uint32_t seed;

	for (seed = 1; seed <= 3; seed++) {
		run_refusals(seed, 0, RATE_PER_S);
		run_refusals(seed, 0.55, RATE_PER_S);
		run_refusals(seed, 0.55, RATE_LOW_PER_S);
	}
}

/* Requests go to the region that is left when another is lost. */
static void lost_region_gets_nothing(void)
{
	struct fleet *fleet = new_fleet(6, RATE_PER_S);

	run_fleet(fleet, 20);
	fleet->slots[0] = 0;
	run_fleet(fleet, 4);
	g_assert_cmpfloat(fleet->previous.sent[SMALL][0], ==, 0);
	g_assert_cmpfloat(fleet->previous.sent[SMALL][2], >, 0);
	free_fleet(fleet);
}

/* Load pattern: more demand than slots everywhere. Nothing is gained by sending
 * requests to regions that are as full. */
static void equally_full_regions_keep_their_requests(void)
{
	struct fleet *fleet = new_fleet(7, RATE_PER_S);
	uint32_t i;

	for (i = 0; i < REGIONS; i++)
		fleet->slots[i] = 60;
	run_fleet(fleet, 30);
	for (i = 0; i < REGIONS; i++)
		g_assert_cmpfloat(fleet->highest_away[i], <, 0.1);
	free_fleet(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("region_waves", waves_fill_no_region);
	ADD_TEST("region_waves", waves_seen_by_few_requests);
	ADD_TEST("region_waves", start_keeps_the_bound_on_shifts);
	ADD_TEST("region_waves", steady_demand_uses_the_region_to_its_target);
	ADD_TEST("region_waves",
		 evacuation_moves_objects_at_once_and_back_slowly);
	ADD_TEST("region_waves", region_without_servers_sends_all_away);
	ADD_TEST("region_waves", refusals_raise_the_share_within_the_bound);
	ADD_TEST("region_waves", lost_region_gets_nothing);
	ADD_TEST("region_waves", equally_full_regions_keep_their_requests);
	return g_test_run();
}
