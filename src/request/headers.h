#ifndef REQUEST_HEADERS_H
#define REQUEST_HEADERS_H

#include <event2/buffer.h>

#include "net/http_stream.h"

/** @file Copies the headers that the proxy forwards. */

/**
 * Adds the request line and the headers for a backend server.
 *
 * @param has_workspaces whether the configuration has workspaces: then the
 * caller's key, and the workspace that it claims, are not forwarded.
 */
void headers_copy_request(const struct http_head *head, bool has_workspaces,
			  struct evbuffer *out);

/**
 * Adds the request line and the headers for another entry VM, which handles the
 * request as if the caller had sent it there: the caller's key is included, the
 * deadline is not.
 */
void headers_copy_request_for_vm(const struct http_head *head,
				 struct evbuffer *out);

/** Ends a request's head, behind its headers: with a Content-Length if the
 * method has a body. */
void headers_end_request(const char *method, size_t body_bytes,
			 struct evbuffer *out);

/**
 * Adds a response's headers as lines, without those that frame the body.
 *
 * @param from_vm the response came from another entry VM: headers between VMs
 * are left out.
 */
void headers_copy_response(const struct http_head *head, bool from_vm,
			   struct evbuffer *out);

#endif
