#ifndef PEER_PEER_INTERNAL_H
#define PEER_PEER_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "base/ring.h"
#include "peer/domain.h"
#include "peer/member.h"
#include "peer/peer.h"
#include "peer/transport.h"
#include "wire/wire.h"

/**
 * @file
 * State and functions shared by the modules of the peer thread. Only the peer
 * thread uses them, except for the atomics, `commands` and what `lock` guards.
 */

/** A command of another thread to the peer thread, sent through `commands`. */
enum peer_command_kind {
	PEER_COMMAND_ANNOUNCE_LEAVING,
	PEER_COMMAND_ANNOUNCE_QUARANTINE,
	PEER_COMMAND_ADD_SEED,
	PEER_COMMAND_BLOCK_DOMAINS,
};

struct peer_command {
	enum peer_command_kind kind;
	char text[512];
	uint64_t number;
};

#define PEER_SEEDS_MAX 1024

struct peer {
	struct member_table *table;
	struct domain_list domains;
	struct peer_transport *transport;
	struct peer_callbacks callbacks;
	struct current *current;
	struct ring *commands;
	pthread_t thread;
	atomic_bool stopping;
	atomic_uint flags;
	atomic_uint watch_rank;
	uint32_t heartbeat_ms;
	GPtrArray *seeds;      /* char * */
	char *blocked_domains; /* ",a,b," while the test seam is on, else NULL */
	GRand *random;
	uint64_t announced_version;
	int64_t next_heartbeat_ms;
	int64_t next_digest_ms;
	int64_t next_seed_ms;
	int64_t started_ms;
	int64_t positions_requested_ms;
	int64_t document_requested_ms;
	uint32_t announced_flags;
	bool positions_received;
	bool view_stale;
	pthread_mutex_t lock; /* guards `view` */
	struct peer_view *view;
};

/** Sets all fields of an envelope but the body. */
void peer_message_init(struct peer *peer, Wire__Envelope *envelope);

/** Packs, counts and sends an envelope unless its domain is blocked. */
void peer_message_send(struct peer *peer, const Wire__Envelope *envelope,
		       const char *address, const char *domain);

/**
 * @return whether the test seam drops messages of a domain. While it is on, it
 * drops all messages of unknown domains ("").
 */
bool peer_is_domain_blocked(const struct peer *peer, const char *domain);

/** Handles one message received from a peer. */
void peer_handle(struct peer *peer, const Wire__Envelope *envelope,
		 int64_t now_ms);

/** Sends the periodic messages that are due. */
void peer_send_due_messages(struct peer *peer, int64_t now_ms);

/**
 * Sends a heartbeat to a few peers when the document version has changed; a VM
 * that watches the store also sends it to one member of each other domain.
 */
void peer_announce_document(struct peer *peer, int64_t now_ms);

/**
 * Sends a heartbeat with an event to all members of the domain that are not
 * dead.
 *
 * @param leaving_backend name of a leaving backend server, or NULL.
 * @param quarantined fingerprint of quarantined requests, or 0; also sent to
 * one member of each other domain.
 */
void peer_announce_events(struct peer *peer, char *leaving_backend,
			  uint64_t quarantined);

/**
 * Sends this VM's changed flags to all members of its domain that are not dead
 * and to one member of each other domain.
 */
void peer_announce_flags(struct peer *peer, int64_t now_ms);

/** Replaces the view that other threads read by the current state. */
void peer_view_rebuild(struct peer *peer);

#endif
