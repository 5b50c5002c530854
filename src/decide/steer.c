#include "decide/steer.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "document/document.h"

/* A point has 53 bits, the precision of a double. Multiplying it by
 * SPREAD_FACTOR gives a second point, which spreads a lost region's blocks. */
#define POINT_BITS 53
#define GOLDEN_FRACTION 0.6180339887498949
#define SPREAD_FACTOR 1048573.0

#define BOUND_TOLERANCE 1e-9

static void set_bounds(const struct document *doc,
		       const struct doc_steering *steering, uint32_t from,
		       double *bound)
{
	double sum = 0;
	uint32_t i, k;

	for (i = 0; i < doc->region_count; i++) {
		if (!steering) {
			sum += i == from;
			bound[i] = sum;
			continue;
		}
		for (k = 0; k < steering->share_count; k++)
			if (!strcmp(steering->shares[k].to, doc->regions[i].name))
				sum += steering->shares[k].permille /
				       (double)PERMILLE;
		bound[i] = sum;
	}
	bound[doc->region_count - 1] = 1;
}

void steer_set_target(struct steer_position *position, const struct document *doc,
		      const struct doc_steering *steering, uint32_t from)
{
	double span_ms = doc->lookup_ttl_ms;
	double cap = 1;

	if (steering) {
		cap = steering->move_cap_permille / (double)PERMILLE;
		span_ms += steering->window_ms;
	}
	set_bounds(doc, steering, from, position->target);
	position->rate_per_ms = cap / span_ms;
	if (position->region_count == doc->region_count)
		return;
	/* first document, or regions added or removed: no boundaries to move */
	position->region_count = doc->region_count;
	memcpy(position->bound, position->target, sizeof(position->bound));
}

void steer_move_to_target(struct steer_position *position, int64_t now_ms)
{
	memcpy(position->bound, position->target, sizeof(position->bound));
	position->advanced_ms = now_ms;
}

bool steer_adopt(struct steer_position *position, const double *bound,
		 uint32_t region_count, int64_t now_ms)
{
	double last = 0;
	uint32_t i;

	if (!region_count || region_count != position->region_count)
		return false;
	for (i = 0; i < region_count; i++) {
		if (!(bound[i] >= last && bound[i] <= 1))
			return false;
		last = bound[i];
	}
	if (last < 1 - BOUND_TOLERANCE)
		return false;
	memcpy(position->bound, bound, region_count * sizeof(*bound));
	position->bound[region_count - 1] = 1;
	position->advanced_ms = now_ms;
	return true;
}

static double distance_to_target(const struct steer_position *position)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < position->region_count; i++)
		sum += fabs(position->target[i] - position->bound[i]);
	return sum;
}

double steer_advance(struct steer_position *position, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - position->advanced_ms;
	double remaining = distance_to_target(position);
	double allowed;
	double fraction;
	uint32_t i;

	position->advanced_ms = now_ms;
	if (elapsed_ms <= 0 || remaining <= 0 ||
	    now_ms < position->paused_until_ms)
		return 0;
	if (elapsed_ms > STEER_STEP_MAX_MS)
		elapsed_ms = STEER_STEP_MAX_MS;
	allowed = position->rate_per_ms * (double)elapsed_ms;
	if (allowed >= remaining) {
		memcpy(position->bound, position->target,
		       sizeof(position->bound));
		return remaining;
	}
	fraction = allowed / remaining;
	for (i = 0; i < position->region_count; i++)
		position->bound[i] +=
			(position->target[i] - position->bound[i]) * fraction;
	return allowed;
}

void steer_pause(struct steer_position *position, int64_t until_ms)
{
	if (until_ms > position->paused_until_ms)
		position->paused_until_ms = until_ms;
}

bool steer_is_settled(const struct steer_position *position)
{
	return distance_to_target(position) <= BOUND_TOLERANCE;
}

static int find_interval(const struct steer_position *position, double point)
{
	uint32_t i;

	for (i = 0; i < position->region_count; i++)
		if (point < position->bound[i])
			return (int)i;
	return (int)position->region_count - 1;
}

static double region_share(const struct steer_position *position, uint32_t region)
{
	double low = region ? position->bound[region - 1] : 0;

	return position->bound[region] - low;
}

/** Spreads the blocks of an unusable region over the usable ones by share. */
static int spread_lost_region(const struct steer_position *position,
			      double point, uint64_t usable)
{
	double sum = 0;
	double offset;
	int first = -1;
	uint32_t i;

	for (i = 0; i < position->region_count; i++) {
		if (!(usable & (1ULL << i)))
			continue;
		if (first < 0)
			first = (int)i;
		sum += region_share(position, i);
	}
	if (first < 0 || sum <= BOUND_TOLERANCE)
		return first;
	offset = point * SPREAD_FACTOR + GOLDEN_FRACTION;
	offset = (offset - floor(offset)) * sum;
	for (i = 0; i < position->region_count; i++) {
		if (!(usable & (1ULL << i)))
			continue;
		offset -= region_share(position, i);
		if (offset < 0)
			return (int)i;
	}
	return first;
}

int steer_region_at(const struct steer_position *position, double point,
		    uint64_t usable)
{
	int region = find_interval(position, point);

	if (region >= 0 && (usable & (1ULL << region)))
		return region;
	return spread_lost_region(position, point, usable);
}

double steer_block_point(const char *block, const char *service)
{
	XXH64_hash_t seed = XXH64(service, strlen(service), 0);
	XXH64_hash_t hash = XXH64(block, strlen(block), seed);

	return (double)(hash >> (64 - POINT_BITS)) / (double)(1ULL << POINT_BITS);
}
