#ifndef BENCH_MODEL_GUESS_H
#define BENCH_MODEL_GUESS_H

#include "model_defs.h"

/** @file The ways of choosing a server that know only the own requests. */

/**
 * Chooses a server by one of the ways that guess, and counts the request as in
 * flight there.
 *
 * @return a server, or -1 when the way wants to wait.
 */
int model_guess(struct model *model, struct request *request);

#endif
