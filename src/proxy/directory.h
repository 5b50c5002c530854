#ifndef PROXY_DIRECTORY_H
#define PROXY_DIRECTORY_H

#include <event2/buffer.h>

#include "proxy/proxy_defs.h"

/**
 * @file
 * Tells callers which entry VMs to use: those that live, of the caller's region
 * where there are any.
 */

/** An endpoint_answer; `context` is the proxy. */
uint16_t directory_answer(void *context, const char *method,
			  const char *target, struct evbuffer *body,
			  const char **media_type);

#endif
