#ifndef BENCH_CALLER_H
#define BENCH_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/verdict_defs.h"

/**
 * @file
 * A caller as the product's users write it: asks for entry VMs, keeps the
 * answer for its time, and repeats an order with the same key.
 */

#define CALLER_ATTEMPTS_MAX 8
#define CALLER_KEY_BYTES 240

/** Connections to every address, shared by all callers. */
struct caller_net;

struct caller_net *caller_net_new(void);
void caller_net_free(struct caller_net *net);

struct caller_options {
	char **lookup_addresses; /**< entry VMs that answer look-ups */
	uint32_t lookup_count;
	const char *service;
	const char *path_prefix;
	uint32_t timeout_ms; /**< of one attempt */
	uint32_t attempts_max;
	uint32_t pause_ms; /**< between attempts */
};

/** One caller; used by one thread at a time. */
struct caller {
	const struct caller_options *options;
	struct caller_net *net;
	char tag[40];	 /**< sent with each request, expected in the answer */
	char client[40]; /**< address that the look-up is made for */
	char from[65];	 /**< region */
	uint32_t next_lookup;
	uint64_t number;
	/* the kept look-up answer */
	char addresses[3][65];
	uint32_t address_count;
	char key_prefix[160];
	char region[65];
	int64_t valid_until_ms;
};

struct caller_attempt {
	char address[65];
	char request_id[96];
	enum verdict verdict;
	uint32_t status; /**< 0: no answer */
};

/** What came of one operation. */
struct caller_outcome {
	char key[CALLER_KEY_BYTES]; /**< of an order, else empty */
	struct caller_attempt attempts[CALLER_ATTEMPTS_MAX];
	uint32_t attempt_count;
	bool succeeded;
	bool answer_wrong; /**< whole, but another caller's or not whole */
	bool no_entry;	   /**< no look-up was answered */
};

/** Asks for entry VMs. @return false when no one answers. */
bool caller_look_up(struct caller *caller);

/** Runs an idempotent request. */
void caller_get(struct caller *caller, struct caller_outcome *outcome);

/** Places an order, repeating it until its fate is known. */
void caller_order(struct caller *caller, const char *fault,
		  struct caller_outcome *outcome);

#endif
