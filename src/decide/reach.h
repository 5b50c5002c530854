#ifndef DECIDE_REACH_H
#define DECIDE_REACH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Decides from the outcomes of connecting whether this entry VM can connect to
 * backend servers at all.
 *
 * Load pattern: a network partition separates some entry VMs from all servers,
 * while callers, the store and other VMs still reach them. Few failed servers,
 * a lost failure domain or the loss of a service must not look like it: after
 * failures at different servers, a few servers of other failure domains and
 * services are probed before the VM counts as cut off. No I/O, no locking.
 */

/** Probes of one round, and the number of servers that must have failed. */
#define REACH_PROBES 3
/** Limit on the failed servers that are remembered. */
#define REACH_FAILED_MAX 8

enum reach_state {
	REACH_UP,      /**< servers can be connected to, as far as is known */
	REACH_SUSPECT, /**< several servers failed, probes are in progress */
	REACH_CUT_OFF, /**< no server can be connected to */
};

struct reach_failure {
	uint64_t server_hash;
	const char *failure_domain; /**< interned */
	int64_t at_ms;
};

/** All zeros is the initial state. */
struct reach {
	enum reach_state state;
	struct reach_failure failed[REACH_FAILED_MAX]; /**< different servers */
	uint32_t failed_count;
	int64_t first_failure_ms; /**< of those since the last success */
	uint32_t probes_left;	  /**< of this round, yet to fail */
	int64_t next_probe_ms;	  /**< no probe begins before */
	uint32_t servers;	  /**< that could be probed lately */
	uint64_t connected_hash;  /**< while cut off: server that was connected
				     to  last, with no failure since; 0: none */
};

/** A server that could be probed. */
struct reach_candidate {
	uint64_t server_hash;
	const char *failure_domain; /**< interned */
	const char *service;
};

/** Records that a connection to a server was established. A cut ends when two
 * different servers were connected to in a row: a VM that reaches one of many
 * servers is of no use to callers. */
void reach_record_connected(struct reach *reach, uint64_t server_hash,
			    int64_t now_ms);

/** Records that a server could not be connected to, or that its kernel stopped
 * acknowledging data. */
void reach_record_failed(struct reach *reach, uint64_t server_hash,
			 const char *failure_domain, int64_t now_ms);

/** Records that a probe failed. Its server is recorded with
 * reach_record_failed(). */
void reach_record_probe_failed(struct reach *reach);

/**
 * Begins a round of probes if several servers have failed.
 *
 * @param servers number of servers that could be probed.
 * @return how many probes to start now.
 */
uint32_t reach_begin_probes(struct reach *reach, uint32_t servers,
			    int64_t now_ms);

/**
 * Chooses servers to probe: in other failure domains than those that failed or
 * are probed already, and of different services, as far as there are any.
 *
 * @param start index from which candidates are compared; should vary.
 * @param chosen receives up to `wanted` indexes, at most REACH_PROBES.
 * @return the number of indexes.
 */
uint32_t reach_choose_probes(const struct reach *reach,
			     const struct reach_candidate *candidates,
			     uint32_t count, uint32_t start, uint32_t wanted,
			     uint32_t *chosen);

#endif
