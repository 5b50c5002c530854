#include "net/status_line.h"

#include <glib.h>
#include <string.h>

#define STATUS_OFFSET 9
#define STATUS_DIGITS 3

void status_line_add(struct status_line *line, const char *data, size_t bytes)
{
	size_t added;

	/* empty lines may precede a message (RFC 9112 section 2.2) */
	while (!line->bytes && bytes && (*data == '\r' || *data == '\n')) {
		data++;
		bytes--;
	}
	added = MIN(bytes, STATUS_LINE_BYTES - line->bytes);
	memcpy(line->text + line->bytes, data, added);
	line->bytes += (uint32_t)added;
}

bool status_line_is_valid(const struct status_line *line)
{
	const char *status = line->text + STATUS_OFFSET;
	uint32_t i;

	if (line->bytes < STATUS_LINE_BYTES)
		return false;
	for (i = 0; i < STATUS_DIGITS; i++)
		if (!g_ascii_isdigit(status[i]))
			return false;
	if (g_ascii_isdigit(status[STATUS_DIGITS]))
		return false;
	/* this side never asks to switch protocols */
	return *status >= '1' && *status <= '5' &&
	       strncmp(status, "101", STATUS_DIGITS);
}
