#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <civetweb.h>
#include <jansson.h>

/**
 * @file
 * What the stand-ins share. They take the place of outside systems in tests
 * and in the demonstration, and are no part of the product.
 */

/** Runs until SIGTERM or SIGINT, then stops the server. */
void standin_run(struct mg_context *server);

/** Blocks the signals that standin_run() waits for; call before threads. */
void standin_block_signals(void);

/** @return the request's JSON body, or NULL. */
json_t *standin_body(struct mg_connection *connection);

/** Sleeps for `ms` milliseconds. */
void standin_sleep_ms(int64_t ms);

#endif
