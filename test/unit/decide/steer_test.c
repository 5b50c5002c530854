#include "base/clock.h"
#include "decide/steer.h"
#include "document/edit.h"
#include "unit/fixture.h"

#define BLOCKS 4000
#define TICK_MS 100
#define ALL UINT64_MAX

/** A document whose callers of fyn are shared as asked. */
static struct document *document_with(int fyn, int jylland)
{
	json_t *value = fixture_json();
	json_t *shares = json_pack("{s:i,s:i}", "fyn", fyn, "jylland", jylland);

	edit_shares(value, "cleft", "fyn", shares);
	json_decref(shares);
	return fixture_document(value);
}

static void aim(struct steer_position *position, int fyn, int jylland)
{
	struct document *doc = document_with(fyn, jylland);

	steer_set_target(position, doc, document_steering(doc, "cleft", "fyn"),
			 0);
	document_free(doc);
}

static int region_of(const struct steer_position *position, int block,
		     uint64_t usable)
{
	char name[32];

	g_snprintf(name, sizeof(name), "10.%d.%d.0/24", block / 256, block % 256);
	return steer_region_at(position, steer_point(name, "cleft"), usable);
}

static void first_target_is_taken_at_once(void)
{
	struct steer_position position = { 0 };

	aim(&position, 700, 300);
	g_assert_true(steer_settled(&position));
}

static void moves_only_blocks_between_the_bounds(void)
{
	struct steer_position before = { 0 };
	struct steer_position after = { 0 };
	int moved = 0;
	int i, from, to;

	aim(&before, 800, 200);
	aim(&after, 700, 300);
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
 * Callers keep an answer for its whole time. Whatever the moments at which
 * they ask, no window may see more than the cap of them change region.
 */
static void cached_answers_stay_under_the_cap(void)
{
	struct clock_manual manual = { 0 };
	struct clock clock = clock_from_manual(&manual);
	struct steer_position position = { 0 };
	static int region[BLOCKS], asked_ms[BLOCKS];
	static int moved_at[1000];
	int tick, i, k, sum, total = 0;

	aim(&position, 1000, 0);
	aim(&position, 200, 800);
	steer_advance(&position, 0);
	for (i = 0; i < BLOCKS; i++)
		asked_ms[i] = i % 2000;
	for (tick = 0; tick < 1000; tick++) {
		clock_manual_advance_ms(&manual, TICK_MS);
		steer_advance(&position, clock_now_ms(&clock));
		for (i = 0; i < BLOCKS; i++) {
			if (clock_now_ms(&clock) < asked_ms[i])
				continue;
			asked_ms[i] += 2000;
			k = region_of(&position, i, ALL);
			moved_at[tick] += k != region[i];
			region[i] = k;
		}
		sum = 0;
		for (k = tick; k >= 0 && k > tick - 8000 / TICK_MS; k--)
			sum += moved_at[k];
		/* 100 of 1000, and the unevenness of 4000 blocks */
		g_assert_cmpint(sum, <=, BLOCKS * 115 / 1000);
		total += moved_at[tick];
	}
	g_assert_true(steer_settled(&position));
	g_assert_cmpint(total, >, BLOCKS * 75 / 100);
}

static void a_second_shift_keeps_the_rate(void)
{
	struct steer_position position = { 0 };
	double moved = 0;
	int64_t now_ms;

	aim(&position, 1000, 0);
	aim(&position, 500, 500);
	steer_advance(&position, 0);
	for (now_ms = TICK_MS; now_ms <= 10000; now_ms += TICK_MS) {
		if (now_ms == 5000)
			aim(&position, 1000, 0);
		moved += steer_advance(&position, now_ms);
	}
	/* a window and the answers' time pass once: one cap */
	g_assert_cmpfloat(moved, <=, 0.1 + 1e-9);
}

static void a_pause_earns_no_allowance(void)
{
	struct steer_position position = { 0 };

	aim(&position, 1000, 0);
	aim(&position, 0, 1000);
	steer_advance(&position, 0);
	g_assert_cmpfloat(steer_advance(&position, 3600000), <=,
			  0.1 * STEER_STEP_MAX_MS / 10000 + 1e-9);
}

static void a_failover_holds_the_shift(void)
{
	struct steer_position position = { 0 };

	aim(&position, 1000, 0);
	aim(&position, 0, 1000);
	steer_advance(&position, 0);
	steer_hold(&position, 10000);
	g_assert_cmpfloat(steer_advance(&position, 500), ==, 0);
	g_assert_cmpfloat(steer_advance(&position, 9999), ==, 0);
	g_assert_cmpfloat(steer_advance(&position, 10500), >, 0);
}

static void lost_regions_spread_over_the_others(void)
{
	struct steer_position position = { 0 };
	int i, region;

	aim(&position, 500, 500);
	for (i = 0; i < BLOCKS; i++) {
		region = region_of(&position, i, 2);
		g_assert_cmpint(region, ==, 1);
		/* blocks of a region that stays are not moved */
		if (region_of(&position, i, ALL) == 0)
			g_assert_cmpint(region_of(&position, i, 5), ==, 0);
	}
	g_assert_cmpint(steer_region_at(&position, 0.4, 4), ==, 2);
	g_assert_cmpint(steer_region_at(&position, 0.4, 0), ==, -1);
}

static void adopts_only_sound_positions(void)
{
	const double good[] = { 0.9, 1, 1 };
	const double falling[] = { 0.9, 0.5, 1 };
	const double short_of[] = { 0.2, 0.3, 0.9 };
	const double not_a_number[] = { 0.0 / 0.0, 1, 1 };
	struct steer_position position = { 0 };

	aim(&position, 500, 500);
	g_assert_false(steer_adopt(&position, falling, 3, 0));
	g_assert_false(steer_adopt(&position, short_of, 3, 0));
	g_assert_false(steer_adopt(&position, not_a_number, 3, 0));
	g_assert_false(steer_adopt(&position, good, 2, 0));
	g_assert_true(steer_adopt(&position, good, 3, 0));
	g_assert_false(steer_settled(&position));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("steer", first_target_is_taken_at_once);
	ADD_TEST("steer", moves_only_blocks_between_the_bounds);
	ADD_TEST("steer", cached_answers_stay_under_the_cap);
	ADD_TEST("steer", a_second_shift_keeps_the_rate);
	ADD_TEST("steer", a_pause_earns_no_allowance);
	ADD_TEST("steer", a_failover_holds_the_shift);
	ADD_TEST("steer", lost_regions_spread_over_the_others);
	ADD_TEST("steer", adopts_only_sound_positions);
	return g_test_run();
}
