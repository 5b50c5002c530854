#include "peer/peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/rank.h"
#include "peer/peer_internal.h"

#define COMMAND_SLOTS 1024
#define POLL_MS 20
#define MESSAGES_PER_ITERATION 256
#define PRUNE_PERIOD_ITERATIONS 1500

static void run_command(struct peer *peer, struct peer_command *command)
{
	switch (command->kind) {
	case PEER_COMMAND_ANNOUNCE_LEAVING:
		peer_announce_events(peer, command->text, 0);
		break;
	case PEER_COMMAND_ANNOUNCE_QUARANTINE:
		peer_announce_events(peer, NULL, command->number);
		break;
	case PEER_COMMAND_ADD_SEED:
		if (peer->seeds->len < PEER_SEEDS_MAX &&
		    !g_ptr_array_find_with_equal_func(peer->seeds, command->text,
						      g_str_equal, NULL))
			g_ptr_array_add(peer->seeds, g_strdup(command->text));
		break;
	case PEER_COMMAND_BLOCK_DOMAINS:
		g_free(peer->blocked_domains);
		peer->blocked_domains =
			command->text[0] ? g_strdup_printf(",%s,", command->text)
					 : NULL;
		log_warn("peer",
			 "test seam blocks failure domains domains=\"%s\"",
			 command->text);
		break;
	}
	free(command);
}

static void run_commands(struct peer *peer)
{
	struct peer_command *command;

	while ((command = ring_pop(peer->commands, 0)))
		run_command(peer, command);
}

static void receive_messages(struct peer *peer)
{
	uint32_t wait_ms = POLL_MS;
	Wire__Envelope *envelope;
	int64_t byte_count;
	void *bytes;
	int i;

	for (i = 0; i < MESSAGES_PER_ITERATION; i++) {
		byte_count =
			peer_transport_receive(peer->transport, wait_ms, &bytes);
		if (byte_count < 0)
			break;
		wait_ms = 0;
		counter_add(COUNTER_PEER_MESSAGES_IN, 1);
		counter_add(COUNTER_PEER_BYTES_IN, (uint64_t)byte_count);
		envelope = wire_unpack(bytes, (size_t)byte_count);
		g_free(bytes);
		if (!envelope) {
			counter_add(COUNTER_PEER_MESSAGES_REFUSED, 1);
			log_warn("peer", "refused a malformed message");
			continue;
		}
		if (!peer_is_domain_blocked(peer, envelope->sender_domain))
			peer_handle(peer, envelope, clock_now_ms(&clock_system));
		wire_free(envelope);
	}
}

static void update_self(struct peer *peer)
{
	struct member *self = member_self(peer->table);
	uint64_t version = current_version(peer->current);
	uint32_t flags = peer->flags;

	if (self->document_version != version || self->flags != flags)
		peer->view_stale = true;
	self->document_version = version;
	self->flags = flags;
	peer->watch_rank = member_rank(peer->table, "watch");
	if (peer->announced_flags == flags)
		return;
	peer->announced_flags = flags;
	peer_announce_flags(peer, clock_now_ms(&clock_system));
}

static int is_known_address(void *context, const char *address)
{
	const struct peer *peer = context;
	uint32_t i, k;

	for (i = 0; i < member_count(peer->table); i++)
		if (!strcmp(member_at(peer->table, i)->peer_address, address))
			return 1;
	for (i = 0; i < peer->domains.count; i++)
		for (k = 0; k < peer->domains.domains[i]->member_count; k++)
			if (!strcmp(peer->domains.domains[i]->members[k].peer_address,
				    address))
				return 1;
	return 0;
}

static void *run_peer_thread(void *context)
{
	struct peer *peer = context;
	uint32_t iterations = 0;
	int64_t now_ms;

	while (!peer->stopping) {
		receive_messages(peer);
		run_commands(peer);
		now_ms = clock_now_ms(&clock_system);
		update_self(peer);
		peer_announce_document(peer, now_ms);
		peer_send_due_messages(peer, now_ms);
		if (peer->view_stale)
			peer_view_rebuild(peer);
		if (++iterations % PRUNE_PERIOD_ITERATIONS == 0)
			peer_transport_prune(peer->transport, is_known_address,
					     peer);
	}
	return NULL;
}

