#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "peer/peer_internal.h"

/**
 * @file
 * The messages that an entry VM sends of its own accord.
 *
 * Each heartbeat goes to a few members of the failure domain, drawn at random,
 * and holds what the sender heard of all of them, so the cost of a VM does not
 * grow with the fleet. Delegates send the domain's digest to one member of
 * each other domain.
 */

#define FANOUT 2
#define ANNOUNCE_FANOUT 4
#define DELEGATES 2
#define DELEGATE_PERIOD_MS 2000
#define SEED_PERIOD_MS 3000
#define JOIN_PERIOD_MS 1000
#define JOIN_MS 5000
#define JOIN_SEEDS_MAX 64U
#define POSITION_ASK_PERIOD_MS 500
#define POSITION_ASK_MS 5000

bool peer_is_cut(const struct peer *peer, const char *domain)
{
	char *part;
	bool cut;

	if (!peer->cut)
		return false;
	if (!*domain)
		return true; /* it may be one that is cut */
	part = g_strdup_printf(",%s,", domain);
	cut = strstr(peer->cut, part);
	g_free(part);
	return cut;
}

void peer_message_init(struct peer *peer, Wire__Envelope *envelope)
{
	struct member *self = member_self(peer->table);

	wire__envelope__init(envelope);
	envelope->protocol = WIRE_PROTOCOL;
	envelope->sender = self->name;
	envelope->sender_domain = self->failure_domain;
	envelope->sender_address = self->peer_address;
	envelope->document_version = self->document_version;
}

void peer_message_send(struct peer *peer, const Wire__Envelope *envelope,
		       const char *address, const char *domain)
{
	size_t byte_count;
	void *bytes;

	if (peer_is_cut(peer, domain))
		return;
	bytes = wire_pack(envelope, &byte_count);
	if (!bytes)
		return;
	if (!link_send(peer->link, address, bytes, byte_count)) {
		counter_add(COUNTER_PEER_MESSAGES_OUT, 1);
		counter_add(COUNTER_PEER_BYTES_OUT, byte_count);
	}
	free(bytes);
}

/** Room for one heartbeat with everything it points to. */
struct heartbeat {
	Wire__Envelope envelope;
	Wire__Heartbeat body;
	Wire__Entry *entries;
	Wire__Entry **entry_list;
	Wire__DomainDigest *digests;
	Wire__DomainDigest **digest_list;
	Wire__VersionCount *versions;
	Wire__VersionCount **version_list;
};

static void add_entries(struct heartbeat *heartbeat, const struct peer *peer)
{
	uint32_t count = member_count(peer->table);
	uint32_t i;

	heartbeat->entries = g_new0(Wire__Entry, count);
	heartbeat->entry_list = g_new0(Wire__Entry *, count);
	for (i = 0; i < count; i++) {
		const struct member *member = member_at(peer->table, i);
		Wire__Entry *entry;

		if (member->state == MEMBER_DEAD)
			continue;
		entry = &heartbeat->entries[heartbeat->body.n_entries];
		wire__entry__init(entry);
		entry->name_hash = member->name_hash;
		entry->incarnation = member->incarnation;
		entry->heartbeat = member->heartbeat;
		entry->document_version = member->document_version;
		entry->flags = member->flags;
		heartbeat->entry_list[heartbeat->body.n_entries++] = entry;
	}
	heartbeat->body.entries = heartbeat->entry_list;
}

static void set_digest(struct heartbeat *heartbeat, uint32_t index,
		       struct domain *domain)
{
	Wire__DomainDigest *digest = &heartbeat->digests[index];
	uint32_t first = index * MEMBER_VERSIONS_MAX;
	uint32_t i;

	wire__domain_digest__init(digest);
	digest->domain = domain->name;
	digest->stamp = domain->stamp;
	digest->table_hash = domain->table_hash;
	digest->n_versions = domain->version_count;
	digest->versions = &heartbeat->version_list[first];
	for (i = 0; i < domain->version_count; i++) {
		Wire__VersionCount *count = &heartbeat->versions[first + i];

		wire__version_count__init(count);
		count->version = domain->versions[i].version;
		count->count = domain->versions[i].count;
		heartbeat->version_list[first + i] = count;
	}
	heartbeat->digest_list[index] = digest;
}

static void add_digests(struct heartbeat *heartbeat, struct peer *peer)
{
	uint32_t count = peer->domains.count;
	uint32_t used = 0;
	uint32_t i;

	heartbeat->digests = g_new0(Wire__DomainDigest, count + 1);
	heartbeat->digest_list = g_new0(Wire__DomainDigest *, count + 1);
	heartbeat->versions =
		g_new0(Wire__VersionCount, (count + 1) * MEMBER_VERSIONS_MAX);
	heartbeat->version_list =
		g_new0(Wire__VersionCount *, (count + 1) * MEMBER_VERSIONS_MAX);
	for (i = 0; i < count; i++)
		if (peer->domains.domains[i]->reachable)
			set_digest(heartbeat, used++, peer->domains.domains[i]);
	heartbeat->body.domains = heartbeat->digest_list;
	heartbeat->body.n_domains = used;
}

