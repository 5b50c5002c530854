#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <civetweb.h>
#include <jansson.h>

/**
 * @file
 * Helpers shared by the stand-ins, which replace external systems in tests and
 * in the demo and are not part of the product.
 */

/** Blocks until SIGTERM or SIGINT, then stops the server. */
void standin_run_until_signal(struct mg_context *server);

/**
 * Blocks the signals that standin_run_until_signal() waits for. Must be called
 * before any thread is started.
 */
void standin_block_signals(void);

/** @return the request's JSON body for the caller to free, or NULL. */
json_t *standin_read_json(struct mg_connection *connection);

void standin_sleep_ms(int64_t ms);

#endif
