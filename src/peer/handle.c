#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "decide/rank.h"
#include "peer/peer_internal.h"

/**
 * @file
 * Handles the messages that an entry VM receives from its peers.
 */

#define NAME_BYTES MEMBER_NAME_BYTES
/* keeps this VM from requesting the same document from several peers at once */
#define DOCUMENT_REQUEST_PERIOD_MS 300

static void send_reply(struct peer *peer, const Wire__Envelope *to,
		       const Wire__Envelope *envelope)
{
	peer_message_send(peer, envelope, to->sender_address, to->sender_domain);
}

static void encode_member(Wire__Member *wire, const struct member *member)
{
	wire__member__init(wire);
	wire->name = (char *)member->name;
	wire->failure_domain = (char *)member->failure_domain;
	wire->http_address = (char *)member->http_address;
	wire->peer_address = (char *)member->peer_address;
	wire->incarnation = member->incarnation;
	wire->flags = member->flags;
}

static void decode_member(struct member *member, const Wire__Member *wire)
{
	memset(member, 0, sizeof(*member));
	snprintf(member->name, NAME_BYTES, "%s", wire->name);
	snprintf(member->failure_domain, NAME_BYTES, "%s", wire->failure_domain);
	snprintf(member->http_address, sizeof(member->http_address), "%s",
		 wire->http_address);
	snprintf(member->peer_address, sizeof(member->peer_address), "%s",
		 wire->peer_address);
	member->name_hash = rank_hash(member->name);
	member->incarnation = wire->incarnation;
	member->flags = wire->flags;
}

static bool is_own_domain(const struct peer *peer, const char *domain)
{
	return !strcmp(domain, member_self(peer->table)->failure_domain);
}

static void request_details(struct peer *peer, const Wire__Envelope *from,
			    uint64_t *name_hashes, size_t count)
{
	Wire__DetailRequest body = WIRE__DETAIL_REQUEST__INIT;
	Wire__Envelope envelope;

	if (!count)
		return;
	body.name_hashes = name_hashes;
	body.n_name_hashes = count;
	peer_message_init(peer, &envelope);
	envelope.detail_request = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_DETAIL_REQUEST;
	send_reply(peer, from, &envelope);
}

static void handle_entries(struct peer *peer, const Wire__Envelope *from,
			   const Wire__Heartbeat *heartbeat, int64_t now_ms)
{
	uint64_t *unknown;
	size_t count = 0;
	size_t i;

	if (!is_own_domain(peer, from->sender_domain))
		return;
	unknown = g_new(uint64_t, heartbeat->n_entries + 1);
	for (i = 0; i < heartbeat->n_entries; i++) {
		const Wire__Entry *entry = heartbeat->entries[i];
		struct member received = {
			.name_hash = entry->name_hash,
			.incarnation = entry->incarnation,
			.heartbeat = entry->heartbeat,
			.document_version = entry->document_version,
			.flags = entry->flags,
		};

		if (member_update_heartbeat(peer->table, &received, now_ms))
			unknown[count++] = entry->name_hash;
	}
	request_details(peer, from, unknown, count);
	g_free(unknown);
}

static void request_domain_table(struct peer *peer, const Wire__Envelope *from,
				 char *domain)
{
	Wire__DomainRequest body = WIRE__DOMAIN_REQUEST__INIT;
	Wire__Envelope envelope;

	body.domain = domain;
	peer_message_init(peer, &envelope);
	envelope.domain_request = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_DOMAIN_REQUEST;
	send_reply(peer, from, &envelope);
}

static void handle_digest(struct peer *peer, const Wire__Envelope *from,
			  const Wire__DomainDigest *wire, int64_t now_ms)
{
	struct domain digest;
	struct domain *wanted;
	size_t i;

	if (is_own_domain(peer, wire->domain))
		return;
	memset(&digest, 0, sizeof(digest));
	snprintf(digest.name, sizeof(digest.name), "%s", wire->domain);
	digest.stamp = wire->stamp;
	digest.table_hash = wire->table_hash;
	for (i = 0; i < wire->n_versions && i < MEMBER_VERSIONS_MAX; i++) {
		digest.versions[i].version = wire->versions[i]->version;
		digest.versions[i].count = wire->versions[i]->count;
		digest.version_count++;
	}
	wanted = domain_record_digest(&peer->domains, &digest, now_ms);
	if (wanted)
		request_domain_table(peer, from, wanted->name);
}

