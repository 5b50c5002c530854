#include "decide/rank.h"
#include "peer/domain.h"
#include "peer/member.h"
#include "unit/test.h"

static struct member make(const char *name, uint64_t incarnation)
{
	struct member member = { .incarnation = incarnation };

	g_strlcpy(member.name, name, sizeof(member.name));
	g_strlcpy(member.failure_domain, "d", sizeof(member.failure_domain));
	member.name_hash = rank_hash(name);
	return member;
}

static struct member_table *table_of(const char *self, const char *other)
{
	struct member own = make(self, 1);
	struct member_table *table = member_table_new(&own, 0);
	struct member second = make(other, 1);

	g_assert_true(member_learn(table, &second, 0));
	return table;
}

/** Hears a heartbeat of a member. */
static bool hear(struct member_table *table, const char *name,
		 uint64_t incarnation, uint64_t heartbeat, int64_t now_ms)
{
	struct member member = make(name, incarnation);

	member.heartbeat = heartbeat;
	return member_hear(table, &member, now_ms);
}

static enum member_state state_of(const struct member_table *table,
				  const char *name)
{
	return member_find(table, rank_hash(name))->state;
}

static void tick_until(struct member_table *table, int64_t from_ms, int64_t to_ms)
{
	int64_t now_ms;

	for (now_ms = from_ms; now_ms <= to_ms; now_ms += 500)
		member_tick(table, now_ms);
}

static void silence_makes_suspect_then_dead(void)
{
	struct member_table *table = table_of("a", "b");

	tick_until(table, 0, MEMBER_SUSPECT_MS - 500);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_LIVE);
	tick_until(table, MEMBER_SUSPECT_MS, MEMBER_DEAD_MS - 500);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_SUSPECT);
	tick_until(table, MEMBER_DEAD_MS, MEMBER_DEAD_MS);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_DEAD);
	hear(table, "b", 1, 5, MEMBER_DEAD_MS + 100);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_LIVE);
	member_table_free(table);
}

static void old_heartbeats_do_not_revive(void)
{
	struct member_table *table = table_of("a", "b");

	hear(table, "b", 1, 9, 0);
	tick_until(table, 0, MEMBER_DEAD_MS);
	g_assert_false(hear(table, "b", 1, 9, MEMBER_DEAD_MS));
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_DEAD);
	member_table_free(table);
}

static void a_restart_is_a_new_incarnation(void)
{
	struct member_table *table = table_of("a", "b");
	struct member again = make("b", 2);
	struct member old = make("b", 1);

	g_assert_true(hear(table, "b", 2, 1, 0)); /* details are wanted */
	g_assert_true(member_learn(table, &again, 0));
	g_assert_false(member_learn(table, &old, 0));
	g_assert_false(hear(table, "b", 1, 100, 0));
	g_assert_cmpuint(member_find(table, rank_hash("b"))->incarnation, ==, 2);
	g_assert_cmpuint(member_count(table), ==, 2);
	member_table_free(table);
}

static void an_own_pause_condemns_no_one(void)
{
	struct member_table *table = table_of("a", "b");

	tick_until(table, 0, 1000);
	member_tick(table, 600000);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_LIVE);
	tick_until(table, 600500, 600000 + MEMBER_DEAD_MS + 1000);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_DEAD);
	member_table_free(table);
}

static void the_dead_are_forgotten(void)
{
	struct member_table *table = table_of("a", "b");

	tick_until(table, 0, MEMBER_FORGET_MS);
	g_assert_cmpuint(member_count(table), ==, 1);
	member_table_free(table);
}

static void ranks_are_a_permutation(void)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	uint32_t seen = 0;
	size_t i, k;

	for (i = 0; i < ARRAY_SIZE(names); i++) {
		struct member own = make(names[i], 1);
		struct member_table *table = member_table_new(&own, 0);

		for (k = 0; k < ARRAY_SIZE(names); k++) {
			struct member other = make(names[k], 1);

			member_learn(table, &other, 0);
		}
		seen |= 1U << member_rank(table, "watch");
		member_table_free(table);
	}
	g_assert_cmpuint(seen, ==, 15);
}