static void heartbeat_init(struct heartbeat *heartbeat, struct peer *peer)
{
	memset(heartbeat, 0, sizeof(*heartbeat));
	peer_message_init(peer, &heartbeat->envelope);
	wire__heartbeat__init(&heartbeat->body);
	heartbeat->envelope.heartbeat = &heartbeat->body;
	heartbeat->envelope.body_case = WIRE__ENVELOPE__BODY_HEARTBEAT;
}

static void heartbeat_clear(struct heartbeat *heartbeat)
{
	g_free(heartbeat->entries);
	g_free(heartbeat->entry_list);
	g_free(heartbeat->digests);
	g_free(heartbeat->digest_list);
	g_free(heartbeat->versions);
	g_free(heartbeat->version_list);
}

/** Sends to up to `fanout` members of the domain, drawn without repeats. */
static void send_in_domain(struct peer *peer, const Wire__Envelope *envelope,
			   uint32_t fanout)
{
	uint32_t count = member_count(peer->table);
	uint32_t *order = g_new(uint32_t, count);
	uint32_t i, at, sent = 0;

	for (i = 0; i < count; i++)
		order[i] = i;
	for (i = 1; i < count && sent < fanout; i++) {
		const struct member *member;

		at = (uint32_t)g_rand_int_range(peer->random, (gint32)i,
						(gint32)count);
		member = member_at(peer->table, order[at]);
		order[at] = order[i];
		if (member->state == MEMBER_DEAD)
			continue;
		peer_message_send(peer, envelope, member->peer_address,
				  member->failure_domain);
		sent++;
	}
	g_free(order);
}

static void send_heartbeat(struct peer *peer, uint32_t fanout)
{
	struct heartbeat heartbeat;

	heartbeat_init(&heartbeat, peer);
	add_entries(&heartbeat, peer);
	add_digests(&heartbeat, peer);
	send_in_domain(peer, &heartbeat.envelope, fanout);
	heartbeat_clear(&heartbeat);
}

/**
 * Puts the own domain's present state into the list of domains. Not while this
 * VM joins: what it knows of its domain then would replace, as the newest
 * digest, what the others know.
 */
static void renew_own_domain(struct peer *peer, int64_t now_ms)
{
	const struct member *self = member_self(peer->table);
	struct domain digest;
	struct domain *own;

	if (now_ms - peer->started_ms < JOIN_MS)
		return;
	memset(&digest, 0, sizeof(digest));
	memcpy(digest.name, self->failure_domain, sizeof(digest.name));
	digest.stamp = (uint64_t)clock_unix_ms(&clock_system);
	digest.table_hash = member_table_hash(peer->table);
	digest.version_count = member_versions(peer->table, digest.versions,
					       MEMBER_VERSIONS_MAX);
	domain_hear(&peer->domains, &digest, now_ms);
	own = domain_find(&peer->domains, digest.name);
	if (!own)
		return;
	own->reachable = true;
	own->held_hash = own->table_hash; /* it is never fetched */
}

/** One member of a domain, drawn at random, or NULL. */
static const struct member *draw_member(struct peer *peer,
					const struct domain *domain)
{
	if (!domain->member_count)
		return NULL;
	return &domain->members[g_rand_int_range(peer->random, 0,
						 (gint32)domain->member_count)];
}

static void send_to_domains(struct peer *peer, const Wire__Envelope *envelope)
{
	const struct member *to;
	uint32_t i;

	for (i = 0; i < peer->domains.count; i++) {
		to = draw_member(peer, peer->domains.domains[i]);
		if (to)
			peer_message_send(peer, envelope, to->peer_address,
					  to->failure_domain);
	}
}

static void send_digests(struct peer *peer)
{
	struct heartbeat heartbeat;

	heartbeat_init(&heartbeat, peer);
	add_digests(&heartbeat, peer);
	send_to_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}

/** The failure domain of an address that a member is known to have, or "". */
static const char *domain_of(const struct peer *peer, const char *address)
{
	const struct member *member;
	uint32_t i, k;

	for (i = 0; i < member_count(peer->table); i++) {
		member = member_at(peer->table, i);
		if (!strcmp(member->peer_address, address))
			return member->failure_domain;
	}
	for (i = 0; i < peer->domains.count; i++)
		for (k = 0; k < peer->domains.domains[i]->member_count; k++) {
			member = &peer->domains.domains[i]->members[k];
			if (!strcmp(member->peer_address, address))
				return member->failure_domain;
		}
	return "";
}

