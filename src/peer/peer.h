#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "base/clock.h"
#include "decide/steer.h"
#include "document/current.h"
#include "peer/member_defs.h"

/**
 * @file
 * This entry VM among the others: one thread that keeps membership, spreads
 * the document and answers peers.
 */

struct peer;

/** What the rest of the process does for the peer thread. */
struct peer_callbacks {
	/** A peer heard that a backend server is leaving. */
	void (*backend_leaving)(void *context, const char *backend);
	/** A peer refuses requests of this fingerprint. */
	void (*quarantined)(void *context, uint64_t fingerprint);
	/**
	 * Yields the index-th steering position. @return false past the last.
	 */
	bool (*position)(void *context, uint32_t index, char *service,
			 char *from, struct steer_position *position);
	/** A peer's position, for an entry VM that has just started. */
	void (*adopt)(void *context, const char *service, const char *from,
		      const double *bound, uint32_t region_count);
	void *context;
};

struct peer_options {
	const char *name;
	const char *failure_domain;
	const char *http_address;
	const char *peer_address; /**< others reach it here */
	const char *listen_address;
	const char *public_key;
	const char *secret_key;
	char **seeds; /**< peer addresses to begin with */
	uint32_t seed_count;
	uint32_t heartbeat_ms;
	uint64_t incarnation;
};

/** The entry VMs known at one moment. Read-only, reference counted. */
struct peer_view {
	struct member *members; /**< those of unreachable domains are DEAD */
	uint32_t member_count;
	struct member_versions versions[MEMBER_VERSIONS_MAX];
	uint32_t version_count; /**< over the whole fleet */
	uint32_t references;
};

/** @return a started peer, or NULL after a line on standard error. */
struct peer *peer_start(const struct peer_options *options,
			const struct peer_callbacks *callbacks,
			struct current *current);

/** Tells peers that this VM is gone and stops the thread. */
void peer_stop(struct peer *peer);

/** @return the present view, to be given back. Any thread. */
struct peer_view *peer_view_get(struct peer *peer);
void peer_view_release(struct peer_view *view);

/** Sets this VM's flags, MEMBER_LEAVING and MEMBER_UNCLAIMED. Any thread. */
void peer_set_flag(struct peer *peer, uint32_t flag, bool set);

/** @return this VM's place among the live ones of its domain. Any thread. */
uint32_t peer_watch_rank(struct peer *peer);

/** Tells peers of the domain at once. Any thread. */
void peer_tell_leaving(struct peer *peer, const char *backend);
void peer_tell_quarantined(struct peer *peer, uint64_t fingerprint);

/** A VM from the platform's list: spoken to, trusted once it answers. */
void peer_add_seed(struct peer *peer, const char *peer_address);

/**
 * Test seam: drops messages from and to the named failure domains; an empty
 * list ends it. Any thread.
 *
 * @param domains names joined by commas.
 */
void peer_cut(struct peer *peer, const char *domains);

#endif
