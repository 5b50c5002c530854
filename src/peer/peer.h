#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "base/clock.h"
#include "decide/steer.h"
#include "document/current.h"
#include "peer/member_defs.h"

/**
 * @file
 * Peer-to-peer communication of this entry VM: one thread that maintains the
 * membership, distributes the document and responds to peers.
 */

struct peer;

/** Callbacks that the peer thread calls. */
struct peer_callbacks {
	/** A peer reports that a backend server is leaving. */
	void (*backend_leaving)(void *context, const char *backend);
	/** A peer rejects requests with this fingerprint. */
	void (*quarantined)(void *context, uint64_t fingerprint);
	/**
	 * Reads the steering position at an index.
	 *
	 * @return false when `index` is past the last position.
	 */
	bool (*position)(void *context, uint32_t index, char *service,
			 char *from, struct steer_position *position);
	/** Applies a peer's position after this entry VM has started. */
	void (*adopt)(void *context, const char *service, const char *from,
		      const double *bound, uint32_t region_count);
	void *context;
};

struct peer_options {
	const char *name;
	const char *failure_domain;
	const char *http_address;
	const char *peer_address; /**< "IP:port" that peers connect to */
	const char *listen_address;
	const char *public_key;
	const char *secret_key;
	char **seeds; /**< initial peer addresses */
	uint32_t seed_count;
	uint32_t heartbeat_ms;
	uint64_t incarnation;
};

/** Snapshot of the known entry VMs. Read-only, reference counted. */
struct peer_view {
	struct member *members; /**< those of unreachable domains are DEAD */
	uint32_t member_count;
	struct member_version_count versions[MEMBER_VERSIONS_MAX];
	uint32_t version_count; /**< entries of `versions`, for the whole fleet */
	uint32_t references;
};

/** @return a started peer, or NULL after a line on standard error. */
struct peer *peer_start(const struct peer_options *options,
			const struct peer_callbacks *callbacks,
			struct current *current);

/** Stops the thread and frees the peer. NULL is allowed. */
void peer_stop(struct peer *peer);

/**
 * Any thread.
 *
 * @return a reference to the current view, dropped with peer_view_unref().
 */
struct peer_view *peer_view_get(struct peer *peer);
void peer_view_unref(struct peer_view *view);

/** Sets this VM's flags, MEMBER_LEAVING and MEMBER_UNCLAIMED. Any thread. */
void peer_set_flag(struct peer *peer, uint32_t flag, bool set);

/**
 * @return this VM's rank, from 0, among the live VMs of its failure domain that
 * may watch the store for the domain. Any thread.
 */
uint32_t peer_watch_rank(struct peer *peer);

/**
 * Informs all members of the failure domain that are not dead, without waiting
 * for the next heartbeat. Any thread.
 */
void peer_announce_backend_leaving(struct peer *peer, const char *backend);

/** The same; also informs one member of each other domain. Any thread. */
void peer_announce_quarantine(struct peer *peer, uint64_t fingerprint);

/**
 * Adds an address from the platform's VM list to the seeds. Its VM becomes a
 * member once it responds. Any thread.
 */
void peer_add_seed(struct peer *peer, const char *peer_address);

/**
 * Test seam: drops messages from and to the named failure domains. An empty
 * list turns it off. Any thread.
 *
 * @param domains names separated by commas.
 */
void peer_block_domains(struct peer *peer, const char *domains);

#endif