static void handle_heartbeat(struct peer *peer, const Wire__Envelope *from,
			     int64_t now_ms)
{
	const Wire__Heartbeat *heartbeat = from->heartbeat;
	size_t i;

	handle_entries(peer, from, heartbeat, now_ms);
	for (i = 0; i < heartbeat->n_domains; i++)
		handle_digest(peer, from, heartbeat->domains[i], now_ms);
	for (i = 0; i < heartbeat->n_leaving_backends; i++)
		peer->callbacks.backend_leaving(peer->callbacks.context,
						heartbeat->leaving_backends[i]);
	for (i = 0; i < heartbeat->n_quarantined; i++)
		peer->callbacks.quarantined(peer->callbacks.context,
					    heartbeat->quarantined[i]);
}

static void send_details(struct peer *peer, const Wire__Envelope *from)
{
	const Wire__DetailRequest *request = from->detail_request;
	size_t max = request->n_name_hashes + 1;
	Wire__Member *members = g_new0(Wire__Member, max);
	Wire__Member **list = g_new0(Wire__Member *, max);
	Wire__DetailReply body = WIRE__DETAIL_REPLY__INIT;
	Wire__Envelope envelope;
	size_t i;

	for (i = 0; i < request->n_name_hashes; i++) {
		const struct member *member =
			member_find(peer->table, request->name_hashes[i]);

		if (!member)
			continue;
		encode_member(&members[body.n_members], member);
		list[body.n_members] = &members[body.n_members];
		body.n_members++;
	}
	body.members = list;
	peer_message_init(peer, &envelope);
	envelope.detail_reply = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_DETAIL_REPLY;
	send_reply(peer, from, &envelope);
	g_free(members);
	g_free(list);
}

static void handle_detail_reply(struct peer *peer,
				const Wire__DetailReply *details, int64_t now_ms)
{
	struct member member;
	size_t i;

	for (i = 0; i < details->n_members; i++) {
		decode_member(&member, details->members[i]);
		if (!is_own_domain(peer, member.failure_domain) ||
		    !schema_is_address(member.peer_address) ||
		    !schema_is_address(member.http_address))
			continue;
		if (member_update_details(peer->table, &member, now_ms))
			peer->view_stale = true;
	}
}

static void add_table_member(Wire__DomainTable *body, Wire__Member *members,
			     const struct member *member)
{
	Wire__Member *wire = &members[body->n_members];

	encode_member(wire, member);
	body->members[body->n_members++] = wire;
}

static void send_domain_table(struct peer *peer, const Wire__Envelope *from)
{
	const char *name = from->domain_request->domain;
	struct domain *domain = domain_find(&peer->domains, name);
	Wire__DomainTable body = WIRE__DOMAIN_TABLE__INIT;
	bool own = is_own_domain(peer, name);
	Wire__Envelope envelope;
	Wire__Member *members;
	uint32_t max, i;

	if (!domain)
		return;
	max = own ? member_count(peer->table) : domain->member_count;
	members = g_new0(Wire__Member, max + 1);
	body.members = g_new0(Wire__Member *, max + 1);
	body.domain = domain->name;
	body.stamp = domain->stamp;
	for (i = 0; i < max; i++) {
		const struct member *member =
			own ? member_at(peer->table, i) : &domain->members[i];

		if (!own || member->state == MEMBER_LIVE)
			add_table_member(&body, members, member);
	}
	peer_message_init(peer, &envelope);
	envelope.domain_table = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_DOMAIN_TABLE;
	send_reply(peer, from, &envelope);
	g_free(members);
	g_free(body.members);
}

static void handle_domain_table(struct peer *peer, const Wire__DomainTable *table)
{
	struct member *members = g_new0(struct member, table->n_members + 1);
	uint64_t hash = 0;
	size_t i;

	for (i = 0; i < table->n_members; i++) {
		decode_member(&members[i], table->members[i]);
		hash += member_hash(&members[i]);
	}
	if (domain_update_members(&peer->domains, table->domain, hash, members,
				  (uint32_t)table->n_members))
		peer->view_stale = true;
	g_free(members);
}

static void request_document(struct peer *peer, const Wire__Envelope *from,
			     int64_t now_ms)
{
	Wire__DocumentRequest body = WIRE__DOCUMENT_REQUEST__INIT;
	Wire__Envelope envelope;

	if (now_ms - peer->document_requested_ms < DOCUMENT_REQUEST_PERIOD_MS)
		return;
	peer->document_requested_ms = now_ms;
	body.above_version = current_version(peer->current);
	peer_message_init(peer, &envelope);
	envelope.document_request = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_DOCUMENT_REQUEST;
	send_reply(peer, from, &envelope);
}

