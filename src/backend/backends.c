#include "backend/backends.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/deadline.h"
#include "base/log.h"
#include "decide/rank.h"
#include "document/document.h"

#define IDLE_CONNECTIONS_MAX 32
#define CONNECTION_IDLE_MAX_MS 20000

/** The servers of one service. */
struct backend_group {
	char *service;
	struct pick_server *servers;
	struct backend **backends; /* parallel to `servers` */
	uint32_t count;
	uint32_t waiting;
	pthread_cond_t slot_freed;
};

struct backends {
	pthread_mutex_t lock;
	char *failure_domain;
	const struct clock *clock;
	GPtrArray *groups; /* struct backend_group * */
	GRand *random;
	bool initialized; /* servers added from now on begin with slow start */
};

struct backends *backends_new(const char *failure_domain,
			      const struct clock *clock)
{
	struct backends *backends = calloc(1, sizeof(*backends));

	if (!backends)
		return NULL;
	pthread_mutex_init(&backends->lock, NULL);
	backends->failure_domain = strdup(failure_domain);
	backends->clock = clock;
	backends->groups = g_ptr_array_new();
	backends->random = g_rand_new();
	return backends;
}

/** Called with the lock held. */
static void unref(struct backend *backend)
{
	if (--backend->references)
		return;
	http_pool_free(backend->pool);
	free(backend->name);
	free(backend->service);
	free(backend->failure_domain);
	free(backend);
}

static void group_free(struct backend_group *group)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		group->backends[i]->group = NULL;
		unref(group->backends[i]);
	}
	pthread_cond_destroy(&group->slot_freed);
	free(group->service);
	free(group->servers);
	free(group->backends);
	free(group);
}

void backends_free(struct backends *backends)
{
	uint32_t i;

	if (!backends)
		return;
	for (i = 0; i < backends->groups->len; i++)
		group_free(backends->groups->pdata[i]);
	g_ptr_array_free(backends->groups, TRUE);
	g_rand_free(backends->random);
	free(backends->failure_domain);
	pthread_mutex_destroy(&backends->lock);
	free(backends);
}

static struct backend_group *find_group(struct backends *backends,
					const char *service)
{
	uint32_t i;

	for (i = 0; i < backends->groups->len; i++) {
		struct backend_group *group = backends->groups->pdata[i];

		if (!strcmp(group->service, service))
			return group;
	}
	return NULL;
}

static struct backend_group *add_group(struct backends *backends,
				       const char *service)
{
	struct backend_group *group = calloc(1, sizeof(*group));
	pthread_condattr_t attributes;

	group->service = strdup(service);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&group->slot_freed, &attributes);
	pthread_condattr_destroy(&attributes);
	g_ptr_array_add(backends->groups, group);
	return group;
}

static struct backend *backend_new(const struct doc_backend *from)
{
	struct backend *backend = calloc(1, sizeof(*backend));

	backend->name = strdup(from->name);
	backend->service = strdup(from->service);
	backend->failure_domain = strdup(from->failure_domain);
	backend->pool = http_pool_new(from->address, IDLE_CONNECTIONS_MAX,
				      CONNECTION_IDLE_MAX_MS);
	backend->name_hash = rank_hash(from->name);
	backend->references = 1;
	return backend;
}

static struct backend *find_backend(struct backend_group *group,
				    const char *name, const char *address)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		struct backend *backend = group->backends[i];

		if (!strcmp(backend->name, name) &&
		    (!address ||
		     !strcmp(http_pool_address(backend->pool), address)))
			return backend;
	}
	return NULL;
}

static bool belongs_to_group(const struct backends *backends,
			     const struct document *doc,
			     const struct backend_group *group,
			     const struct doc_backend *from)
{
	return !strcmp(from->service, group->service) &&
	       document_region_index_of_domain(doc, from->failure_domain) ==
		       document_region_index_of_domain(doc,
						       backends->failure_domain);
}

/**
 * Sets up a server of a new document. State and connections are taken from the
 * server of the same name and address, if there is one.
 *
 * @param out receives a reference.
 */
static void init_server(struct backends *backends, struct backend_group *group,
			const struct doc_backend *from,
			struct pick_server *server, struct backend **out)
{
	struct backend *existing = find_backend(group, from->name, from->address);

