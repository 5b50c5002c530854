#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "peer/peer_internal.h"

/**
 * @file
 * Sends the unsolicited messages of an entry VM: heartbeats, digests and
 * announcements.
 *
 * Each heartbeat goes to a few random members of the failure domain and holds
 * the sender's state of all its members, so the number of messages that a VM
 * sends does not grow with the fleet. Delegates send the domain's digest to one
 * random member of each other domain.
 */

#define GOSSIP_FANOUT 2
#define ANNOUNCE_FANOUT 4
#define DELEGATE_COUNT 2
#define DELEGATE_PERIOD_MS 2000
#define SEED_PERIOD_MS 3000
#define JOIN_SEED_PERIOD_MS 1000
#define JOIN_DURATION_MS 5000
#define JOIN_SEEDS_MAX 64U
#define POSITION_REQUEST_PERIOD_MS 500
#define POSITION_REQUEST_WINDOW_MS 5000

bool peer_is_domain_blocked(const struct peer *peer, const char *domain)
{
	char *part;
	bool is_blocked;

	if (!peer->blocked_domains)
		return false;
	if (!*domain)
		return true; /* it may be a blocked one */
	part = g_strdup_printf(",%s,", domain);
	is_blocked = strstr(peer->blocked_domains, part);
	g_free(part);
	return is_blocked;
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

	if (peer_is_domain_blocked(peer, domain))
		return;
	bytes = wire_pack(envelope, &byte_count);
	if (!bytes)
		return;
	if (!peer_transport_send(peer->transport, address, bytes, byte_count)) {
		counter_add(COUNTER_PEER_MESSAGES_OUT, 1);
		counter_add(COUNTER_PEER_BYTES_OUT, byte_count);
	}
	free(bytes);
}

/** One heartbeat message with the storage that it points to. */
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

/** Sends to at most `fanout` distinct random members of the own domain. */
static void send_within_domain(struct peer *peer,
			       const Wire__Envelope *envelope, uint32_t fanout)
{
	uint32_t count = member_count(peer->table);
	uint32_t *indices = g_new(uint32_t, count);
	uint32_t i, picked, sent = 0;

	for (i = 0; i < count; i++)
		indices[i] = i;
	for (i = 1; i < count && sent < fanout; i++) {
		const struct member *member;

		picked = (uint32_t)g_rand_int_range(peer->random, (gint32)i,
						    (gint32)count);
		member = member_at(peer->table, indices[picked]);
		indices[picked] = indices[i];
		if (member->state == MEMBER_DEAD)
			continue;
		peer_message_send(peer, envelope, member->peer_address,
				  member->failure_domain);
		sent++;
	}
	g_free(indices);
}

static void send_heartbeat(struct peer *peer, uint32_t fanout)
{
	struct heartbeat heartbeat;

	heartbeat_init(&heartbeat, peer);
	add_entries(&heartbeat, peer);
	add_digests(&heartbeat, peer);
	send_within_domain(peer, &heartbeat.envelope, fanout);
	heartbeat_clear(&heartbeat);
}

/**
 * Records the own domain's current state in the list of domains. Skipped while
 * this VM joins: its member table is still incomplete then, and a digest of it
 * would replace, as the newest one, the digests of the other members.
 */
static void update_own_digest(struct peer *peer, int64_t now_ms)
{
	const struct member *self = member_self(peer->table);
	struct domain digest;
	struct domain *own;

	if (now_ms - peer->started_ms < JOIN_DURATION_MS)
		return;
	memset(&digest, 0, sizeof(digest));
	memcpy(digest.name, self->failure_domain, sizeof(digest.name));
	digest.stamp = (uint64_t)clock_unix_ms(&clock_system);
	digest.table_hash = member_table_hash(peer->table);
	digest.version_count = member_count_versions(peer->table, digest.versions,
						     MEMBER_VERSIONS_MAX);
	domain_record_digest(&peer->domains, &digest, now_ms);
	own = domain_find(&peer->domains, digest.name);
	if (!own)
		return;
	own->reachable = true;
	own->members_hash = own->table_hash; /* never fetched from peers */
}