static void fill_self(struct member *self, const struct peer_options *options)
{
	memset(self, 0, sizeof(*self));
	snprintf(self->name, sizeof(self->name), "%s", options->name);
	snprintf(self->failure_domain, sizeof(self->failure_domain), "%s",
		 options->failure_domain);
	snprintf(self->http_address, sizeof(self->http_address), "%s",
		 options->http_address);
	snprintf(self->peer_address, sizeof(self->peer_address), "%s",
		 options->peer_address);
	self->name_hash = rank_hash(options->name);
	self->incarnation = options->incarnation;
}

static void peer_free(struct peer *peer)
{
	struct peer_command *command;

	peer_transport_close(peer->transport);
	while (peer->commands && (command = ring_pop(peer->commands, 0)))
		free(command);
	ring_free(peer->commands);
	member_table_free(peer->table);
	domain_list_clear(&peer->domains);
	if (peer->seeds)
		g_ptr_array_free(peer->seeds, TRUE);
	if (peer->random)
		g_rand_free(peer->random);
	g_free(peer->blocked_domains);
	peer_view_unref(peer->view);
	pthread_mutex_destroy(&peer->lock);
	free(peer);
}

struct peer *peer_start(const struct peer_options *options,
			const struct peer_callbacks *callbacks,
			struct current *current)
{
	struct peer *peer = calloc(1, sizeof(*peer));
	struct peer_transport_options transport_options = {
		options->listen_address, options->public_key, options->secret_key
	};
	struct member self;
	uint32_t i;

	if (!peer)
		return NULL;
	pthread_mutex_init(&peer->lock, NULL);
	fill_self(&self, options);
	peer->started_ms = clock_now_ms(&clock_system);
	peer->table = member_table_new(&self, peer->started_ms);
	peer->callbacks = *callbacks;
	peer->current = current;
	peer->heartbeat_ms = options->heartbeat_ms;
	peer->commands = ring_new(COMMAND_SLOTS);
	peer->seeds = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < options->seed_count; i++)
		g_ptr_array_add(peer->seeds, g_strdup(options->seeds[i]));
	peer->random = g_rand_new_with_seed((guint32)self.name_hash);
	peer_view_rebuild(peer);
	peer->transport = peer_transport_open(&transport_options);
	if (!peer->transport || !peer->table || !peer->commands)
		goto fail;
	if (pthread_create(&peer->thread, NULL, run_peer_thread, peer))
		goto fail;
	return peer;
fail:
	peer_free(peer);
	return NULL;
}

void peer_stop(struct peer *peer)
{
	if (!peer)
		return;
	peer->stopping = true;
	pthread_join(peer->thread, NULL);
	peer_free(peer);
}

void peer_set_flag(struct peer *peer, uint32_t flag, bool set)
{
	if (set)
		atomic_fetch_or(&peer->flags, flag);
	else
		atomic_fetch_and(&peer->flags, ~flag);
}

uint32_t peer_watch_rank(struct peer *peer)
{
	return peer->watch_rank;
}

static void enqueue_command(struct peer *peer, enum peer_command_kind kind,
			    const char *text, uint64_t number)
{
	struct peer_command *command = calloc(1, sizeof(*command));

	if (!command)
		return;
	command->kind = kind;
	command->number = number;
	snprintf(command->text, sizeof(command->text), "%s", text);
	if (!ring_push(peer->commands, command))
		free(command);
}

void peer_announce_backend_leaving(struct peer *peer, const char *backend)
{
	enqueue_command(peer, PEER_COMMAND_ANNOUNCE_LEAVING, backend, 0);
}

void peer_announce_quarantine(struct peer *peer, uint64_t fingerprint)
{
	enqueue_command(peer, PEER_COMMAND_ANNOUNCE_QUARANTINE, "", fingerprint);
}

void peer_add_seed(struct peer *peer, const char *peer_address)
{
	enqueue_command(peer, PEER_COMMAND_ADD_SEED, peer_address, 0);
}

void peer_block_domains(struct peer *peer, const char *domains)
{
	enqueue_command(peer, PEER_COMMAND_BLOCK_DOMAINS, domains, 0);
}
