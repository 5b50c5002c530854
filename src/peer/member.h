#ifndef PEER_MEMBER_H
#define PEER_MEMBER_H

#include <glib.h>

#include "peer/member_defs.h"

/**
 * @file
 * The entry VMs of one failure domain, from heartbeats that its members pass
 * on. Pure: no I/O, no locks; one thread owns a table.
 */

/** Silence after which a member is suspect, and then dead. */
#define MEMBER_SUSPECT_MS 4000
#define MEMBER_DEAD_MS 12000
/** A dead member is forgotten after this. */
#define MEMBER_FORGET_MS 120000
#define MEMBERS_MAX 1024

struct member_table;

/** @param self copied; its heartbeat starts at one. */
struct member_table *member_table_new(const struct member *self, int64_t now_ms);
void member_table_free(struct member_table *table);

/** @return this process's own record, which the owner may change. */
struct member *member_self(struct member_table *table);

/**
 * Takes in what a peer says of a member.
 *
 * @return whether the member's details are unknown and should be asked for.
 */
bool member_hear(struct member_table *table, const struct member *heard,
		 int64_t now_ms);

/**
 * Takes in a member's details, from an answer or a list of VMs.
 *
 * @return whether something new was learnt.
 */
bool member_learn(struct member_table *table, const struct member *details,
		  int64_t now_ms);

/**
 * Counts the own heartbeat up, and marks silent members.
 *
 * A pause of this process must not condemn the others: time in which it did
 * not tick is not counted as their silence.
 *
 * @return whether a state changed.
 */
bool member_tick(struct member_table *table, int64_t now_ms);

/** @return the number of members known, the own one included. */
uint32_t member_count(const struct member_table *table);

/** @return the member at an index below member_count(). */
const struct member *member_at(const struct member_table *table, uint32_t index);

/** @return a member, or NULL. */
const struct member *member_find(const struct member_table *table,
				 uint64_t name_hash);

/**
 * @return this process's place, from 0, among the live members in an order
 * that all of them compute alike for `duty`.
 */
uint32_t member_rank(const struct member_table *table, const char *duty);

/** Counts live members by document version. @return versions written. */
uint32_t member_versions(const struct member_table *table,
			 struct member_versions *versions, uint32_t max);

/** @return a hash of what a digest of a failure domain says of a member. */
uint64_t member_hash(const struct member *member);

/**
 * @return a hash over the live members that changes when one joins, leaves,
 * restarts or changes its flags.
 */
uint64_t member_table_hash(const struct member_table *table);

#endif
