#include "net/head_text.h"

#include <string.h>

bool head_text_init(struct head_text *head)
{
	head->text = evbuffer_new();
	return head->text != NULL;
}

void head_text_release(struct head_text *head)
{
	if (head->text)
		evbuffer_free(head->text);
	head->text = NULL;
}

void head_text_clear(struct head_text *head)
{
	evbuffer_drain(head->text, evbuffer_get_length(head->text));
	head->header_count = 0;
	head->in_value = false;
}

uint32_t head_text_bytes(const struct head_text *head)
{
	return (uint32_t)evbuffer_get_length(head->text);
}

bool head_text_add(struct head_text *head, const char *at, size_t length)
{
	return !evbuffer_add(head->text, at, length);
}

static void terminate_string(struct head_text *head)
{
	evbuffer_add(head->text, "", 1);
}

bool head_text_begin_name(struct head_text *head)
{
	struct header_offsets *offsets;

	if (head->header_count && !head->in_value)
		return true; /* another piece of the same name */
	if (head->header_count == HEAD_TEXT_HEADERS_MAX)
		return false;
	terminate_string(head);
	offsets = &head->offsets[head->header_count++];
	offsets->name = head_text_bytes(head);
	offsets->value = 0;
	head->in_value = false;
	return true;
}

void head_text_begin_value(struct head_text *head)
{
	if (head->in_value)
		return;
	terminate_string(head);
	head->offsets[head->header_count - 1].value = head_text_bytes(head);
	head->in_value = true;
}

static void trim_end(char *text)
{
	size_t length = strlen(text);

	while (length && strchr(" \t", text[length - 1]))
		text[--length] = '\0';
}

const char *head_text_finish(struct head_text *head, bool trim_names)
{
	char *text;
	uint32_t i;

	terminate_string(head);
	text = (char *)evbuffer_pullup(head->text, -1);
	for (i = 0; i < head->header_count; i++) {
		const struct header_offsets *offsets = &head->offsets[i];

		if (trim_names)
			trim_end(text + offsets->name);
		head->headers[i].name = text + offsets->name;
		head->headers[i].value =
			offsets->value ? text + offsets->value : "";
	}
	return text;
}
