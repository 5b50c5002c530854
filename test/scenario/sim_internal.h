#ifndef TEST_SCENARIO_SIM_INTERNAL_H
#define TEST_SCENARIO_SIM_INTERNAL_H

#include "entry/forward.h"
#include "scenario/sim.h"

/**
 * @file
 * Functions and constants shared by the modules of the simulation.
 */

#define SIM_SERVICE "cleft"
#define SIM_PATH "/cleft/book"

/**
 * Initialises an exchange as if its request had been received over HTTP. The
 * caller clears it with forward_clear().
 *
 * @param key NULL: no idempotency key.
 */
void sim_init_exchange(struct sim_entry *vm, struct exchange *exchange,
		       const char *key, const char *body, int64_t deadline_ns);

/** Frees a value of the fake store. */
void sim_value_free(gpointer value);

/** Sets the entry VM's transport and fleet interfaces to the fakes. */
void sim_install_fakes(struct sim_entry *vm);

#endif
