#include "fleet/servers.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"

/* Divisor for the increase of the round-trip estimate by a longer sample; a
 * shorter sample replaces the estimate. */
#define RTT_SMOOTHING 16
/* After this many consecutive failures a server is avoided, which means that it
 * is used only when others are full. Each further failure doubles the time. */
#define AVOID_FAILURES_MIN 2
#define AVOID_MIN_MS 1000
#define AVOID_MAX_MS 8000
/* Detecting a slow server costs a request its whole timeout, so a slow server
 * is avoided for longer. */
#define SLOW_AVOID_MIN_MS 4000
/* Limit on the servers that are remembered after they left the list. */
#define REMOVALS_MAX 1024

struct servers {
	const struct clock *clock;
	const struct topology *topology;
	GHashTable *by_id;	/* id to struct server; owns a reference */
	GHashTable *by_service; /* name to GPtrArray of struct server */
	GPtrArray *empty_list;
	bool logs_changes;   /* the list was read once */
	GQueue removed;	     /* struct removal, oldest first */
	uint64_t generation; /* never 0 */
};

/* A server that left the list. */
struct removal {
	char *id;
	int64_t start_unix_ms;
	int64_t sequence;
};

static void removal_free(gpointer data)
{
	struct removal *removal = data;

	g_free(removal->id);
	g_free(removal);
}

static void remember_removal(struct servers *servers, const struct server *server)
{
	struct removal *removal;

	if (!server->sequence)
		return;
	removal = g_new0(struct removal, 1);
	removal->id = g_strdup(server->id);
	removal->start_unix_ms = server->start_unix_ms;
	removal->sequence = server->sequence;
	g_queue_push_tail(&servers->removed, removal);
	if (g_queue_get_length(&servers->removed) > REMOVALS_MAX)
		removal_free(g_queue_pop_head(&servers->removed));
}

static bool is_removed(const struct servers *servers,
		       const struct server_entry *entry)
{
	const GList *link;

	for (link = servers->removed.head; link; link = link->next) {
		const struct removal *removal = link->data;

		if (removal->start_unix_ms == entry->start_unix_ms &&
		    entry->sequence <= removal->sequence &&
		    !strcmp(removal->id, entry->id))
			return true;
	}
	return false;
}

struct servers *servers_new(const struct clock *clock,
			    const struct topology *topology)
{
	struct servers *servers = g_new0(struct servers, 1);

	servers->generation = 1;
	servers->clock = clock;
	servers->topology = topology;
	servers->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       (GDestroyNotify)server_unref);
	servers->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	servers->empty_list = g_ptr_array_new();
	return servers;
}

void servers_free(struct servers *servers)
{
	if (!servers)
		return;
	g_hash_table_destroy(servers->by_service);
	g_hash_table_destroy(servers->by_id);
	g_ptr_array_unref(servers->empty_list);
	g_queue_clear_full(&servers->removed, removal_free);
	g_free(servers);
}

struct server *server_ref(struct server *server)
{
	server->references++;
	return server;
}

void server_unref(struct server *server)
{
	if (!server || --server->references)
		return;
	server_limit_clear(&server->limit);
	free(server->id);
	free(server->service);
	g_free(server);
}

static GPtrArray *get_or_create_list(struct servers *servers, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(servers->by_service, service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(servers->by_service, g_strdup(service), list);
	}
	return list;
}

static void delist_server(struct servers *servers, struct server *server,
			  const char *reason)
{
	GPtrArray *list = get_or_create_list(servers, server->service);

	log_info("servers",
		 "server removed server=%s service=%s domain=%s "
		 "why=%s",
		 server->id, server->service, server->failure_domain, reason);
	server->listed = false;
	servers->generation++;
	g_ptr_array_remove_fast(list, server);
	g_hash_table_remove(servers->by_id, server->id);
}

