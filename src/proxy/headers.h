#ifndef PROXY_HEADERS_H
#define PROXY_HEADERS_H

#include <event2/buffer.h>

#include "net/http_stream.h"

/** @file Which headers pass through the proxy. */

/** Adds the start line and the headers that a backend server gets. */
void headers_copy_request(const struct http_head *head, struct evbuffer *out);

/** Adds an answer's headers as lines, without the body's framing. */
void headers_copy_answer(const struct http_head *head, struct evbuffer *out);

#endif
