#ifndef SOAK_HTTP_CALL_H
#define SOAK_HTTP_CALL_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/** @file A single HTTP call on its own connection. */

/**
 * @param status 0 if no complete response arrived.
 * @param body followed by a zero byte, valid during the call.
 */
typedef void (*http_call_done)(void *context, uint16_t status, const char *body,
			       size_t bytes);

/**
 * Sends a request. `done` is called exactly once, from the event loop: with the
 * response, or with status 0 on failure or after `timeout_ms`.
 *
 * @param body sent as a POST; NULL sends a GET.
 */
void http_call_start(struct event_base *base, const char *address,
		     const char *target, const char *body, uint32_t timeout_ms,
		     http_call_done done, void *context);

#endif
