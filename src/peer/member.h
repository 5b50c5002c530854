#ifndef PEER_MEMBER_H
#define PEER_MEMBER_H

#include <glib.h>

#include "peer/member_defs.h"

/**
 * @file
 * Membership table of one failure domain: its entry VMs and their liveness,
 * from heartbeats that members forward to each other. No I/O and no locks; a
 * table belongs to one thread.
 */

/** Time without a heartbeat until a member is suspect, and until it is dead. */
#define MEMBER_SUSPECT_MS 4000
#define MEMBER_DEAD_MS 12000
/** Time without a heartbeat until a member is removed from the table. */
#define MEMBER_FORGET_MS 120000
#define MEMBERS_MAX 1024

struct member_table;

/**
 * @param self this process's record; copied; its heartbeat starts at 1.
 * @return a table that the caller frees with member_table_free(), or NULL.
 */
struct member_table *member_table_new(const struct member *self, int64_t now_ms);
void member_table_free(struct member_table *table);

/** @return this process's record, which the table's owner may change. */
struct member *member_self(struct member_table *table);

/**
 * Updates a member from a heartbeat entry sent by a peer. Entries that are not
 * newer are ignored.
 *
 * @return whether the caller should request the member's details: the member
 * is unknown or has restarted.
 */
bool member_update_heartbeat(struct member_table *table,
			     const struct member *received, int64_t now_ms);

/**
 * Adds a member, or replaces it if its incarnation is newer.
 *
 * @return whether the table changed.
 */
bool member_update_details(struct member_table *table,
			   const struct member *details, int64_t now_ms);

/**
 * Increments the own heartbeat, updates the states of the other members and
 * removes those silent for MEMBER_FORGET_MS.
 *
 * A pause of this process must not make the other members look dead, so the
 * time in which it was paused is not counted against them.
 *
 * @return whether a state changed.
 */
bool member_tick(struct member_table *table, int64_t now_ms);

/** @return the number of members, this process included. */
uint32_t member_count(const struct member_table *table);

/** @return the member at an index below member_count(). */
const struct member *member_at(const struct member_table *table, uint32_t index);

/** @return a member, or NULL. */
const struct member *member_find(const struct member_table *table,
				 uint64_t name_hash);

/**
 * Ranks the live members for a role, such as "delegate". All members with the
 * same table compute the same ranking.
 *
 * @return this process's rank, from 0.
 */
uint32_t member_rank(const struct member_table *table, const char *role);

/** Counts live members per document version. @return entries written. */
uint32_t member_count_versions(const struct member_table *table,
			       struct member_version_count *versions,
			       uint32_t max);

/** @return the hash of a member that member_table_hash() sums up. */
uint64_t member_hash(const struct member *member);

/**
 * @return a hash over the live members that changes when one joins, leaves,
 * restarts or changes its flags.
 */
uint64_t member_table_hash(const struct member_table *table);

#endif
