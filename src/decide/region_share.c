#include "decide/region_share.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "decide/region_share_internal.h"

/* Time constant of the averages of request rates. */
#define RATE_TIME_CONSTANT_MS 5000.0
/* Time constant of the usual demand, longer than a wave of 36 s. */
#define USUAL_TIME_CONSTANT_MS 40000.0
/* Length of the periods of which the peak is known: one wave. Shares fall only
 * to what the peak of the current and the previous period needs. */
#define PEAK_PERIOD_MS 36000
/* Observation time before the estimated demand is used. */
#define SETTLE_MS 2000
/* Shares fall this much slower than they rise. An object that returns finds its
 * server without it, and a crossing costs less than a queue at the next wave. */
#define FALL_FRACTION 0.1
/* If the peak demand would use less of the slots than this, with all objects in
 * the region, it has plenty of room. Without refusals, shares then fall as fast
 * as they rise. */
#define UTILIZATION_LOW 0.55
/* Decayed number of refusals that counts as none: one, six seconds ago. */
#define REFUSED_NONE 0.3
/* Utilization of all slots that is assumed before the demand is known. */
#define UTILIZATION_ASSUMED 0.5
/* Round trip to another region before it is measured. */
#define RTT_ASSUMED_MS 70
/* Slack before the target latency that a crossing needs, in round trips. */
#define CROSSING_FACTOR 1.3
/* Largest relative error that the estimate of the demand is assumed to have. */
#define ERROR_MAX 0.5
/* A route's place in the order changes only if its room has passed the edge of
 * its class by this fraction of a class. */
#define ORDER_HYSTERESIS 0.25
/* Number of classes by room, each twice as much room as the next. */
#define ROOM_CLASSES 8
/* Fractions of the requests that are refused at which the demand is taken for
 * higher than estimated, and as it is estimated. */
#define REFUSED_HIGH 0.03
#define REFUSED_LOW 0.01
#define PRESSURE_RISE_PER_S 0.2
#define PRESSURE_FALL_PER_S 0.03
#define PRESSURE_MAX 2.0
/* Fraction of the requests of two seconds that may go on to another region after
 * a refusal. Any two seconds overlap two windows, so that it is at most 0.05 of
 * their requests: with the shares' 0.09, less than the limit of 0.15. */
#define ELSEWHERE_SHARE 0.025
#define ELSEWHERE_WINDOW_MS 2000
/* Fraction of requests that leave below which the weights move no faster. */
#define LEAVING_MIN 0.5
/* Makes the hash independent of those that rank servers and VMs. */
#define OBJECT_SEED 0x5b111
#define ELSEWHERE_SEED 0x5b113

/* Routes beyond the limit count as the last one. */
static uint32_t find_route(const struct region_share *share, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < share->route_count; i++)
		if (share->routes[i].key == key)
			return i;
	return i < REGION_SHARE_ROUTES_MAX ? i : i - 1;
}

static struct region_share_route *get_route(struct region_share *share,
					    uint64_t key)
{
	uint32_t i = find_route(share, key);

	if (i == share->route_count)
		share->routes[share->route_count++].key = key;
	return &share->routes[i];
}

static double known_rtt_ms(const struct region_share_view *view)
{
	double rtt_ms = 0;
	uint32_t i;

	/* no fmax(): GCC 12 for arm64 fails on that loop at -O3 */
	for (i = 0; i < view->region_count; i++)
		if (view->regions[i].rtt_ms > rtt_ms)
			rtt_ms = view->regions[i].rtt_ms;
	return rtt_ms > 0 ? rtt_ms : RTT_ASSUMED_MS;
}

/* Routes that have room for the crossing leave first, those with the most room
 * before others; then routes without room; then large bodies. Routes of about
 * the same room have the same place, because VMs measure different service
 * times and should send the same objects away. */
