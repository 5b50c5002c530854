#ifndef PEER_DOMAIN_H
#define PEER_DOMAIN_H

#include <glib.h>

#include "peer/member_defs.h"

/**
 * @file
 * What is known of the other failure domains: a digest that their delegates
 * renew, and a table of members that is fetched when the digest's hash
 * changes. Pure: no I/O, no locks; one thread owns it.
 */

/** A domain whose digest was not renewed for this long is unreachable. */
#define DOMAIN_SILENT_MS 12000
#define DOMAINS_MAX 64

struct domain {
	char name[MEMBER_NAME_BYTES];
	uint64_t stamp;	     /**< rises with each renewal */
	uint64_t table_hash; /**< of the newest digest */
	uint64_t held_hash;  /**< of the table that is held */
	struct member_versions versions[MEMBER_VERSIONS_MAX];
	uint32_t version_count;
	struct member *members;
	uint32_t member_count;
	int64_t renewed_ms;
	int64_t asked_ms; /**< when the table was last asked for */
	bool reachable;
};

struct domain_list {
	struct domain *domains[DOMAINS_MAX];
	uint32_t count;
};

void domain_list_clear(struct domain_list *list);

/** @return the named domain, or NULL. */
struct domain *domain_find(struct domain_list *list, const char *name);

/**
 * Takes in a digest.
 *
 * @param digest its name, stamp, hash and versions are used.
 * @return the domain when its table should be fetched, else NULL.
 */
struct domain *domain_hear(struct domain_list *list,
			   const struct domain *digest, int64_t now_ms);

/**
 * Takes in a table; the members are copied.
 *
 * @return whether the table is newer than the one held.
 */
bool domain_learn(struct domain_list *list, const char *name, uint64_t hash,
		  const struct member *members, uint32_t member_count);

/** Marks silent domains. @return whether one changed. */
bool domain_tick(struct domain_list *list, int64_t now_ms);

#endif