static void the_hash_follows_members(void)
{
	struct member_table *table = table_of("a", "b");
	uint64_t before = member_table_hash(table);
	uint64_t without;

	hear(table, "b", 1, 7, 0);
	g_assert_cmpuint(member_table_hash(table), ==, before);
	tick_until(table, 0, MEMBER_DEAD_MS);
	without = member_table_hash(table);
	g_assert_cmpuint(without, !=, before);
	hear(table, "b", 1, 8, MEMBER_DEAD_MS);
	g_assert_cmpuint(member_table_hash(table), ==, before);
	member_table_free(table);
}

static struct domain digest_of(uint64_t stamp, uint64_t hash)
{
	struct domain digest = { .stamp = stamp, .table_hash = hash };

	g_strlcpy(digest.name, "far", sizeof(digest.name));
	return digest;
}

static void domains_are_fetched_once_per_change(void)
{
	struct domain_list list = { .count = 0 };
	struct domain digest = digest_of(1, 77);
	struct member member = make("x", 1);

	g_assert_nonnull(domain_hear(&list, &digest, 1000));
	g_assert_null(domain_hear(&list, &digest, 1500)); /* asked already */
	g_assert_nonnull(domain_hear(&list, &digest, 2100));
	g_assert_false(domain_learn(&list, "far", 78, &member, 1));
	g_assert_true(domain_learn(&list, "far", 77, &member, 1));
	g_assert_null(domain_hear(&list, &digest, 9000));
	digest = digest_of(2, 79);
	g_assert_nonnull(domain_hear(&list, &digest, 9000));
	/* an older digest does not bring the old table back */
	digest = digest_of(1, 77);
	g_assert_null(domain_hear(&list, &digest, 12000));
	domain_list_clear(&list);
}

static void silent_domains_are_unreachable(void)
{
	struct domain_list list = { .count = 0 };
	struct domain digest = digest_of(1, 77);

	domain_hear(&list, &digest, 1000);
	g_assert_true(domain_tick(&list, 1000));
	g_assert_true(list.domains[0]->reachable);
	/* the same stamp, passed round again, is no sign of life */
	domain_hear(&list, &digest, 1000 + DOMAIN_SILENT_MS - 1);
	g_assert_true(domain_tick(&list, 1000 + DOMAIN_SILENT_MS));
	g_assert_false(list.domains[0]->reachable);
	domain_list_clear(&list);
}

static void ranking_moves_only_the_lost_ones_blocks(void)
{
	struct rank_candidate all[6];
	uint32_t before[3], after[3];
	char block[32];
	uint32_t i, kept = 0;

	for (i = 0; i < 6; i++) {
		g_snprintf(block, sizeof(block), "vm%u", i);
		all[i].name_hash = rank_hash(block);
		all[i].failure_domain = i % 2;
		all[i].index = i;
	}
	for (i = 0; i < 500; i++) {
		g_snprintf(block, sizeof(block), "block%u", i);
		g_assert_cmpuint(rank_choose(all, 6, rank_hash(block), before, 3),
				 ==, 3);
		g_assert_cmpuint(before[0] % 2, !=, before[1] % 2);
		rank_choose(all, 5, rank_hash(block), after, 3);
		if (before[0] == 5)
			continue;
		g_assert_cmpuint(after[0], ==, before[0]);
		kept++;
	}
	g_assert_cmpuint(kept, >, 380);
	g_assert_cmpuint(rank_choose(all, 1, 1, before, 3), ==, 1);
	g_assert_cmpuint(rank_choose(all, 0, 1, before, 3), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("member", silence_makes_suspect_then_dead);
	ADD_TEST("member", old_heartbeats_do_not_revive);
	ADD_TEST("member", a_restart_is_a_new_incarnation);
	ADD_TEST("member", an_own_pause_condemns_no_one);
	ADD_TEST("member", the_dead_are_forgotten);
	ADD_TEST("member", ranks_are_a_permutation);
	ADD_TEST("member", the_hash_follows_members);
	ADD_TEST("member", domains_are_fetched_once_per_change);
	ADD_TEST("member", silent_domains_are_unreachable);
	ADD_TEST("member", ranking_moves_only_the_lost_ones_blocks);
	return g_test_run();
}