static uint32_t order_of(const struct region_share_route *route,
			 const struct region_share_request *request,
			 const struct region_share_view *view)
{
	const bool was_tight = route->order == ROOM_CLASSES;
	double fast_ms = fmax(route->fast_ms, 1);
	double crossing_ms = CROSSING_FACTOR * known_rtt_ms(view) *
			     (was_tight ? 1 + ORDER_HYSTERESIS : 1);
	bool fits = request->target_ms - fast_ms >= crossing_ms;
	double room = region_share_clamp(ROOM_CLASSES - log2(request->target_ms /
							     fast_ms),
					 0, ROOM_CLASSES - 1);

	if (request->large)
		return ROOM_CLASSES + 1;
	if (!fits)
		return ROOM_CLASSES;
	if (route->order < ROOM_CLASSES && route->count > 1 &&
	    room > route->order - ORDER_HYSTERESIS &&
	    room < route->order + 1 + ORDER_HYSTERESIS)
		return route->order;
	return (uint32_t)room;
}

static bool is_settled(const struct region_share *share, int64_t now_ms)
{
	uint32_t i;

	if (now_ms - share->began_ms < SETTLE_MS)
		return false;
	for (i = 0; i < share->route_count; i++)
		if (share->routes[i].fast_ms > 0)
			return true;
	return false;
}

static double route_rate(const struct region_share *share,
			 const struct region_share_route *route)
{
	return route->count * MS_PER_S / (share->weighted_ms + 1);
}

static double count_sum(const struct region_share *share)
{
	double count = 0;
	uint32_t i;

	for (i = 0; i < share->route_count; i++)
		count += share->routes[i].count;
	return fmax(count, 1e-9);
}

/* The region's demand of a route, in slots. */
static double route_demand(const struct region_share *share,
			   const struct region_share_view *view,
			   const struct region_share_route *route)
{
	return route_rate(share, route) * view->region_vms * route->fast_ms /
	       MS_PER_S;
}

/* The relative error of the demand: the number of requests that the averages
 * are made of varies by its square root. */
static double demand_error(const struct region_share *share)
{
	double count = 0;
	uint32_t i;

	for (i = 0; i < share->route_count; i++)
		count += share->routes[i].count;
	return fmin(1 / sqrt(2 * count + 1), ERROR_MAX);
}

static void count_request(struct region_share *share,
			  const struct region_share_view *view,
			  const struct region_share_request *request,
			  double elapsed_ms)
{
	double decay = exp(-elapsed_ms / RATE_TIME_CONSTANT_MS);
	struct region_share_route *route = get_route(share, request->route_key);
	uint32_t i;

	for (i = 0; i < share->route_count; i++)
		share->routes[i].count *= decay;
	share->refused *= decay;
	share->weighted_ms =
		share->weighted_ms * decay + RATE_TIME_CONSTANT_MS * (1 - decay);
	route->count++;
	if (request->fast_ms > 0)
		route->fast_ms = request->fast_ms;
	route->order = order_of(route, request, view);
}

/* Servers that are slow, or objects that are not cached, need more slots than
 * the demand says: refusals show it. */
static void update_pressure(struct region_share *share, double elapsed_s)
{
	const double refused = share->refused / count_sum(share);

	if (refused > REFUSED_HIGH)
		share->pressure += PRESSURE_RISE_PER_S * elapsed_s;
	else if (refused < REFUSED_LOW)
		share->pressure -= PRESSURE_FALL_PER_S * elapsed_s;
	share->pressure = region_share_clamp(share->pressure, 1, PRESSURE_MAX);
}

static void estimate_demand(struct region_share *share,
			    const struct region_share_view *view,
			    double elapsed_ms, int64_t now_ms)
{
	double demand = 0;
	uint32_t i;

	for (i = 0; i < share->route_count; i++)
		demand += route_demand(share, view, &share->routes[i]);
	update_pressure(share, elapsed_ms / MS_PER_S);
	demand *= share->pressure;
	if (!share->usual_demand)
		share->usual_demand = demand;
	share->usual_demand += (demand - share->usual_demand) *
			       (1 - exp(-elapsed_ms / USUAL_TIME_CONSTANT_MS));
	if (now_ms - share->period_ms >= PEAK_PERIOD_MS) {
		share->last_peak_demand = share->peak_demand;
		share->peak_demand = 0;
		share->period_ms = now_ms;
	}
	share->peak_demand = fmax(share->peak_demand, demand);
	share->demand = demand;
}

void region_share_record_refusal(struct region_share *share)
{
	share->refused++;
}

