#ifndef TEST_SCENARIO_WORLD_INTERNAL_H
#define TEST_SCENARIO_WORLD_INTERNAL_H

#include "entry/forward.h"
#include "scenario/world.h"

/**
 * @file
 * What the modules of the scenarios' world share.
 */

#define WORLD_SERVICE "cleft"
#define WORLD_PATH "/cleft/book"

/** Fills in an exchange as if its request had come over HTTP. */
void world_make_exchange(struct world_entry *at, struct exchange *exchange,
			 const char *key, const char *body, int64_t deadline_ns);

/** Frees a value of the fake store. */
void world_value_free(gpointer value);

/** Gives an entry VM the fakes as its transport and fleet. */
void world_connect(struct world_entry *at);

#endif
