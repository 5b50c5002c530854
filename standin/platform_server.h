#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform_kv.h"

/**
 * @file
 * A backend server of the platform: registers itself, runs requests for a
 * time, refuses when it is full or meant for another, and notes every run.
 */

struct platform_server;

struct platform_server_options {
	const char *id;
	const char *address;
	const char *listed; /**< where its entry says that it is; "": address */
	const char *service;
	const char *failure_domain;
	uint32_t slots;
	uint32_t work_ms;
};

/**
 * @param runs request id to GPtrArray of server ids, shared by all servers.
 * @return a server that is listed as ready, or NULL.
 */
struct platform_server *
platform_server_new(struct event_base *base, struct platform_kv *kv,
		    GHashTable *runs,
		    const struct platform_server_options *options);
void platform_server_free(struct platform_server *server);

/**
 * @return a new list of requests that began to run after the server's leaving
 * had been in the store for `bound_ms`: "id", "server", "late_ms".
 */
json_t *platform_server_late_runs(const struct platform_server *server,
				  int64_t bound_ms);

/** Says that it leaves, and goes on serving. */
void platform_server_drain(struct platform_server *server);

/**
 * What the server does with the next requests: none, refuse, lose (runs them
 * and breaks the connection), cut (sends half of the body), other-id (answers
 * under another request's id), unstamped.
 *
 * @return whether `name` is a fault.
 */
bool platform_server_set_fault(struct platform_server *server, const char *name);

#endif
