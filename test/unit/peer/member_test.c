#include "decide/rank.h"
#include "peer/domain.h"
#include "peer/member.h"
#include "unit/test.h"

/**
 * @file
 * Tests of the membership table, the domain list and rendezvous ranking.
 */

static struct member make_member(const char *name, uint64_t incarnation)
{
	struct member member = { .incarnation = incarnation };

	g_strlcpy(member.name, name, sizeof(member.name));
	g_strlcpy(member.failure_domain, "d", sizeof(member.failure_domain));
	member.name_hash = rank_hash(name);
	return member;
}

static struct member_table *make_table(const char *self, const char *other)
{
	struct member own = make_member(self, 1);
	struct member_table *table = member_table_new(&own, 0);
	struct member second = make_member(other, 1);

	g_assert_true(member_update_details(table, &second, 0));
	return table;
}

/** @return whether the member's details should be requested. */
static bool receive_heartbeat(struct member_table *table, const char *name,
			      uint64_t incarnation, uint64_t heartbeat,
			      int64_t now_ms)
{
	struct member member = make_member(name, incarnation);

	member.heartbeat = heartbeat;
	return member_update_heartbeat(table, &member, now_ms);
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

static void silent_member_becomes_suspect_then_dead(void)
{
	struct member_table *table = make_table("a", "b");

	tick_until(table, 0, MEMBER_SUSPECT_MS - 500);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_LIVE);
	tick_until(table, MEMBER_SUSPECT_MS, MEMBER_DEAD_MS - 500);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_SUSPECT);
	tick_until(table, MEMBER_DEAD_MS, MEMBER_DEAD_MS);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_DEAD);
	receive_heartbeat(table, "b", 1, 5, MEMBER_DEAD_MS + 100);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_LIVE);
	member_table_free(table);
}

static void stale_heartbeat_does_not_revive_dead_member(void)
{
	struct member_table *table = make_table("a", "b");

	receive_heartbeat(table, "b", 1, 9, 0);
	tick_until(table, 0, MEMBER_DEAD_MS);
	g_assert_false(receive_heartbeat(table, "b", 1, 9, MEMBER_DEAD_MS));
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_DEAD);
	member_table_free(table);
}

static void restart_replaces_older_incarnation(void)
{
	struct member_table *table = make_table("a", "b");
	struct member restarted = make_member("b", 2);
	struct member old = make_member("b", 1);

	g_assert_true(receive_heartbeat(table, "b", 2, 1,
					0)); /* details are requested */
	g_assert_true(member_update_details(table, &restarted, 0));
	g_assert_false(member_update_details(table, &old, 0));
	g_assert_false(receive_heartbeat(table, "b", 1, 100, 0));
	g_assert_cmpuint(member_find(table, rank_hash("b"))->incarnation, ==, 2);
	g_assert_cmpuint(member_count(table), ==, 2);
	member_table_free(table);
}

static void own_pause_does_not_mark_others_dead(void)
{
	struct member_table *table = make_table("a", "b");

	tick_until(table, 0, 1000);
	member_tick(table, 600000);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_LIVE);
	tick_until(table, 600500, 600000 + MEMBER_DEAD_MS + 1000);
	g_assert_cmpint(state_of(table, "b"), ==, MEMBER_DEAD);
	member_table_free(table);
}

static void dead_members_are_removed(void)
{
	struct member_table *table = make_table("a", "b");

	tick_until(table, 0, MEMBER_FORGET_MS);
	g_assert_cmpuint(member_count(table), ==, 1);
	member_table_free(table);
}

static void member_ranks_are_unique(void)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	uint32_t seen = 0;
	size_t i, k;

	for (i = 0; i < ARRAY_SIZE(names); i++) {
		struct member own = make_member(names[i], 1);
		struct member_table *table = member_table_new(&own, 0);

		for (k = 0; k < ARRAY_SIZE(names); k++) {
			struct member other = make_member(names[k], 1);

			member_update_details(table, &other, 0);
		}
		seen |= 1U << member_rank(table, "watch");
		member_table_free(table);
	}
	g_assert_cmpuint(seen, ==, 15);
}

static void table_hash_changes_with_live_members(void)
{
	struct member_table *table = make_table("a", "b");
	uint64_t before = member_table_hash(table);
	uint64_t without;

	receive_heartbeat(table, "b", 1, 7, 0);
	g_assert_cmpuint(member_table_hash(table), ==, before);
	tick_until(table, 0, MEMBER_DEAD_MS);
	without = member_table_hash(table);
	g_assert_cmpuint(without, !=, before);
	receive_heartbeat(table, "b", 1, 8, MEMBER_DEAD_MS);
	g_assert_cmpuint(member_table_hash(table), ==, before);
	member_table_free(table);
}

static struct domain make_digest(uint64_t stamp, uint64_t hash)
{
	struct domain digest = { .stamp = stamp, .table_hash = hash };

	g_strlcpy(digest.name, "remote", sizeof(digest.name));
	return digest;
}

static void domain_table_is_fetched_once_per_change(void)
{
	struct domain_list list = { .count = 0 };
	struct domain digest = make_digest(1, 77);
	struct member member = make_member("x", 1);

	g_assert_nonnull(domain_record_digest(&list, &digest, 1000));
	g_assert_null(domain_record_digest(&list, &digest,
					   1500)); /* already requested */
	g_assert_nonnull(domain_record_digest(&list, &digest, 2100));
	g_assert_false(domain_update_members(&list, "remote", 78, &member, 1));
	g_assert_true(domain_update_members(&list, "remote", 77, &member, 1));
	g_assert_null(domain_record_digest(&list, &digest, 9000));
	digest = make_digest(2, 79);
	g_assert_nonnull(domain_record_digest(&list, &digest, 9000));
	/* an older digest does not restore the old table */
	digest = make_digest(1, 77);
	g_assert_null(domain_record_digest(&list, &digest, 12000));
	domain_list_clear(&list);
}

static void domain_without_new_digest_is_unreachable(void)
{
	struct domain_list list = { .count = 0 };
	struct domain digest = make_digest(1, 77);

	domain_record_digest(&list, &digest, 1000);
	g_assert_true(domain_tick(&list, 1000));
	g_assert_true(list.domains[0]->reachable);
	/* a forwarded digest with the same stamp does not renew the domain */
	domain_record_digest(&list, &digest, 1000 + DOMAIN_TIMEOUT_MS - 1);
	g_assert_true(domain_tick(&list, 1000 + DOMAIN_TIMEOUT_MS));
	g_assert_false(list.domains[0]->reachable);
	domain_list_clear(&list);
}

static void losing_a_candidate_moves_only_its_blocks(void)
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
	ADD_TEST("member", silent_member_becomes_suspect_then_dead);
	ADD_TEST("member", stale_heartbeat_does_not_revive_dead_member);
	ADD_TEST("member", restart_replaces_older_incarnation);
	ADD_TEST("member", own_pause_does_not_mark_others_dead);
	ADD_TEST("member", dead_members_are_removed);
	ADD_TEST("member", member_ranks_are_unique);
	ADD_TEST("member", table_hash_changes_with_live_members);
	ADD_TEST("member", domain_table_is_fetched_once_per_change);
	ADD_TEST("member", domain_without_new_digest_is_unreachable);
	ADD_TEST("member", losing_a_candidate_moves_only_its_blocks);
	return g_test_run();
}
