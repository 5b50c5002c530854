#ifndef BENCH_MODEL_POLICIES_H
#define BENCH_MODEL_POLICIES_H

#include "model_defs.h"

/** @file Server choice policies that see only the entry VM's own requests. */

/**
 * Chooses a server by the policy of the model's options and counts the request
 * as in flight there.
 *
 * @return a server that the request has not tried, or -1 if it has to wait.
 */
int model_choose_server(struct model *model, struct model_request *request);

#endif
