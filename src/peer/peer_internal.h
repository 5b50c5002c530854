#ifndef PEER_PEER_INTERNAL_H
#define PEER_PEER_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "base/ring.h"
#include "peer/domain.h"
#include "peer/link.h"
#include "peer/member.h"
#include "peer/peer.h"
#include "wire/wire.h"

/**
 * @file
 * What the peer thread's modules share. Everything but the atomics and what
 * the lock guards belongs to the peer thread.
 */

/** A wish of another thread, handed over through the ring. */
enum peer_command_kind {
	PEER_TELL_LEAVING,
	PEER_TELL_QUARANTINED,
	PEER_ADD_SEED,
	PEER_CUT,
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
	struct link *link;
	struct peer_callbacks callbacks;
	struct current *current;
	struct ring *commands;
	pthread_t thread;
	atomic_bool stopping;
	atomic_uint flags;
	atomic_uint watch_rank;
	uint32_t heartbeat_ms;
	GPtrArray *seeds; /* char * */
	char *cut;	  /* ",a,b," while the test seam is on */
	GRand *random;
	uint64_t announced_version;
	int64_t heartbeat_at_ms;
	int64_t delegate_at_ms;
	int64_t seed_at_ms;
	int64_t started_ms;
	int64_t position_asked_ms;
	int64_t document_asked_ms;
	uint32_t told_flags;
	bool positions_known;
	bool view_stale;
	pthread_mutex_t lock; /* of `view` and its reference count */
	struct peer_view *view;
};

/** Envelopes. The body is set by the caller. */
void peer_message_init(struct peer *peer, Wire__Envelope *envelope);

/** Packs, counts and sends one envelope unless its way is cut. */
void peer_message_send(struct peer *peer, const Wire__Envelope *envelope,
		       const char *address, const char *domain);

/**
 * @return whether the test seam drops messages of a domain; of an unknown one,
 * "", it drops all while it is on.
 */
bool peer_is_cut(const struct peer *peer, const char *domain);

/** Acts on one message. */
void peer_handle(struct peer *peer, const Wire__Envelope *envelope,
		 int64_t now_ms);

/** Sends the periodic messages that are due. */
void peer_gossip(struct peer *peer, int64_t now_ms);

/** Tells a few peers at once that a new document is in force. */
void peer_announce(struct peer *peer, int64_t now_ms);

/** Sends a heartbeat with extra news to every live member of the domain. */
void peer_tell_domain(struct peer *peer, char *leaving_backend,
		      uint64_t quarantined);

/** Tells the domain and the other domains' that this VM's flags changed. */
void peer_tell_flags(struct peer *peer, int64_t now_ms);

/** Rebuilds the view that other threads read. */
void peer_view_rebuild(struct peer *peer);

#endif
