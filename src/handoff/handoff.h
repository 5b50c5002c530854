#ifndef HANDOFF_HANDOFF_H
#define HANDOFF_HANDOFF_H

#include <jansson.h>

#include "net/http_stream.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Passes requests on to the entry VM that is assigned to the servers of their
 * objects, and takes such requests from other VMs. Loop's thread only. All
 * functions allow a proxy without handoff, which places every request itself.
 */

struct exchange;
struct handoff;

/** Listens at the settings' `handoff_address`. @return a handoff that the
 * caller frees, or NULL. */
struct handoff *handoff_new(struct proxy *proxy);
void handoff_free(struct handoff *handoff);

/** Accepts no more connections of other VMs. */
void handoff_stop_listening(struct handoff *handoff);

/** Keeps the request's head as it was received, to be passed on. */
void handoff_init_request(struct exchange *exchange,
			  const struct http_head *head);

/**
 * Passes a request on to the VM that is assigned to its object, if there is one
 * and it is not this VM. The response, or a failure, then ends the exchange;
 * where the other VM fails and the request may still be sent, the exchange goes
 * on with a server that this VM selects.
 *
 * @return whether the request was passed on.
 */
bool handoff_start(struct exchange *exchange);

/** @return whether a request that is passed on counts for the retries of the VM
 * that passes it on, not for those of the assigned VM. */
bool handoff_counts_for_sender(const struct exchange *exchange);

/** The VM to which a request was passed on has not responded in time. */
void handoff_record_timeout(struct exchange *exchange);

/**
 * Refuses a request that another VM passed on if this VM cannot place it.
 *
 * @param receiver name of the VM that it is meant for; NULL: not given.
 */
void handoff_check_request(struct exchange *exchange, const char *receiver);

/** @return whether the VM that passed a request on should place it itself, now
 * that this VM refuses it. */
bool handoff_is_declined(const struct exchange *exchange);

/** @return the state of the VMs that requests were passed on to, for the status
 * page; NULL on error. */
json_t *handoff_encode_status(const struct handoff *handoff);

#endif