	if (existing) {
		*server = group->servers[existing->index];
		existing->references++;
		*out = existing;
	} else {
		*out = backend_new(from);
		if (backends->initialized)
			server->slow_start_began_ms =
				clock_now_ms(backends->clock);
	}
	server->slots = from->slots;
	server->local = !strcmp(from->failure_domain, backends->failure_domain);
	if (from->leaving)
		server->leaving |= PICK_LEAVING_DOCUMENT;
	else
		server->leaving &= (uint8_t)~PICK_LEAVING_DOCUMENT;
}

static void apply_group(struct backends *backends, struct backend_group *group,
			const struct document *doc)
{
	struct pick_server *servers =
		calloc(doc->backend_count + 1, sizeof(*servers));
	struct backend **list = calloc(doc->backend_count + 1, sizeof(*list));
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++) {
		if (!belongs_to_group(backends, doc, group, &doc->backends[i]))
			continue;
		init_server(backends, group, &doc->backends[i], &servers[count],
			    &list[count]);
		count++;
	}
	for (i = 0; i < group->count; i++) {
		group->backends[i]->group = NULL;
		unref(group->backends[i]);
	}
	free(group->servers);
	free(group->backends);
	group->servers = servers;
	group->backends = list;
	group->count = count;
	for (i = 0; i < count; i++) {
		list[i]->group = group;
		list[i]->index = i;
	}
	pthread_cond_broadcast(&group->slot_freed);
}

void backends_apply_document(struct backends *backends, const struct document *doc)
{
	uint32_t i;

	pthread_mutex_lock(&backends->lock);
	for (i = 0; i < doc->service_count; i++)
		if (!find_group(backends, doc->services[i].name))
			add_group(backends, doc->services[i].name);
	for (i = 0; i < backends->groups->len; i++)
		apply_group(backends, backends->groups->pdata[i], doc);
	backends->initialized = true;
	pthread_mutex_unlock(&backends->lock);
}

static uint64_t random_u64(struct backends *backends)
{
	return (uint64_t)g_rand_int(backends->random) << 32 |
	       g_rand_int(backends->random);
}

static struct timespec timespec_from_ns(int64_t ns)
{
	struct timespec time = {
		.tv_sec = ns / (NS_PER_MS * MS_PER_S),
		.tv_nsec = ns % (NS_PER_MS * MS_PER_S),
	};

	return time;
}

/* A server that refused for lack of slots is paused for this long; waiting
 * requests check it again afterwards. */
#define SLOT_RECHECK_NS (PICK_FULL_MS * NS_PER_MS)

/**
 * Waits until a slot is freed or SLOT_RECHECK_NS passed.
 *
 * @return false if the deadline has passed.
 */
static bool wait_for_slot(struct backends *backends,
			  struct backend_group *group, int64_t deadline_ns)
{
	int64_t now_ns = clock_now_ns(backends->clock);
	int64_t until_ns = now_ns + SLOT_RECHECK_NS;
	struct timespec until;

	deadline_ns = deadline_limit(deadline_ns);
	if (now_ns >= deadline_ns)
		return false;
	if (until_ns > deadline_ns)
		until_ns = deadline_ns;
	until = timespec_from_ns(until_ns);
	pthread_cond_timedwait(&group->slot_freed, &backends->lock, &until);
	return true;
}

/**
 * Chooses a server, waiting for a slot; called with the lock held.
 *
 * @return the server's index, or -1 with the reason in `result`.
 */
static int choose_server(struct backends *backends, struct backend_group *group,
			 const struct backends_request *request,
			 enum backends_result *result)
{
	bool queued = false;
	int64_t now_ms;
	int index;

	for (;;) {
		now_ms = clock_now_ms(backends->clock);
		index = pick_choose(group->servers, group->count,
				    request->tried, request->tried_count,
				    random_u64(backends), now_ms);
		*result = BACKENDS_OK;
		if (index >= 0)
			break;
		*result = BACKENDS_NONE_USABLE;
		if (!pick_has_untried(group->servers, group->count, request->tried,
				      request->tried_count, now_ms))
			break;
		*result = BACKENDS_QUEUE_FULL;
		if (!queued && group->waiting >= request->queue_max)
			break;
		if (!queued) {
			queued = true;
			group->waiting++;
			gauge_add(GAUGE_WAITING, 1);
		}
		*result = BACKENDS_TIMED_OUT;
		if (!wait_for_slot(backends, group, request->deadline_ns))
			break;
	}
	if (queued) {
		group->waiting--;
		gauge_add(GAUGE_WAITING, -1);
	}
	return index;
}

