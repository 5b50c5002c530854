#ifndef PROXY_ENDPOINT_H
#define PROXY_ENDPOINT_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdint.h>

/**
 * @file
 * A small HTTP server for questions that are answered from memory: readiness,
 * directory, metrics. Loop's thread.
 */

/** @return the status; writes the body and its media type. */
typedef uint16_t (*endpoint_answer)(void *context, const char *method,
				    const char *target, struct evbuffer *body,
				    const char **media_type);

struct endpoint;

/** Listens on "IP:port". @return an endpoint, or NULL with a log line. */
struct endpoint *endpoint_new(struct event_base *base, const char *address,
			      endpoint_answer answer, void *context);
void endpoint_free(struct endpoint *endpoint);

#endif
