#ifndef PEER_DOMAIN_H
#define PEER_DOMAIN_H

#include <glib.h>

#include "peer/member_defs.h"

/**
 * @file
 * Known state of the other failure domains: a digest that their delegates
 * renew, and a member table that is fetched when the digest's hash changes. No
 * I/O and no locks; a list belongs to one thread.
 */

/** A domain is unreachable when its digest is not renewed for this long. */
#define DOMAIN_TIMEOUT_MS 12000
#define DOMAINS_MAX 64

struct domain {
	char name[MEMBER_NAME_BYTES];
	uint64_t stamp;	       /**< increases with each renewal */
	uint64_t table_hash;   /**< from the newest digest */
	uint64_t members_hash; /**< of `members` */
	struct member_version_count versions[MEMBER_VERSIONS_MAX];
	uint32_t version_count;
	struct member *members;
	uint32_t member_count;
	int64_t renewed_ms;	    /**< when `stamp` last increased here */
	int64_t table_requested_ms; /**< last request for the table */
	bool reachable;
};

struct domain_list {
	struct domain *domains[DOMAINS_MAX];
	uint32_t count;
};

/** Frees the domains; the list is empty afterwards. */
void domain_list_clear(struct domain_list *list);

/** @return the named domain, or NULL. */
struct domain *domain_find(struct domain_list *list, const char *name);

/**
 * Records a digest received from a peer. An older digest is ignored.
 *
 * @param digest its name, stamp, table hash and versions are used.
 * @return the domain when the caller should request its member table, else
 * NULL.
 */
struct domain *domain_record_digest(struct domain_list *list,
				    const struct domain *digest, int64_t now_ms);

/**
 * Replaces a domain's member table; the members are copied. The table is
 * ignored unless `hash` is that of the domain's newest digest.
 *
 * @return whether the table was replaced.
 */
bool domain_update_members(struct domain_list *list, const char *name,
			   uint64_t hash, const struct member *members,
			   uint32_t member_count);

/** Updates which domains are reachable. @return whether one changed. */
bool domain_tick(struct domain_list *list, int64_t now_ms);

#endif