bool region_share_admit_elsewhere(struct region_share *share, uint64_t vm_hash,
				  int64_t now_ms)
{
	const uint64_t window = (uint64_t)(now_ms / ELSEWHERE_WINDOW_MS);
	const uint64_t pair[2] = { vm_hash, window };
	double allowed;

	if (window != share->elsewhere_window) {
		share->elsewhere_window = window;
		share->elsewhere = 0;
	}
	allowed = ELSEWHERE_SHARE * count_sum(share) *
		  fmin(1, ELSEWHERE_WINDOW_MS / (share->weighted_ms + 1));
	/* a VM with few requests has a whole one in some of the windows only,
	 * other VMs in others */
	allowed += region_share_unit_hash(
		XXH3_64bits_withSeed(pair, sizeof(pair), ELSEWHERE_SEED));
	if (share->elsewhere + 1 > allowed)
		return false;
	share->elsewhere++;
	return true;
}

/* The demand that may leave: this region's part of the other regions' spare
 * slots, which other full regions need as well. */
static double demand_allowed(const struct region_share *share, double overflow,
			     double used)
{
	double all = overflow;
	double spare = 0;
	uint32_t i;

	for (i = 0; i < share->peer_count; i++) {
		const struct region_share_peer *peer = &share->peers[i];

		spare += region_share_spare_slots(share, peer, used) *
			 peer->acceptance;
		all += fmax(0, share->usual_demand - used * peer->slots);
	}
	return all > 0 ? spare * overflow / all : 0;
}

/* The demand in slots that should leave if `demand` is the region's. */
static double demand_leaving(const struct region_share *share,
			     const struct region_share_view *view,
			     uint32_t local_slots, double demand)
{
	double used = region_share_utilization(share, view, demand);
	double overflow = fmax(0, demand - used * local_slots);

	return fmin(overflow, demand_allowed(share, overflow, used));
}

/* Distributes the leaving demand to routes by their order.
 *
 * @param factor by which the demand of all routes is multiplied.
 * @param shares of the routes. */
static void distribute(const struct region_share *share,
		       const struct region_share_view *view, double factor,
		       double *shares)
{
	double left = demand_leaving(share, view,
				     view->local_slots - view->local_unused_slots,
				     share->demand * factor);
	uint32_t order;
	uint32_t i;

	for (order = 0; order <= ROOM_CLASSES + 1; order++) {
		double demand = 0;
		double part = 0;

		for (i = 0; i < share->route_count; i++)
			if (share->routes[i].order == order)
				demand += factor * share->pressure *
					  route_demand(share, view,
						       &share->routes[i]);
		if (demand > 0) {
			part = region_share_clamp(left / demand, 0, 1);
			left = part < 1 ? 0 : left - demand;
		}
		for (i = 0; i < share->route_count; i++)
			if (share->routes[i].order == order)
				shares[i] = part;
	}
	for (i = 0; !view->local_slots && i < share->route_count; i++)
		shares[i] = 1;
}

/* Moves the shares into the range between `low` and `high`, all together by no
 * more requests than allowed.
 *
 * @param rise, fall fraction of the service's requests that may move.
 * @return the fraction that moved. */
static double move_shares(struct region_share *share, const double *low,
			  const double *high, double rise, double fall)
{
	double sum = count_sum(share);
	double moved;
	double up = 0;
	double down = 0;
	uint32_t i;

	for (i = 0; i < share->route_count; i++) {
		const struct region_share_route *route = &share->routes[i];

		up += fmax(0, low[i] - route->share) * route->count / sum;
		down += fmax(0, route->share - high[i]) * route->count / sum;
	}
	rise = up > rise ? rise / up : 1;
	fall = down > fall ? fall / down : 1;
	moved = up * rise + down * fall;
	for (i = 0; i < share->route_count; i++) {
		struct region_share_route *route = &share->routes[i];

		if (route->share < low[i])
			route->share += (low[i] - route->share) * rise;
		else if (route->share > high[i])
			route->share -= (route->share - high[i]) * fall;
	}
	return moved;
}

/* The fraction of requests that moves at once because servers were lost. */
static double part_of_loss(const struct region_share *share,
			   const struct region_share_view *view)
{
	double before;

	if (!view->local_slots)
		return 1;
	if (view->local_slots >= share->local_slots || share->demand <= 0)
		return 0;
	before = demand_leaving(share, view, share->local_slots, share->demand);
	return fmax(0, demand_leaving(share, view, view->local_slots,
				      share->demand) -
			       before) /
	       share->demand;
}

