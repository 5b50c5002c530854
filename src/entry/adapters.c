#include "entry/adapters.h"

#include <stdio.h>
#include <string.h>

/* A server that accepts no connection within this time counts as down. */
#define CONNECT_TIMEOUT_MS 200

static enum http_result send(void *context, const char *address,
			     struct http_pool *pool,
			     const struct http_request *request,
			     uint32_t idle_max_ms, struct http_response *response)
{
	enum http_result result = HTTP_NOT_SENT;
	struct http_connection *connection;

	(void)context;
	if (pool)
		return http_pool_exchange(pool, request, idle_max_ms, response);
	connection = http_connect(address, request->deadline_ns);
	if (connection)
		result = http_exchange(connection, request, response);
	http_close(connection);
	return result;
}

static bool try_connect(void *context, const char *address)
{
	struct http_connection *connection =
		http_connect(address, clock_now_ns(&clock_system) +
					      CONNECT_TIMEOUT_MS * NS_PER_MS);

	(void)context;
	http_close(connection);
	return connection;
}

static bool find_member(void *context, const char *name, uint64_t incarnation,
			char *address)
{
	struct entry *entry = context;
	struct peer_view *view = peer_view_get(entry->peer);
	bool found = false;
	uint32_t i;

	for (i = 0; i < view->member_count && !found; i++) {
		const struct member *member = &view->members[i];

		if (strcmp(member->name, name) != 0 ||
		    member->incarnation != incarnation ||
		    member->state == MEMBER_DEAD)
			continue;
		memcpy(address, member->http_address, MEMBER_ADDRESS_BYTES);
		found = true;
	}
	peer_view_unref(view);
	return found;
}

static void announce_leaving(void *context, const char *backend)
{
	struct entry *entry = context;

	peer_announce_backend_leaving(entry->peer, backend);
}

static void announce_quarantined(void *context, uint64_t fingerprint)
{
	struct entry *entry = context;

	peer_announce_quarantine(entry->peer, fingerprint);
}

static void set_unclaimed(void *context, bool unclaimed)
{
	struct entry *entry = context;

	peer_set_flag(entry->peer, MEMBER_UNCLAIMED, unclaimed);
}

void adapters_init(struct entry *entry)
{
	entry->transport = (struct entry_transport){ send, try_connect, entry };
	entry->fleet = (struct entry_fleet){
		.find_entry = find_member,
		.announce_leaving = announce_leaving,
		.announce_quarantined = announce_quarantined,
		.set_unclaimed = set_unclaimed,
		.context = entry,
	};
}
