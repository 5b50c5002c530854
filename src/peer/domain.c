#include "peer/domain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* minimum interval between requests for the same domain's member table */
#define TABLE_REQUEST_INTERVAL_MS 1000

void domain_list_clear(struct domain_list *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		free(list->domains[i]->members);
		free(list->domains[i]);
	}
	list->count = 0;
}

struct domain *domain_find(struct domain_list *list, const char *name)
{
	uint32_t i;

	for (i = 0; i < list->count; i++)
		if (!strcmp(list->domains[i]->name, name))
			return list->domains[i];
	return NULL;
}

static struct domain *find_or_add(struct domain_list *list, const char *name)
{
	struct domain *domain = domain_find(list, name);

	if (domain || list->count == DOMAINS_MAX)
		return domain;
	domain = calloc(1, sizeof(*domain));
	if (!domain)
		return NULL;
	snprintf(domain->name, sizeof(domain->name), "%s", name);
	list->domains[list->count++] = domain;
	return domain;
}

struct domain *domain_record_digest(struct domain_list *list,
				    const struct domain *digest, int64_t now_ms)
{
	struct domain *domain = find_or_add(list, digest->name);

	if (!domain)
		return NULL;
	if (digest->stamp > domain->stamp) {
		domain->stamp = digest->stamp;
		domain->table_hash = digest->table_hash;
		domain->renewed_ms = now_ms;
		domain->version_count = digest->version_count;
		memcpy(domain->versions, digest->versions,
		       sizeof(domain->versions));
	}
	if (domain->table_hash == domain->members_hash ||
	    digest->table_hash != domain->table_hash ||
	    (domain->table_requested_ms &&
	     now_ms - domain->table_requested_ms < TABLE_REQUEST_INTERVAL_MS))
		return NULL;
	domain->table_requested_ms = now_ms;
	return domain;
}

bool domain_update_members(struct domain_list *list, const char *name,
			   uint64_t hash, const struct member *members,
			   uint32_t member_count)
{
	struct domain *domain = domain_find(list, name);
	struct member *copy;

	if (!domain || hash != domain->table_hash || hash == domain->members_hash)
		return false;
	copy = g_memdup2(members, member_count * sizeof(*members));
	free(domain->members);
	domain->members = copy;
	domain->member_count = member_count;
	domain->members_hash = hash;
	log_info("member",
		 "updated members of a failure domain name=%s members=%u", name,
		 member_count);
	return true;
}

bool domain_tick(struct domain_list *list, int64_t now_ms)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		struct domain *domain = list->domains[i];
		bool reachable = domain->renewed_ms &&
				 now_ms - domain->renewed_ms < DOMAIN_TIMEOUT_MS;

		if (reachable == domain->reachable)
			continue;
		log_warn("member", "failure domain is %s name=%s",
			 reachable ? "reachable" : "unreachable", domain->name);
		domain->reachable = reachable;
		changed = true;
	}
	return changed;
}
