#include "peer/member.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"

/* after a longer gap between ticks, the process is taken to have been paused */
#define TICK_GAP_MAX_MS 2000

static const char *const state_names[] = { "live", "suspect", "dead" };

struct member_table {
	GPtrArray *members; /* struct member *, this process first */
	int64_t last_tick_ms;
};

static struct member *copy_member(const struct member *from)
{
	return g_memdup2(from, sizeof(*from));
}

struct member_table *member_table_new(const struct member *self, int64_t now_ms)
{
	struct member_table *table = calloc(1, sizeof(*table));
	struct member *own;

	if (!table)
		return NULL;
	table->members = g_ptr_array_new_with_free_func(g_free);
	own = copy_member(self);
	own->heartbeat = 1;
	own->state = MEMBER_LIVE;
	own->last_heard_ms = now_ms;
	g_ptr_array_add(table->members, own);
	table->last_tick_ms = now_ms;
	return table;
}

void member_table_free(struct member_table *table)
{
	if (!table)
		return;
	g_ptr_array_free(table->members, TRUE);
	free(table);
}

uint32_t member_count(const struct member_table *table)
{
	return table->members->len;
}

const struct member *member_at(const struct member_table *table, uint32_t index)
{
	return table->members->pdata[index];
}

struct member *member_self(struct member_table *table)
{
	return table->members->pdata[0];
}

static struct member *find(const struct member_table *table, uint64_t name_hash)
{
	uint32_t i;

	for (i = 0; i < table->members->len; i++) {
		struct member *member = table->members->pdata[i];

		if (member->name_hash == name_hash)
			return member;
	}
	return NULL;
}

const struct member *member_find(const struct member_table *table,
				 uint64_t name_hash)
{
	return find(table, name_hash);
}

static void set_state(struct member *member, enum member_state state)
{
	if (member->state == state)
		return;
	log_info("member",
		 "state changed name=%s from=%s to=%s incarnation=%" PRIx64,
		 member->name, state_names[member->state], state_names[state],
		 member->incarnation);
	member->state = state;
}

/** @return whether `received` is newer than `known`. */
static bool is_newer(const struct member *received, const struct member *known)
{
	if (received->incarnation != known->incarnation)
		return received->incarnation > known->incarnation;
	return received->heartbeat > known->heartbeat;
}

bool member_update_heartbeat(struct member_table *table,
			     const struct member *received, int64_t now_ms)
{
	struct member *known = find(table, received->name_hash);

	if (!known)
		return true;
	if (known == member_self(table) || !is_newer(received, known))
		return false;
	if (received->incarnation != known->incarnation)
		return true;
	known->heartbeat = received->heartbeat;
	known->document_version = received->document_version;
	known->flags = received->flags & MEMBER_FLAGS_MASK;
	known->last_heard_ms = now_ms;
	set_state(known, MEMBER_LIVE);
	return false;
}

bool member_update_details(struct member_table *table,
			   const struct member *details, int64_t now_ms)
{
	struct member *known = find(table, details->name_hash);
	struct member *fresh;

	if (known == member_self(table))
		return false;
	if (known && known->incarnation >= details->incarnation)
		return false;
	if (!known && table->members->len >= MEMBERS_MAX)
		return false;
	fresh = copy_member(details);
	fresh->heartbeat = 0;
	fresh->state = MEMBER_LIVE;
	fresh->last_heard_ms = now_ms;
	fresh->flags &= MEMBER_FLAGS_MASK;
	log_info("member", "%s name=%s domain=%s address=%s",
		 known ? "restarted" : "joined", fresh->name,
		 fresh->failure_domain, fresh->http_address);
	if (known)
		g_ptr_array_remove(table->members, known);
	g_ptr_array_add(table->members, fresh);
	return true;
}

static void discount_pause(struct member_table *table, int64_t pause_ms)
{
	uint32_t i;

	log_warn("member", "this process was paused pause_ms=%" PRId64, pause_ms);
	for (i = 0; i < table->members->len; i++)
		((struct member *)table->members->pdata[i])->last_heard_ms +=
			pause_ms;
}

static enum member_state state_after_silence(int64_t silent_ms)
{
	if (silent_ms >= MEMBER_DEAD_MS)
		return MEMBER_DEAD;
	if (silent_ms >= MEMBER_SUSPECT_MS)
		return MEMBER_SUSPECT;
	return MEMBER_LIVE;
}

bool member_tick(struct member_table *table, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - table->last_tick_ms;
	bool changed = false;
	uint32_t i;

	table->last_tick_ms = now_ms;
	if (elapsed_ms > TICK_GAP_MAX_MS)
		discount_pause(table, elapsed_ms);
	member_self(table)->heartbeat++;
	member_self(table)->last_heard_ms = now_ms;
	for (i = 1; i < table->members->len; i++) {
		struct member *member = table->members->pdata[i];
		int64_t silent_ms = now_ms - member->last_heard_ms;
		enum member_state state = state_after_silence(silent_ms);

		changed = changed || state != member->state;
		set_state(member, state);
		if (silent_ms < MEMBER_FORGET_MS)
			continue;
		g_ptr_array_remove_index(table->members, i);
		i--;
	}
	return changed;
}

uint32_t member_rank(const struct member_table *table, const char *role)
{
	XXH64_hash_t seed = XXH64(role, strlen(role), 0);
	const struct member *self = table->members->pdata[0];
	XXH64_hash_t own = XXH64(&self->name_hash, sizeof(uint64_t), seed);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 1; i < table->members->len; i++) {
		const struct member *member = table->members->pdata[i];

		if (member->state == MEMBER_LIVE &&
		    XXH64(&member->name_hash, sizeof(uint64_t), seed) < own)
			rank++;
	}
	return rank;
}

uint32_t member_count_versions(const struct member_table *table,
			       struct member_version_count *versions,
			       uint32_t max)
{
	uint32_t used = 0;
	uint32_t i, k;

	for (i = 0; i < table->members->len; i++) {
		const struct member *member = table->members->pdata[i];

		if (member->state != MEMBER_LIVE)
			continue;
		for (k = 0; k < used; k++)
			if (versions[k].version == member->document_version)
				break;
		if (k == max)
			continue;
		if (k == used) {
			versions[used].version = member->document_version;
			versions[used++].count = 0;
		}
		versions[k].count++;
	}
	return used;
}

uint64_t member_hash(const struct member *member)
{
	uint64_t parts[3] = { member->name_hash, member->incarnation,
			      member->flags };

	return XXH64(parts, sizeof(parts), 0);
}

uint64_t member_table_hash(const struct member_table *table)
{
	uint64_t sum = 0;
	uint32_t i;

	/* a sum does not depend on the order of the members in the table */
	for (i = 0; i < table->members->len; i++) {
		const struct member *member = table->members->pdata[i];

		if (member->state == MEMBER_LIVE)
			sum += member_hash(member);
	}
	return sum;
}
