#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * @file
 * The schedule of faults and operator actions of a soak run. A plan is
 * generated from a seed or read from a file with one event per line:
 *
 *     AT_MS KIND TARGET HOW FOR_MS
 *
 * and, optionally, a line "servers SLOTS QUEUE WORK_MS".
 *
 * TARGET is an index from 0, taken modulo the number of VMs, servers or failure
 * domains; for SOAK_CUT_HALF, VMs are cut off if their index is odd as TARGET
 * is, or even. "#" starts a comment.
 */

enum soak_kind {
	SOAK_KILL,     /**< SIGKILL of an entry VM; restart after FOR_MS */
	SOAK_TERM,     /**< SIGTERM; restart after FOR_MS, once it has exited */
	SOAK_PAUSE,    /**< SIGSTOP; SIGCONT after FOR_MS */
	SOAK_HUP,      /**< SIGHUP */
	SOAK_KILL_ALL, /**< SIGKILL of all entry VMs at once */
	SOAK_STORE,    /**< store fault; HOW: busy, silent or reset */
	SOAK_COMPACT,  /**< the store discards its watch history */
	SOAK_STORE_BACK,  /**< the store comes back from a copy FOR_MS old */
	SOAK_STORE_LINK,  /**< a VM's connections to the store; HOW: a mode of
			     fault_proxy_set_mode() */
	SOAK_SERVER_LINK, /**< the connections to a backend server; HOW: same */
	SOAK_SERVER, /**< backend server fault; HOW: refuse, lose, cut, ... */
	SOAK_CRASH,  /**< a backend server stops; its entry stays for a while */
	SOAK_DRAIN,  /**< a backend server drains and is replaced */
	SOAK_EVACUATE, /**< evacuation of a failure domain for FOR_MS */
	SOAK_CONFIG,   /**< a new configuration version */
	SOAK_SLOW,     /**< requests wait some seconds at all backend servers;
			  HOW: slow, or slow-no-load */
	SOAK_CUT,      /**< a VM loses its connections to all backend servers;
			  HOW: a mode of fault_proxy_set_mode() */
	SOAK_CUT_HALF, /**< every second VM loses them */
	SOAK_LIMIT, /**< a backend server limits its requests; HOW: requests per
		       second of all VMs, or any other text */
	SOAK_LIMIT_ALL, /**< all backend servers do */
	SOAK_ODD_ENTRY, /**< another writer's entry among those of the servers;
			   HOW: nested, number, port or key */
	SOAK_UPGRADE,	/**< SIGTERM of an entry VM; restart after FOR_MS, with
			   the   build that HOW names: new or old */
	SOAK_KIND_COUNT
};

struct soak_event {
	int64_t at_ms;
	enum soak_kind kind;
	uint32_t target;
	char how[16]; /**< "-": not applicable */
	int64_t for_ms;
	bool is_active; /**< started and not yet ended */
};

/** Capacity of each backend server. */
struct soak_servers {
	uint32_t slots;
	uint32_t queue; /**< requests that wait for a slot; more are refused */
	uint32_t work_ms;
};

struct soak_plan {
	GArray *events; /**< of struct soak_event, sorted by at_ms */
	int64_t length_ms;
	struct soak_servers servers;
	bool busy; /**< the servers cannot run all requests */
	/** A route has large bodies: VMs are assigned to servers and hand off
	 * requests to each other. */
	bool large_bodies;
	uint32_t slow_callers; /**< see slow_callers.h */
};

/** Generates a random plan; the same seed gives the same plan. */
struct soak_plan soak_plan_generate(uint32_t seed, int64_t length_ms);

/**
 * Adds an upgrade of all VMs, one after the other, from the earlier build to
 * the present one; for every second seed, half of them go back in between.
 */
void soak_plan_add_upgrade(struct soak_plan *plan, uint32_t seed,
			   uint32_t vm_count);

/** Reads a plan. @return false after printing an error to stderr. */
bool soak_plan_read(const char *file_name, struct soak_plan *plan);

void soak_plan_print(const struct soak_plan *plan, FILE *out);
void soak_plan_clear(struct soak_plan *plan);

/** @return whether an event of this kind is no fault. */
bool soak_is_planned(enum soak_kind kind);

/** @return whether an event of this kind is a fault of the store alone. */
bool soak_is_store_fault(enum soak_kind kind);

/** @return whether an event cuts a VM off from all backend servers. */
bool soak_event_cuts_vm(const struct soak_event *event, uint32_t vm,
			uint32_t vm_count);

/** @return whether a backend server limits its requests during an event. */
bool soak_event_limits_server(const struct soak_event *event, uint32_t server,
			      uint32_t server_count);

/**
 * @return whether an event is active at any time from `from_ms` to `to_ms`, or
 * has ended less than `recovery_ms` before.
 */
bool soak_event_is_near(const struct soak_event *event, int64_t from_ms,
			int64_t to_ms, int64_t recovery_ms);

/**
 * @return whether no fault is near, see soak_event_is_near(). An operator's
 * actions, and servers that take long, are not faults.
 */
bool soak_plan_is_fault_free(const struct soak_plan *plan, int64_t from_ms,
			     int64_t to_ms, int64_t recovery_ms);

const char *soak_kind_name(enum soak_kind kind);

#endif
