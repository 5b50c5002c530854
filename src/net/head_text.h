#ifndef NET_HEAD_TEXT_H
#define NET_HEAD_TEXT_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/http_stream.h"

/**
 * @file
 * Text of a message's head while it arrives in pieces: the target of a request,
 * then the names and values of the headers, each with a NUL.
 */

/** A message with more headers is rejected. */
#define HEAD_TEXT_HEADERS_MAX 128

/** Offsets of one header in the text. They become pointers only when the head
 * is complete, because the buffer may move while it grows. */
struct header_offsets {
	uint32_t name;
	uint32_t value; /**< 0: none */
};

struct head_text {
	struct evbuffer *text; /**< owned */
	struct header_offsets offsets[HEAD_TEXT_HEADERS_MAX];
	struct http_header headers[HEAD_TEXT_HEADERS_MAX];
	uint32_t header_count;
	bool in_value;
};

/** @return whether there is memory for it. */
bool head_text_init(struct head_text *head);
void head_text_release(struct head_text *head);

/** Begins the next message. */
void head_text_clear(struct head_text *head);

/** @return the length of the text so far, NULs included. */
uint32_t head_text_bytes(const struct head_text *head);

/** Adds a piece of what was begun last, at first of the target.
 * @return whether there is memory for it. */
bool head_text_add(struct head_text *head, const char *at, size_t length);

/** A piece of a header's name follows. @return false: too many headers. */
bool head_text_begin_name(struct head_text *head);

/** A piece of a header's value follows. */
void head_text_begin_value(struct head_text *head);

/** Ends the head, and sets the pointers of `headers`.
 * @param trim_names removes white space behind the headers' names.
 * @return the target; empty in a response. Valid until the next message. */
const char *head_text_finish(struct head_text *head, bool trim_names);

#endif
