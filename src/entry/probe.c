#include "entry/probe.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/rank.h"

#define HEALTH_PATH "/health"
#define PROBE_TIMEOUT_MS 300
#define RESPONSE_BYTES_MAX 4096
#define POLL_MS 100
/* Entry VMs of the failure domain that probe one server, independently. */
#define PROBERS_PER_SERVER 2

struct probe {
	struct entry *entry;
	pthread_t thread;
	atomic_bool stopping;
};

/**
 * Whether this VM is among the PROBERS_PER_SERVER of its failure domain that
 * probe a server: those with the lowest hash of VM and server name.
 */
static bool is_prober(struct entry *entry, const char *server)
{
	struct peer_view *view = peer_view_get(entry->peer);
	uint64_t server_hash = rank_hash(server);
	uint64_t own_score = rank_hash(entry->settings.name) ^ server_hash;
	uint32_t rank = 0;
	uint32_t i;

	own_score *= 0x9e3779b97f4a7c15ULL;
	for (i = 0; i < view->member_count; i++) {
		const struct member *member = &view->members[i];
		uint64_t score = member->name_hash ^ server_hash;

		if (member->state != MEMBER_LIVE ||
		    strcmp(member->failure_domain, entry->settings.failure_domain))
			continue;
		rank += score * 0x9e3779b97f4a7c15ULL < own_score;
	}
	peer_view_unref(view);
	return rank < PROBERS_PER_SERVER;
}

static void apply_health(struct entry *entry, const struct backends_state *state,
			 const struct http_response *response)
{
	json_t *json = json_loads(response->body ? response->body : "", 0, NULL);
	bool leaving = json_is_true(json_object_get(json, "leaving"));

	json_decref(json);
	if (!backends_set_leaving(entry->backends, state->name,
				  PICK_LEAVING_SIGNAL, leaving))
		return;
	log_info("backend", "%s according to its own signal server=%s",
		 leaving ? "is leaving" : "stays", state->name);
	if (leaving)
		entry->fleet.announce_leaving(entry->fleet.context, state->name);
	else
		backends_set_leaving(entry->backends, state->name,
				     PICK_LEAVING_PEER, false);
}

static void probe_server(struct entry *entry, const struct backends_state *state)
{
	struct http_request request = {
		.method = "GET",
		.path = HEALTH_PATH,
		.response_bytes_max = RESPONSE_BYTES_MAX,
		.deadline_ns = clock_now_ns(&entry->clock) +
			       PROBE_TIMEOUT_MS * NS_PER_MS,
	};
	struct http_response response = { 0 };
	struct http_connection *connection;

	counter_add(COUNTER_PROBES, 1);
	connection = http_connect(state->address, request.deadline_ns);
	if (!connection)
		return;
	if (http_exchange(connection, &request, &response) == HTTP_COMPLETE)
		apply_health(entry, state, &response);
	http_response_clear(&response);
	http_close(connection);
}

static void probe_all(struct probe *probe)
{
	struct backends_state state;
	uint32_t i;

	for (i = 0; !probe->stopping &&
		    backends_get_state(probe->entry->backends, i, &state);
	     i++)
		if (is_prober(probe->entry, state.name))
			probe_server(probe->entry, &state);
}

static void *thread_main(void *context)
{
	const struct timespec step = { 0, POLL_MS * NS_PER_MS };
	struct probe *probe = context;
	int64_t due_ms = 0;

	while (!probe->stopping) {
		if (clock_now_ms(&probe->entry->clock) >= due_ms) {
			due_ms = clock_now_ms(&probe->entry->clock) +
				 probe->entry->settings.probe_ms;
			probe_all(probe);
		}
		clock_nanosleep(CLOCK_MONOTONIC, 0, &step, NULL);
	}
	return NULL;
}

struct probe *probe_start(struct entry *entry)
{
	struct probe *probe = calloc(1, sizeof(*probe));

	if (!probe)
		return NULL;
	probe->entry = entry;
	if (!pthread_create(&probe->thread, NULL, thread_main, probe))
		return probe;
	free(probe);
	return NULL;
}

void probe_stop(struct probe *probe)
{
	if (!probe)
		return;
	probe->stopping = true;
	pthread_join(probe->thread, NULL);
	free(probe);
}
