#ifndef SOAK_ASK_H
#define SOAK_ASK_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/** @file One HTTP call on a connection of its own. */

/** @param status 0: no whole answer came. `body` ends with a zero byte. */
typedef void (*ask_done)(void *context, uint16_t status, const char *body,
			 size_t bytes);

/**
 * Sends a call; `done` is called once, from the loop, also after `timeout_ms`.
 *
 * @param body NULL: GET, otherwise POST.
 */
void ask(struct event_base *base, const char *address, const char *target,
	 const char *body, uint32_t timeout_ms, ask_done done, void *context);

#endif
