#include "base/clock.h"
#include "decide/steer.h"
#include "document/edit.h"
#include "unit/fixture.h"

#define BLOCKS 4000
#define TICK_MS 100
#define ALL UINT64_MAX

/** @return a document with these shares for the callers of region fyn. */
static struct document *document_with(int fyn, int jylland)
{
	json_t *value = fixture_json();
	json_t *shares = json_pack("{s:i,s:i}", "fyn", fyn, "jylland", jylland);

	edit_set_shares(value, "cleft", "fyn", shares);
	json_decref(shares);
	return fixture_document(value);
}

static void set_target(struct steer_position *position, int fyn, int jylland)
{
	struct document *doc = document_with(fyn, jylland);

	steer_set_target(position, doc,
			 document_find_steering(doc, "cleft", "fyn"), 0);
	document_free(doc);
}

static int region_of(const struct steer_position *position, int block,
		     uint64_t usable)
{
	char name[32];

	g_snprintf(name, sizeof(name), "10.%d.%d.0/24", block / 256, block % 256);
	return steer_region_at(position, steer_block_point(name, "cleft"),
			       usable);
}

static void first_target_applies_at_once(void)
{
	struct steer_position position = { 0 };

	set_target(&position, 700, 300);
	g_assert_true(steer_is_settled(&position));
}

static void moves_only_blocks_between_boundaries(void)
{
	struct steer_position before = { 0 };
	struct steer_position after = { 0 };
	int moved = 0;
	int i, from, to;

	set_target(&before, 800, 200);
	set_target(&after, 700, 300);
	for (i = 0; i < BLOCKS; i++) {
		from = region_of(&before, i, ALL);
		to = region_of(&after, i, ALL);
		moved += from != to;
		if (from != to) {
			g_assert_cmpint(from, ==, 0);
			g_assert_cmpint(to, ==, 1);
		}
	}
	g_assert_cmpint(moved, >, BLOCKS * 8 / 100);
	g_assert_cmpint(moved, <, BLOCKS * 12 / 100);
}

/**
 * Callers cache a look-up response until it expires. Regardless of when they
 * look up, no more of them than the cap may change region in any window.
 */
static void cached_lookups_stay_under_cap(void)
{
	struct clock_manual manual = { 0 };
	struct clock clock = clock_from_manual(&manual);
	struct steer_position position = { 0 };
	static int region[BLOCKS], lookup_ms[BLOCKS];
	static int moved_at[1000];
	int tick, i, k, sum, total = 0;

	set_target(&position, 1000, 0);
	set_target(&position, 200, 800);
	steer_advance(&position, 0);
	for (i = 0; i < BLOCKS; i++)
		lookup_ms[i] = i % 2000;
	for (tick = 0; tick < 1000; tick++) {
		clock_manual_advance_ms(&manual, TICK_MS);
		steer_advance(&position, clock_now_ms(&clock));
		for (i = 0; i < BLOCKS; i++) {
			if (clock_now_ms(&clock) < lookup_ms[i])
				continue;
			lookup_ms[i] += 2000;
			k = region_of(&position, i, ALL);
			moved_at[tick] += k != region[i];
			region[i] = k;
		}
		sum = 0;
		for (k = tick; k >= 0 && k > tick - 8000 / TICK_MS; k--)
			sum += moved_at[k];
		/* 100 of 1000, plus the uneven hashing of 4000 blocks */
		g_assert_cmpint(sum, <=, BLOCKS * 115 / 1000);
		total += moved_at[tick];
	}
	g_assert_true(steer_is_settled(&position));
	g_assert_cmpint(total, >, BLOCKS * 75 / 100);
}

static void second_shift_keeps_the_rate(void)
{
	struct steer_position position = { 0 };
	double moved = 0;
	int64_t now_ms;

	set_target(&position, 1000, 0);
	set_target(&position, 500, 500);
	steer_advance(&position, 0);
	for (now_ms = TICK_MS; now_ms <= 10000; now_ms += TICK_MS) {
		if (now_ms == 5000)
			set_target(&position, 1000, 0);
		moved += steer_advance(&position, now_ms);
	}
	/* one window plus the look-up TTL passes: one cap */
	g_assert_cmpfloat(moved, <=, 0.1 + 1e-9);
}

static void pause_earns_no_allowance(void)
{
	struct steer_position position = { 0 };

	set_target(&position, 1000, 0);
	set_target(&position, 0, 1000);
	steer_advance(&position, 0);
	g_assert_cmpfloat(steer_advance(&position, 3600000), <=,
			  0.1 * STEER_STEP_MAX_MS / 10000 + 1e-9);
}

static void failover_pauses_the_shift(void)
{
	struct steer_position position = { 0 };

	set_target(&position, 1000, 0);
	set_target(&position, 0, 1000);
	steer_advance(&position, 0);
	steer_pause(&position, 10000);
	g_assert_cmpfloat(steer_advance(&position, 500), ==, 0);
	g_assert_cmpfloat(steer_advance(&position, 9999), ==, 0);
	g_assert_cmpfloat(steer_advance(&position, 10500), >, 0);
}

static void lost_region_spreads_over_others(void)
{
	struct steer_position position = { 0 };
	int i, region;

	set_target(&position, 500, 500);
	for (i = 0; i < BLOCKS; i++) {
		region = region_of(&position, i, 2);
		g_assert_cmpint(region, ==, 1);
		/* blocks of a usable region are not moved */
		if (region_of(&position, i, ALL) == 0)
			g_assert_cmpint(region_of(&position, i, 5), ==, 0);
	}
	g_assert_cmpint(steer_region_at(&position, 0.4, 4), ==, 2);
	g_assert_cmpint(steer_region_at(&position, 0.4, 0), ==, -1);
}

static void adopts_only_valid_positions(void)
{
	const double valid[] = { 0.9, 1, 1 };
	const double decreasing[] = { 0.9, 0.5, 1 };
	const double incomplete[] = { 0.2, 0.3, 0.9 };
	const double not_a_number[] = { 0.0 / 0.0, 1, 1 };
	struct steer_position position = { 0 };

	set_target(&position, 500, 500);
	g_assert_false(steer_adopt(&position, decreasing, 3, 0));
	g_assert_false(steer_adopt(&position, incomplete, 3, 0));
	g_assert_false(steer_adopt(&position, not_a_number, 3, 0));
	g_assert_false(steer_adopt(&position, valid, 2, 0));
	g_assert_true(steer_adopt(&position, valid, 3, 0));
	g_assert_false(steer_is_settled(&position));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("steer", first_target_applies_at_once);
	ADD_TEST("steer", moves_only_blocks_between_boundaries);
	ADD_TEST("steer", cached_lookups_stay_under_cap);
	ADD_TEST("steer", second_shift_keeps_the_rate);
	ADD_TEST("steer", pause_earns_no_allowance);
	ADD_TEST("steer", failover_pauses_the_shift);
	ADD_TEST("steer", lost_region_spreads_over_others);
	ADD_TEST("steer", adopts_only_valid_positions);
	return g_test_run();
}