/** @return a random member of a domain, or NULL if none is known. */
static const struct member *pick_random_member(struct peer *peer,
					       const struct domain *domain)
{
	if (!domain->member_count)
		return NULL;
	return &domain->members[g_rand_int_range(peer->random, 0,
						 (gint32)domain->member_count)];
}

static void send_to_other_domains(struct peer *peer,
				  const Wire__Envelope *envelope)
{
	const struct member *to;
	uint32_t i;

	for (i = 0; i < peer->domains.count; i++) {
		to = pick_random_member(peer, peer->domains.domains[i]);
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
	send_to_other_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}

/** @return the failure domain of the member at an address, "" if unknown. */
static const char *domain_of_address(const struct peer *peer, const char *address)
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
				  domain_of_address(peer, address));
}

/**
 * Sends a heartbeat to one seed, so that the fleet reconnects after a network
 * partition. A VM that joins, or that knows no other member of its domain,
 * sends to up to JOIN_SEEDS_MAX seeds, as few of them are in its own domain.
 */
static void send_to_seeds(struct peer *peer, int64_t now_ms)
{
	bool joining = now_ms - peer->started_ms < JOIN_DURATION_MS ||
		       member_count(peer->table) == 1;
	uint32_t count = peer->seeds->len;
	struct heartbeat heartbeat;
	uint32_t start, i;

	peer->next_seed_ms =
		now_ms + (joining ? JOIN_SEED_PERIOD_MS : SEED_PERIOD_MS);
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

static void request_positions(struct peer *peer, int64_t now_ms)
{
	Wire__PositionRequest body = WIRE__POSITION_REQUEST__INIT;
	Wire__Envelope envelope;

	if (peer->positions_received ||
	    now_ms - peer->started_ms > POSITION_REQUEST_WINDOW_MS ||
	    now_ms - peer->positions_requested_ms < POSITION_REQUEST_PERIOD_MS)
		return;
	peer->positions_requested_ms = now_ms;
	peer_message_init(peer, &envelope);
	envelope.position_request = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_POSITION_REQUEST;
	send_within_domain(peer, &envelope, GOSSIP_FANOUT);
}

void peer_send_due_messages(struct peer *peer, int64_t now_ms)
{
	if (now_ms >= peer->next_heartbeat_ms) {
		peer->next_heartbeat_ms = now_ms + peer->heartbeat_ms;
		if (member_tick(peer->table, now_ms))
			peer->view_stale = true;
		if (domain_tick(&peer->domains, now_ms))
			peer->view_stale = true;
		peer->view_stale = true;
		if (member_rank(peer->table, "delegate") < DELEGATE_COUNT)
			update_own_digest(peer, now_ms);
		send_heartbeat(peer, GOSSIP_FANOUT);
	}
	if (now_ms >= peer->next_digest_ms) {
		peer->next_digest_ms = now_ms + DELEGATE_PERIOD_MS;
		if (member_rank(peer->table, "delegate") < DELEGATE_COUNT)
			send_digests(peer);
	}
	if (now_ms >= peer->next_seed_ms)
		send_to_seeds(peer, now_ms);
	request_positions(peer, now_ms);
}

void peer_announce_document(struct peer *peer, int64_t now_ms)
{
	uint64_t version = member_self(peer->table)->document_version;
	struct heartbeat heartbeat;

	if (version == peer->announced_version)
		return;
	peer->announced_version = version;
	update_own_digest(peer, now_ms);
	heartbeat_init(&heartbeat, peer);
	send_within_domain(peer, &heartbeat.envelope, ANNOUNCE_FANOUT);
	if (peer->watch_rank < DELEGATE_COUNT)
		send_to_other_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}

void peer_announce_flags(struct peer *peer, int64_t now_ms)
{
	struct heartbeat heartbeat;

	member_self(peer->table)->heartbeat++;
	update_own_digest(peer, now_ms);
	heartbeat_init(&heartbeat, peer);
	add_entries(&heartbeat, peer);
	add_digests(&heartbeat, peer);
	send_within_domain(peer, &heartbeat.envelope, UINT32_MAX);
	send_to_other_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}

void peer_announce_events(struct peer *peer, char *leaving_backend,
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
	send_within_domain(peer, &heartbeat.envelope, UINT32_MAX);
	if (quarantined)
		send_to_other_domains(peer, &heartbeat.envelope);
	heartbeat_clear(&heartbeat);
}
