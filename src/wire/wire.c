#include "wire/wire.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define NAME_BYTES_MAX 64
#define ENTRIES_MAX 1024
#define DOMAINS_MAX 64
#define NAMES_MAX 4096
#define REGIONS_MAX 64

void *wire_pack(const Wire__Envelope *envelope, size_t *byte_count)
{
	void *packed;

	*byte_count = wire__envelope__get_packed_size(envelope);
	packed = malloc(*byte_count ? *byte_count : 1);
	if (packed)
		wire__envelope__pack(envelope, packed);
	return packed;
}

static bool has_valid_length(const char *text)
{
	return strlen(text) <= NAME_BYTES_MAX;
}

static bool are_members_valid(Wire__Member **members, size_t count)
{
	size_t i;

	if (count > ENTRIES_MAX)
		return false;
	for (i = 0; i < count; i++)
		if (!has_valid_length(members[i]->name) ||
		    !has_valid_length(members[i]->failure_domain) ||
		    !has_valid_length(members[i]->http_address) ||
		    !has_valid_length(members[i]->peer_address))
			return false;
	return true;
}

static bool is_heartbeat_valid(const Wire__Heartbeat *heartbeat)
{
	size_t i;

	if (heartbeat->n_entries > ENTRIES_MAX ||
	    heartbeat->n_domains > DOMAINS_MAX ||
	    heartbeat->n_leaving_backends > NAMES_MAX ||
	    heartbeat->n_quarantined > NAMES_MAX)
		return false;
	for (i = 0; i < heartbeat->n_domains; i++)
		if (!has_valid_length(heartbeat->domains[i]->domain) ||
		    heartbeat->domains[i]->n_versions > ENTRIES_MAX)
			return false;
	for (i = 0; i < heartbeat->n_leaving_backends; i++)
		if (!has_valid_length(heartbeat->leaving_backends[i]))
			return false;
	return true;
}

static bool are_positions_valid(const Wire__PositionReply *reply)
{
	size_t i;

	if (reply->n_positions > NAMES_MAX)
		return false;
	for (i = 0; i < reply->n_positions; i++)
		if (reply->positions[i]->n_bound > REGIONS_MAX ||
		    !has_valid_length(reply->positions[i]->service) ||
		    !has_valid_length(reply->positions[i]->from))
			return false;
	return true;
}

static bool is_envelope_valid(const Wire__Envelope *envelope)
{
	if (envelope->protocol < WIRE_PROTOCOL_OLDEST ||
	    !has_valid_length(envelope->sender) ||
	    !has_valid_length(envelope->sender_domain) ||
	    !has_valid_length(envelope->sender_address))
		return false;
	switch (envelope->body_case) {
	case WIRE__ENVELOPE__BODY_HEARTBEAT:
		return is_heartbeat_valid(envelope->heartbeat);
	case WIRE__ENVELOPE__BODY_DETAIL_REQUEST:
		return envelope->detail_request->n_name_hashes <= ENTRIES_MAX;
	case WIRE__ENVELOPE__BODY_DETAIL_REPLY:
		return are_members_valid(envelope->detail_reply->members,
					 envelope->detail_reply->n_members);
	case WIRE__ENVELOPE__BODY_DOMAIN_REQUEST:
		return has_valid_length(envelope->domain_request->domain);
	case WIRE__ENVELOPE__BODY_DOMAIN_TABLE:
		return has_valid_length(envelope->domain_table->domain) &&
		       are_members_valid(envelope->domain_table->members,
					 envelope->domain_table->n_members);
	case WIRE__ENVELOPE__BODY_POSITION_REPLY:
		return are_positions_valid(envelope->position_reply);
	default:
		/* a body of a later protocol version is accepted */
		return true;
	}
}

Wire__Envelope *wire_unpack(const void *bytes, size_t byte_count)
{
	Wire__Envelope *envelope;

	if (byte_count > WIRE_BYTES_MAX)
		return NULL;
	envelope = wire__envelope__unpack(NULL, byte_count, bytes);
	if (!envelope || is_envelope_valid(envelope))
		return envelope;
	wire_free(envelope);
	return NULL;
}

void wire_free(Wire__Envelope *envelope)
{
	if (envelope)
		wire__envelope__free_unpacked(envelope, NULL);
}
