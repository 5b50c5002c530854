#ifndef REQUEST_HEADERS_H
#define REQUEST_HEADERS_H

#include <event2/buffer.h>

#include "net/http_stream.h"

/** @file Copies the headers that the proxy forwards. */

/** Adds the request line and the headers for a backend server. */
void headers_copy_request(const struct http_head *head, struct evbuffer *out);

/**
 * Adds a response's headers as lines, without those that frame the body.
 *
 * @param from_vm the response came from another entry VM: headers between VMs
 * are left out.
 */
void headers_copy_response(const struct http_head *head, bool from_vm,
			   struct evbuffer *out);

#endif