static struct server *add_server(struct servers *servers,
				 const struct server_entry *entry)
{
	struct server *server = g_new0(struct server, 1);

	server->references = 1;
	server->id = strdup(entry->id);
	server->service = strdup(entry->service);
	server->failure_domain = g_intern_string(entry->failure_domain);
	server->region =
		topology_region(servers->topology, entry->failure_domain);
	server->address = entry->address;
	server->hash = XXH3_64bits(server->id, strlen(server->id));
	server->start_unix_ms = entry->start_unix_ms;
	server->listed = true;
	server->listed_ms = clock_now_ms(servers->clock);
	server->load.slots = entry->slots;
	g_hash_table_insert(servers->by_id, server->id, server);
	g_ptr_array_add(get_or_create_list(servers, server->service), server);
	return server;
}

static bool is_same_incarnation(const struct server *server,
				const struct server_entry *entry)
{
	return server->start_unix_ms == entry->start_unix_ms &&
	       !strcmp(server->service, entry->service) &&
	       server->address.sin_addr.s_addr == entry->address.sin_addr.s_addr &&
	       server->address.sin_port == entry->address.sin_port &&
	       !strcmp(server->failure_domain, entry->failure_domain);
}

static bool is_older(const struct server *server, const struct server_entry *entry)
{
	if (entry->start_unix_ms == server->start_unix_ms)
		return entry->sequence < server->sequence;
	return entry->start_unix_ms &&
	       entry->start_unix_ms < server->start_unix_ms;
}

void servers_put(struct servers *servers, const struct server_entry *entry)
{
	struct server *server = g_hash_table_lookup(servers->by_id, entry->id);
	int64_t now_ms = clock_now_ms(servers->clock);
	bool is_new = false;

	if (server ? is_older(server, entry) : is_removed(servers, entry)) {
		log_info("servers",
			 "older server entry is ignored server=%s "
			 "sequence=%" PRId64,
			 entry->id, entry->sequence);
		return;
	}
	if (server && !is_same_incarnation(server, entry)) {
		delist_server(servers, server, "replaced");
		server = NULL;
	}
	if (!server) {
		server = add_server(servers, entry);
		is_new = true;
	}
	if (is_new || server->load.slots != entry->slots ||
	    server->draining != entry->draining ||
	    (entry->cold_left_ms && server->cold_until_ms <= now_ms))
		servers->generation++;
	server->sequence = entry->sequence;
	server->load.slots = entry->slots;
	if (servers->logs_changes &&
	    (is_new || server->draining != entry->draining ||
	     (entry->cold_left_ms && server->cold_until_ms <= now_ms)))
		log_info("servers",
			 "server listed server=%s service=%s "
			 "domain=%s slots=%u draining=%d cold_left_ms=%u "
			 "new=%d",
			 server->id, server->service, server->failure_domain,
			 entry->slots, entry->draining, entry->cold_left_ms,
			 is_new);
	server->draining = entry->draining;
	server->missing = false;
	if (entry->cold_left_ms)
		server_record_cold(server, entry->cold_left_ms, now_ms);
}

void servers_mark_missing(struct servers *servers, const char *id)
{
	struct server *server = g_hash_table_lookup(servers->by_id, id);

	if (!server || server->missing)
		return;
	server->missing = true;
	log_info("servers",
		 "server is missing after a store outage server=%s "
		 "service=%s",
		 server->id, server->service);
}

void servers_log_changes(struct servers *servers)
{
	servers->logs_changes = true;
}

void servers_remove(struct servers *servers, const char *id)
{
	struct server *server = g_hash_table_lookup(servers->by_id, id);

	if (!server)
		return;
	remember_removal(servers, server);
	delist_server(servers, server, "unlisted");
}

struct server *servers_find(const struct servers *servers, const char *id)
{
	return g_hash_table_lookup(servers->by_id, id);
}

const GPtrArray *servers_for_service(const struct servers *servers,
				     const char *service)
{
	const GPtrArray *list = g_hash_table_lookup(servers->by_service, service);

	return list ? list : servers->empty_list;
}

uint32_t servers_count(const struct servers *servers)
{
	return g_hash_table_size(servers->by_id);
}

uint64_t servers_generation(const struct servers *servers)
{
	return servers->generation;
}

void servers_mark_changed(struct servers *servers)
{
	servers->generation++;
}

