#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform_kv.h"

/**
 * @file
 * A backend server of the platform stand-in: publishes its store entry, takes a
 * fixed time for each request, refuses requests when it is full or when they
 * are meant for another server, and records every run.
 */

struct platform_server;

struct platform_server_options {
	const char *id;
	const char *address;
	const char *listed_address; /**< in its store entry; "": same as address */
	const char *service;
	const char *failure_domain;
	uint32_t slots;
	uint32_t queue_max; /**< requests that wait for a slot; more are refused */
	uint32_t work_ms;
};

/**
 * @param runs request ID to GPtrArray of server IDs, shared by all servers.
 * @return a server whose store entry says ready, or NULL.
 */
struct platform_server *
platform_server_new(struct event_base *base, struct platform_kv *kv,
		    GHashTable *runs,
		    const struct platform_server_options *options);
void platform_server_free(struct platform_server *server);

/**
 * @return a new array of the requests that began to run more than `bound_ms`
 * after the store showed the server as draining: "id", "server", "late_ms".
 */
json_t *platform_server_late_runs(const struct platform_server *server,
				  int64_t bound_ms);

/** Writes the server's store entry again. */
void platform_server_publish(struct platform_server *server);

/** Publishes that the server is draining; it keeps serving requests. */
void platform_server_drain(struct platform_server *server);

/**
 * Sets the fault injected into the next requests: none, refuse, refuse-no-id
 * (without the request's ID), lose (runs the
 * request and resets the connection), cut (sends half of the body), other-id
 * (responds with another request's ID), unstamped (no response stamp), leaving
 * (reports in its responses that it will exit), busy (refuses with a
 * Retry-After of 2.5 s), slow (as if other callers' requests were ahead for
 * 4 s; then refuses those whose deadline has passed), slow-no-load (slow,
 * and reports no load), endless-head, endless-body, endless-stamped (bytes
 * without end in the head, in an invalid body, in a body with a stamp),
 * endless-chunks (a body with a stamp, in chunks of one byte), endless-interim
 * (interim responses), endless-trailer (headers behind a body),
 * endless-responses (with another request's ID).
 *
 * @return false if `name` is none of these.
 */
bool platform_server_set_fault(struct platform_server *server, const char *name);

/**
 * Names `text` as the server's limit in its responses from now on; "": none.
 *
 * @return false if the text is too long for a header.
 */
bool platform_server_set_limit(struct platform_server *server, const char *text);

/** @return a new object as described in limit_record.h. */
json_t *platform_server_judge_limit(const struct platform_server *server);

/** @return the number of requests refused with 503. */
uint32_t platform_server_refused(const struct platform_server *server);

#endif
