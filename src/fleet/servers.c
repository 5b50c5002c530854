#include "fleet/servers.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"

/* Part of a round trip's estimate that a longer one changes; a shorter one is
 * believed at once. */
#define PATH_WEIGHT 16
/* Failures in a row after which a server is only used when others have no
 * room, and for how long; doubled with each further failure. */
#define FAILURES_MAX 2
#define AVOID_MIN_MS 1000
#define AVOID_MAX_MS 8000
/* A slow server costs a request its whole time to be found: it is tried less
 * often. */
#define SLOW_AVOID_MS 4000

struct servers {
	const struct clock *clock;
	const struct topology *topology;
	GHashTable *by_id;	/* id to struct server, which it holds */
	GHashTable *by_service; /* name to GPtrArray of struct server */
	GPtrArray *none;
};

struct servers *servers_new(const struct clock *clock,
			    const struct topology *topology)
{
	struct servers *servers = g_new0(struct servers, 1);

	servers->clock = clock;
	servers->topology = topology;
	servers->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       (GDestroyNotify)server_release);
	servers->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	servers->none = g_ptr_array_new();
	return servers;
}

void servers_free(struct servers *servers)
{
	if (!servers)
		return;
	g_hash_table_destroy(servers->by_service);
	g_hash_table_destroy(servers->by_id);
	g_ptr_array_unref(servers->none);
	g_free(servers);
}

struct server *server_hold(struct server *server)
{
	server->references++;
	return server;
}

void server_release(struct server *server)
{
	if (!server || --server->references)
		return;
	free(server->id);
	free(server->service);
	g_free(server);
}

static GPtrArray *service_list(struct servers *servers, const char *service)
{
	GPtrArray *list = g_hash_table_lookup(servers->by_service, service);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(servers->by_service, g_strdup(service), list);
	}
	return list;
}

static void drop(struct servers *servers, struct server *server, const char *why)
{
	GPtrArray *list = service_list(servers, server->service);

	log_info("servers",
		 "server is gone server=%s service=%s domain=%s "
		 "why=%s",
		 server->id, server->service, server->failure_domain, why);
	server->listed = false;
	g_ptr_array_remove_fast(list, server);
	g_hash_table_remove(servers->by_id, server->id);
}

static struct server *add(struct servers *servers,
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
	server->born_ms = entry->born_ms;
	server->listed = true;
	server->load.slots = entry->slots;
	g_hash_table_insert(servers->by_id, server->id, server);
	g_ptr_array_add(service_list(servers, server->service), server);
	return server;
}

static bool same_incarnation(const struct server *server,
			     const struct server_entry *entry)
{
	return server->born_ms == entry->born_ms &&
	       !strcmp(server->service, entry->service) &&
	       server->address.sin_addr.s_addr == entry->address.sin_addr.s_addr &&
	       server->address.sin_port == entry->address.sin_port &&
	       !strcmp(server->failure_domain, entry->failure_domain);
}

void servers_put(struct servers *servers, const struct server_entry *entry)
{
	struct server *server = g_hash_table_lookup(servers->by_id, entry->id);
	int64_t now_ms = clock_now_ms(servers->clock);
	bool is_new = false;

	if (server && !same_incarnation(server, entry)) {
		drop(servers, server, "replaced");
		server = NULL;
	}
	if (!server) {
		server = add(servers, entry);
		is_new = true;
	}
	server->load.slots = entry->slots;
	if (is_new || server->draining != entry->draining || entry->cold_left_ms)
		log_info("servers",
			 "server is listed server=%s service=%s "
			 "domain=%s slots=%u draining=%d cold_left_ms=%u "
			 "new=%d",
			 server->id, server->service, server->failure_domain,
			 entry->slots, entry->draining, entry->cold_left_ms,
			 is_new);
	server->draining = entry->draining;
	server->missing = false;
	if (entry->cold_left_ms)
		server->cold_until_ms = now_ms + entry->cold_left_ms;
}

void servers_miss(struct servers *servers, const char *id)
{
	struct server *server = g_hash_table_lookup(servers->by_id, id);

	if (!server || server->missing)
		return;
	server->missing = true;
	log_info("servers",
		 "server is missing after an outage server=%s "
		 "service=%s",
		 server->id, server->service);
}

void servers_remove(struct servers *servers, const char *id)
{
	struct server *server = g_hash_table_lookup(servers->by_id, id);

	if (server)
		drop(servers, server, "unlisted");
}

const GPtrArray *servers_of(const struct servers *servers, const char *service)
{
	const GPtrArray *list = g_hash_table_lookup(servers->by_service, service);

	return list ? list : servers->none;
}

uint32_t servers_count(const struct servers *servers)
{
	return g_hash_table_size(servers->by_id);
}

void servers_chill(struct servers *servers, const char *failure_domain,
		   uint32_t ms)
{
	int64_t until_ms = clock_now_ms(servers->clock) + ms;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, servers->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct server *server = value;

		if (!strcmp(server->failure_domain, failure_domain) &&
		    server->cold_until_ms < until_ms)
			server->cold_until_ms = until_ms;
	}
}

bool server_usable(const struct server *server)
{
	return server->listed && !server->draining && !server->misplaced;
}

void server_note_path(struct server *server, int64_t took_ms)
{
	uint32_t took = (uint32_t)took_ms;

	if (!server->path_ms || took < server->path_ms)
		server->path_ms = MAX(took, 1);
	else
		server->path_ms += (took - server->path_ms) / PATH_WEIGHT;
}

bool server_avoided(const struct server *server, int64_t now_ms)
{
	/* after the time, one request at a time shows how it is */
	return server->failures >= FAILURES_MAX &&
	       (now_ms < server->avoid_until_ms || server->load.own);
}

static void avoid(struct server *server, int64_t least_ms, const char *why,
		  int64_t now_ms)
{
	int64_t avoid_ms = AVOID_MIN_MS
			   << MIN(server->failures - FAILURES_MAX, 3);

	avoid_ms = CLAMP(avoid_ms, least_ms, AVOID_MAX_MS);
	server->avoid_until_ms = now_ms + avoid_ms;
	log_info("servers",
		 "server is avoided server=%s failures=%u why=%s "
		 "for_ms=%" PRId64,
		 server->id, server->failures, why, avoid_ms);
}

void server_failed(struct server *server, const char *why, int64_t now_ms)
{
	server->failures++;
	if (server->failures >= FAILURES_MAX)
		avoid(server, 0, why, now_ms);
}

void server_silent(struct server *server, int64_t now_ms)
{
	server->failures = MAX(server->failures, FAILURES_MAX);
	server_failed(server, "silent", now_ms);
}

void server_slow(struct server *server, int64_t now_ms)
{
	server->failures = MAX(server->failures + 1, FAILURES_MAX);
	avoid(server, SLOW_AVOID_MS, "slow", now_ms);
}

void server_succeeded(struct server *server)
{
	server->failures = 0;
	server->avoid_until_ms = 0;
}
