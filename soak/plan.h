#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * @file
 * What happens during one soak, and when. A plan is drawn from a seed, or read
 * from a file with one line an event:
 *
 *     AT_MS KIND TARGET HOW FOR_MS
 *
 * TARGET counts from 0 and is taken modulo the number of things of its kind.
 * What is after "#" is no part of a line.
 */

enum soak_kind {
	SOAK_KILL,  /**< SIGKILL of an entry VM, started again after FOR_MS */
	SOAK_TERM,  /**< SIGTERM, started again FOR_MS after it has ended */
	SOAK_PAUSE, /**< SIGSTOP, SIGCONT after FOR_MS */
	SOAK_HUP,   /**< SIGHUP */
	SOAK_KILL_ALL,	  /**< SIGKILL of all entry VMs at once */
	SOAK_STORE,	  /**< the store fails; HOW: busy, silent or reset */
	SOAK_COMPACT,	  /**< the store forgets its history */
	SOAK_STORE_LINK,  /**< one VM's link to the store; HOW: see proxy.h */
	SOAK_SERVER_LINK, /**< the link to a backend server; HOW: the same */
	SOAK_SERVER,	  /**< a backend server; HOW: refuse, lose, cut, ... */
	SOAK_CRASH,	  /**< a backend server is gone, its entry stays */
	SOAK_DRAIN,	  /**< a backend server leaves, another one comes */
	SOAK_EVACUATE,	  /**< a failure domain, for FOR_MS */
	SOAK_CONFIG,	  /**< a new version */
	SOAK_KINDS
};

struct soak_event {
	int64_t at_ms;
	enum soak_kind kind;
	uint32_t target;
	char how[16]; /**< "-": nothing to say */
	int64_t for_ms;
	bool is_on; /**< has begun and not ended */
};

struct soak_plan {
	GArray *events; /**< of struct soak_event, by their time */
	int64_t length_ms;
};

/** Draws a plan. The same seed gives the same plan. */
struct soak_plan soak_plan_draw(uint32_t seed, int64_t length_ms);

/** Reads a plan. @return false after a line on standard error. */
bool soak_plan_read(const char *file_name, struct soak_plan *plan);

void soak_plan_print(const struct soak_plan *plan, FILE *out);
void soak_plan_clear(struct soak_plan *plan);

/** @return whether an event is an operator's work, not a fault. */
bool soak_is_planned(enum soak_kind kind);

/**
 * @return whether no fault was in force from `calm_ms` before a moment of the
 * soak until it. Planned work is no fault.
 */
bool soak_plan_calm(const struct soak_plan *plan, int64_t moment_ms,
		    int64_t calm_ms);

const char *soak_kind_name(enum soak_kind kind);

#endif