/* A region whose servers have returned takes its objects back within a minute;
 * one that is full at the peaks keeps them away in each lull. */
static double fall_fraction(const struct region_share *share,
			    const struct region_share_view *view, double peak)
{
	const uint32_t slots = view->local_slots - view->local_unused_slots;

	/* the peak is known after one whole period */
	return share->last_peak_demand > 0 && peak < UTILIZATION_LOW * slots &&
			       share->refused < REFUSED_NONE
		       ? 1
		       : FALL_FRACTION;
}

/* @return the fraction of the service's requests that the step moved. */
static double adjust_shares(struct region_share *share,
			    const struct region_share_view *view, double step)
{
	double peak = fmax(share->peak_demand, share->last_peak_demand);
	double low[REGION_SHARE_ROUTES_MAX];
	double high[REGION_SHARE_ROUTES_MAX];
	uint32_t i;

	distribute(share, view, 1 - demand_error(share), low);
	distribute(share, view, share->demand > 0 ? peak / share->demand : 1,
		   high);
	for (i = 0; i < share->route_count; i++)
		high[i] = fmax(high[i], low[i]);
	return move_shares(share, low, high, step + part_of_loss(share, view),
			   step * fall_fraction(share, view, peak));
}

/* Before the demand is known: assumes that it is the same in all regions.
 * Routes with room for the crossing leave. */
static void assume_shares(struct region_share *share,
			  const struct region_share_view *view)
{
	double slots = view->local_slots;
	double part = 0;
	double demand;
	uint32_t i;

	for (i = 0; i < view->region_count; i++)
		slots += view->regions[i].slots;
	demand = UTILIZATION_ASSUMED * slots / (view->region_count + 1);
	share->usual_demand = demand;
	if (demand > 0)
		part = demand_leaving(share, view, view->local_slots, demand) /
		       demand;
	for (i = 0; i < share->route_count; i++) {
		struct region_share_route *route = &share->routes[i];

		route->share = route->order < ROOM_CLASSES ? part : 0;
		if (!view->local_slots)
			route->share = 1;
	}
}

void region_share_count_request(struct region_share *share,
				const struct region_share_view *view,
				const struct region_share_request *request,
				int64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - share->counted_ms);
	double moved = 0;
	double step;

	if (!share->counted_ms) {
		share->began_ms = now_ms;
		share->period_ms = now_ms;
		share->local_slots = view->local_slots;
		elapsed_ms = 0;
	}
	step = view->shift_max_per_s *
	       region_share_clamp(elapsed_ms / MS_PER_S, 0, 1);
	region_share_list_regions(share, view);
	region_share_update_acceptance(
		share, region_share_clamp(elapsed_ms / MS_PER_S, 0, 1), now_ms);
	count_request(share, view, request, elapsed_ms);
	if (is_settled(share, now_ms)) {
		if (!share->demand)
			share->usual_demand = 0;
		estimate_demand(share, view, elapsed_ms, now_ms);
		moved = adjust_shares(share, view, step);
	} else {
		assume_shares(share, view);
	}
	/* a change of weights moves the requests that leave: together with the
	 * shares, no more than the step */
	region_share_move_weights(share, view,
				  fmax(0, step - moved) /
					  fmax(region_share_total(share),
					       LEAVING_MIN));
	share->counted_ms = now_ms;
	share->local_slots = view->local_slots;
}

bool region_share_is_remote(const struct region_share *share,
			    uint64_t route_key, uint64_t object_hash)
{
	uint64_t hash = XXH3_64bits_withSeed(&object_hash, sizeof(object_hash),
					     OBJECT_SEED);
	uint32_t i = find_route(share, route_key);

	return i < share->route_count &&
	       region_share_unit_hash(hash) < share->routes[i].share;
}

double region_share_total(const struct region_share *share)
{
	double sum = count_sum(share);
	double total = 0;
	uint32_t i;

	for (i = 0; i < share->route_count; i++)
		total += share->routes[i].share * share->routes[i].count / sum;
	return total;
}