void servers_for_each(const struct servers *servers,
		      void (*visit)(struct server *server, void *context),
		      void *context)
{
	GHashTableIter iter;
	gpointer server;

	g_hash_table_iter_init(&iter, servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		visit(server, context);
}

void servers_mark_cold(struct servers *servers, const char *failure_domain,
		       uint32_t ms)
{
	int64_t now_ms = clock_now_ms(servers->clock);
	GHashTableIter iter;
	gpointer value;

	servers->generation++;
	g_hash_table_iter_init(&iter, servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *server = value;

		if (!strcmp(server->failure_domain, failure_domain) &&
		    server->cold_until_ms < now_ms + ms)
			server_record_cold(server, ms, now_ms);
	}
}

bool server_is_usable(const struct server *server)
{
	return server->listed && !server->draining && !server->leaving &&
	       !server->address_reused;
}

void server_update_rtt(struct server *server, int64_t elapsed_ms)
{
	uint32_t sample_ms = (uint32_t)elapsed_ms;

	if (!server->rtt_ms || sample_ms < server->rtt_ms)
		server->rtt_ms = MAX(sample_ms, 1);
	else
		server->rtt_ms += (sample_ms - server->rtt_ms) / RTT_SMOOTHING;
}

bool server_is_avoided(const struct server *server, int64_t now_ms)
{
	/* after that time, one request at a time tests the server */
	return server->consecutive_failures >= AVOID_FAILURES_MIN &&
	       (now_ms < server->avoid_until_ms || server->load.own_requests);
}

static void avoid_server(struct server *server, int64_t min_ms,
			 const char *reason, int64_t now_ms)
{
	int64_t avoid_ms =
		AVOID_MIN_MS
		<< MIN(server->consecutive_failures - AVOID_FAILURES_MIN, 3);

	avoid_ms = CLAMP(avoid_ms, min_ms, AVOID_MAX_MS);
	server->avoid_until_ms = now_ms + avoid_ms;
	ramp_begin(&server->ramp, now_ms, 0);
	log_info("servers",
		 "avoiding server after failures server=%s failures=%u why=%s "
		 "for_ms=%" PRId64,
		 server->id, server->consecutive_failures, reason, avoid_ms);
}

void server_record_failure(struct server *server, const char *reason,
			   int64_t now_ms)
{
	server->consecutive_failures++;
	if (server->consecutive_failures >= AVOID_FAILURES_MIN)
		avoid_server(server, 0, reason, now_ms);
}

void server_record_unreachable(struct server *server, int64_t now_ms)
{
	server->unreachable_ms = now_ms;
	server->responded_ms = 0;
	server->consecutive_failures =
		MAX(server->consecutive_failures, AVOID_FAILURES_MIN);
	server_record_failure(server, "silent", now_ms);
}

void servers_forget_unreachable(struct servers *servers, int64_t since_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *server = value;

		if (server->unreachable_ms < since_ms || !server->unreachable_ms)
			continue;
		server_record_success(server);
		if (server->ramp.began_ms >= since_ms)
			server->ramp = (struct ramp){ 0 };
	}
}

void server_record_slow_response(struct server *server, int64_t now_ms)
{
	server->consecutive_failures =
		MAX(server->consecutive_failures + 1, AVOID_FAILURES_MIN);
	avoid_server(server, SLOW_AVOID_MIN_MS, "slow", now_ms);
}

void server_record_leaving(struct server *server)
{
	if (server->leaving)
		return;
	server->leaving = true;
	log_info("servers",
		 "server reports that it is leaving server=%s service=%s",
		 server->id, server->service);
}

void server_record_cold(struct server *server, uint32_t ms, int64_t now_ms)
{
	const bool was_cold = server->cold_until_ms > now_ms;

	server->cold_until_ms = now_ms + ms;
	if (ms && !was_cold)
		ramp_begin(&server->ramp, now_ms, server->cold_until_ms);
	else if (server->ramp.again_ms)
		server->ramp.again_ms = server->cold_until_ms;
}

void server_record_busy(struct server *server, uint32_t ms, int64_t now_ms)
{
	server->busy_until_ms = MAX(server->busy_until_ms, now_ms + ms);
	ramp_begin(&server->ramp, now_ms, server->busy_until_ms);
	log_info("servers", "server wants no requests server=%s for_ms=%u",
		 server->id, ms);
}

void server_record_success(struct server *server)
{
	server->consecutive_failures = 0;
	server->avoid_until_ms = 0;
}