struct backend *backends_acquire(struct backends *backends,
				 const struct backends_request *request,
				 uint32_t *index, enum backends_result *result)
{
	struct backend *backend = NULL;
	struct backend_group *group;
	int chosen;

	*result = BACKENDS_NONE_USABLE;
	pthread_mutex_lock(&backends->lock);
	group = find_group(backends, request->service);
	if (group) {
		chosen = choose_server(backends, group, request, result);
		if (chosen >= 0) {
			backend = group->backends[chosen];
			backend->references++;
			*index = (uint32_t)chosen;
		}
	}
	pthread_mutex_unlock(&backends->lock);
	return backend;
}

static void release_locked(struct backends *backends, struct backend *backend,
			   enum pick_outcome outcome)
{
	struct backend_group *group = backend->group;
	int64_t now_ms = clock_now_ms(backends->clock);
	struct pick_server *server;
	bool ejected;

	if (!group)
		return;
	server = &group->servers[backend->index];
	ejected = server->ejected_until_ms > now_ms;
	pick_finish(group->servers, group->count, backend->index, outcome,
		    now_ms);
	if (!ejected && server->ejected_until_ms > now_ms)
		log_warn("backend", "ejected server=%s failures=%u for_ms=%lld",
			 backend->name, server->failures,
			 (long long)(server->ejected_until_ms - now_ms));
	pthread_cond_signal(&group->slot_freed);
}

void backends_release(struct backends *backends, struct backend *backend,
		      enum pick_outcome outcome)
{
	pthread_mutex_lock(&backends->lock);
	release_locked(backends, backend, outcome);
	unref(backend);
	pthread_mutex_unlock(&backends->lock);
}

bool backends_set_leaving(struct backends *backends, const char *name,
			  enum pick_leaving reason, bool leaving)
{
	bool changed = false;
	uint32_t i;

	pthread_mutex_lock(&backends->lock);
	for (i = 0; i < backends->groups->len; i++) {
		struct backend_group *group = backends->groups->pdata[i];
		struct backend *backend = find_backend(group, name, NULL);
		struct pick_server *server;

		if (!backend)
			continue;
		server = &group->servers[backend->index];
		changed = !(server->leaving & reason) == leaving;
		if (leaving)
			server->leaving |= (uint8_t)reason;
		else
			server->leaving &= (uint8_t)~reason;
	}
	pthread_mutex_unlock(&backends->lock);
	return changed;
}

bool backends_get_load(struct backends *backends, const char *service,
		       struct backends_load *load)
{
	struct backend_group *group;
	uint32_t i;

	memset(load, 0, sizeof(*load));
	pthread_mutex_lock(&backends->lock);
	group = find_group(backends, service);
	if (group) {
		load->usable_slots =
			pick_usable_slots(group->servers, group->count,
					  clock_now_ms(backends->clock));
		load->waiting = group->waiting;
		for (i = 0; i < group->count; i++)
			load->in_flight += group->servers[i].in_flight;
	}
	pthread_mutex_unlock(&backends->lock);
	return group && group->count;
}

/** Called with the lock held. */
static void copy_state(struct backends *backends,
		       const struct backend_group *group, uint32_t index,
		       struct backends_state *state)
{
	const struct backend *backend = group->backends[index];

	snprintf(state->name, sizeof(state->name), "%s", backend->name);
	snprintf(state->service, sizeof(state->service), "%s", backend->service);
	snprintf(state->address, sizeof(state->address), "%s",
		 http_pool_address(backend->pool));
	state->server = group->servers[index];
	state->ejected =
		state->server.ejected_until_ms > clock_now_ms(backends->clock);
}

bool backends_get_state(struct backends *backends, uint32_t index,
			struct backends_state *state)
{
	bool found = false;
	uint32_t i;

	pthread_mutex_lock(&backends->lock);
	for (i = 0; i < backends->groups->len && !found; i++) {
		struct backend_group *group = backends->groups->pdata[i];

		found = index < group->count;
		if (found)
			copy_state(backends, group, index, state);
		else
			index -= group->count;
	}
	pthread_mutex_unlock(&backends->lock);
	return found;
}