static void send_document(struct peer *peer, const Wire__Envelope *from)
{
	struct current_document *current = current_get(peer->current);
	Wire__DocumentReply body = WIRE__DOCUMENT_REPLY__INIT;
	Wire__Envelope envelope;

	if (current &&
	    current->doc->version > from->document_request->above_version) {
		body.text.data = (uint8_t *)current->text;
		body.text.len = current->text_bytes;
		peer_message_init(peer, &envelope);
		envelope.document_reply = &body;
		envelope.body_case = WIRE__ENVELOPE__BODY_DOCUMENT_REPLY;
		send_reply(peer, from, &envelope);
	}
	current_unref(current);
}

static void handle_document_reply(struct peer *peer, const Wire__Envelope *from)
{
	const Wire__DocumentReply *body = from->document_reply;

	if (current_apply(peer->current, (const char *)body->text.data,
			  (uint32_t)body->text.len,
			  from->sender) == CURRENT_INVALID)
		log_warn("peer", "document sent by a peer is not valid peer=%s",
			 from->sender);
}

static void send_positions(struct peer *peer, const Wire__Envelope *from)
{
	Wire__PositionReply body = WIRE__POSITION_REPLY__INIT;
	GPtrArray *list = g_ptr_array_new();
	struct steer_position position;
	char service[NAME_BYTES], region[NAME_BYTES];
	Wire__Envelope envelope;
	uint32_t i;

	for (i = 0; peer->callbacks.position(peer->callbacks.context, i,
					     service, region, &position);
	     i++) {
		Wire__Position *wire = g_new(Wire__Position, 1);

		wire__position__init(wire);
		wire->service = g_strdup(service);
		wire->from = g_strdup(region);
		wire->n_bound = position.region_count;
		wire->bound = g_memdup2(position.bound,
					position.region_count * sizeof(double));
		g_ptr_array_add(list, wire);
	}
	body.document_version = current_version(peer->current);
	body.n_positions = list->len;
	body.positions = (Wire__Position **)list->pdata;
	peer_message_init(peer, &envelope);
	envelope.position_reply = &body;
	envelope.body_case = WIRE__ENVELOPE__BODY_POSITION_REPLY;
	if (list->len)
		send_reply(peer, from, &envelope);
	for (i = 0; i < list->len; i++) {
		Wire__Position *wire = list->pdata[i];

		g_free(wire->service);
		g_free(wire->from);
		g_free(wire->bound);
		g_free(wire);
	}
	g_ptr_array_free(list, TRUE);
}

static void handle_position_reply(struct peer *peer,
				  const Wire__PositionReply *positions)
{
	size_t i;

	if (peer->positions_received ||
	    positions->document_version != current_version(peer->current))
		return;
	peer->positions_received = true;
	for (i = 0; i < positions->n_positions; i++)
		peer->callbacks.adopt(peer->callbacks.context,
				      positions->positions[i]->service,
				      positions->positions[i]->from,
				      positions->positions[i]->bound,
				      (uint32_t)positions->positions[i]->n_bound);
}

void peer_handle(struct peer *peer, const Wire__Envelope *envelope, int64_t now_ms)
{
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_HEARTBEAT:
		handle_heartbeat(peer, envelope, now_ms);
		break;
	case WIRE__ENVELOPE__BODY_DETAIL_REQUEST:
		send_details(peer, envelope);
		break;
	case WIRE__ENVELOPE__BODY_DETAIL_REPLY:
		handle_detail_reply(peer, envelope->detail_reply, now_ms);
		break;
	case WIRE__ENVELOPE__BODY_DOMAIN_REQUEST:
		send_domain_table(peer, envelope);
		break;
	case WIRE__ENVELOPE__BODY_DOMAIN_TABLE:
		handle_domain_table(peer, envelope->domain_table);
		break;
	case WIRE__ENVELOPE__BODY_DOCUMENT_REQUEST:
		send_document(peer, envelope);
		break;
	case WIRE__ENVELOPE__BODY_DOCUMENT_REPLY:
		handle_document_reply(peer, envelope);
		break;
	case WIRE__ENVELOPE__BODY_POSITION_REQUEST:
		send_positions(peer, envelope);
		break;
	case WIRE__ENVELOPE__BODY_POSITION_REPLY:
		handle_position_reply(peer, envelope->position_reply);
		break;
	default:
		break;
	}
	if (envelope->document_version > current_version(peer->current) &&
	    envelope->body_case != WIRE__ENVELOPE__BODY_DOCUMENT_REPLY)
		request_document(peer, envelope, now_ms);
}