static void send_to_seed(struct peer *peer, const Wire__Envelope *envelope,
			 uint32_t index)
{
	const char *address = peer->seeds->pdata[index];

	if (strcmp(address, member_self(peer->table)->peer_address) != 0)
		peer_message_send(peer, envelope, address,
				  domain_of(peer, address));
}

/**
 * Speaks to one seed, so that parts that lost each other meet again. A member
 * that joins, or that knows no other of its domain, speaks to many: few seeds
 * are of its own domain.
 */
static void send_to_seeds(struct peer *peer, int64_t now_ms)
{
	bool joining = now_ms - peer->started_ms < JOIN_MS ||
		       member_count(peer->table) == 1;
	uint32_t count = peer->seeds->len;
	struct heartbeat heartbeat;
	uint32_t start, i;

	peer->seed_at_ms = now_ms + (joining ? JOIN_PERIOD_MS : SEED_PERIOD_MS);
	if (!count)
		return;
	heartbeat_init(&heartbeat, peer);
	add_entries(&heartbeat, peer);
	add_digests(&heartbeat, peer);
	start = (uint32_t)g_rand_int_range(peer->random, 0, (gint32)count);
	for (i = 0; i < count && i < (joining ? JOIN_SEEDS_MAX : 1); i++)
		send_to_seed(peer, &heartbeat.envelope, (start + i) % count);
	heartbeat_clear(&heartbeat);
}

static void ask_positions(struct peer *peer, int64_t now_ms)
{
	Wire__PositionRequest body = WIRE__POSITION_REQUEST__INIT;
	Wire__Envelope envelope;

	if (peer->positions_known || now_ms - peer->started_ms > POSITION_ASK_MS ||
	    now_ms - peer->position_asked_ms < POSITION_ASK_PERIOD_MS)
		return;
	peer->position_asked_ms = now_ms;
	peer_message_init(peer, &envelope);
	envelope.position_request = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_POSITION_REQUEST;
	send_in_domain(peer, &envelope, FANOUT);
}

void peer_gossip(struct peer *peer, int64_t now_ms)
{
	if (now_ms >= peer->heartbeat_at_ms) {
		peer->heartbeat_at_ms = now_ms + peer->heartbeat_ms;
		if (member_tick(peer->table, now_ms))
			peer->view_stale = true;
		if (domain_tick(&peer->domains, now_ms))
			peer->view_stale = true;
		peer->view_stale = true;
		if (member_rank(peer->table, "delegate") < DELEGATES)
			renew_own_domain(peer, now_ms);
		send_heartbeat(peer, FANOUT);
	}
	if (now_ms >= peer->delegate_at_ms) {
		peer->delegate_at_ms = now_ms + DELEGATE_PERIOD_MS;
		if (member_rank(peer->table, "delegate") < DELEGATES)
			send_digests(peer);
	}
	if (now_ms >= peer->seed_at_ms)
		send_to_seeds(peer, now_ms);
	ask_positions(peer, now_ms);
}

void peer_announce(struct peer *peer, int64_t now_ms)
{
	uint64_t version = member_self(peer->table)->document_version;
	struct heartbeat heartbeat;

	if (version == peer->announced_version)
		return;
	peer->announced_version = version;
	renew_own_domain(peer, now_ms);
	heartbeat_init(&heartbeat, peer);
	send_in_domain(peer, &heartbeat.envelope, ANNOUNCE_FANOUT);
	if (peer->watch_rank < DELEGATES)
		send_to_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}

void peer_tell_flags(struct peer *peer, int64_t now_ms)
{
	struct heartbeat heartbeat;

	member_self(peer->table)->heartbeat++;
	renew_own_domain(peer, now_ms);
	heartbeat_init(&heartbeat, peer);
	add_entries(&heartbeat, peer);
	add_digests(&heartbeat, peer);
	send_in_domain(peer, &heartbeat.envelope, UINT32_MAX);
	send_to_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}

void peer_tell_domain(struct peer *peer, char *leaving_backend,
		      uint64_t quarantined)
{
	struct heartbeat heartbeat;

	member_self(peer->table)->heartbeat++;
	heartbeat_init(&heartbeat, peer);
	add_entries(&heartbeat, peer);
	if (leaving_backend) {
		heartbeat.body.leaving_backends = &leaving_backend;
		heartbeat.body.n_leaving_backends = 1;
	}
	if (quarantined) {
		heartbeat.body.quarantined = &quarantined;
		heartbeat.body.n_quarantined = 1;
	}
	send_in_domain(peer, &heartbeat.envelope, UINT32_MAX);
	if (quarantined)
		send_to_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}
