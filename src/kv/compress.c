#include "kv/compress.h"

#include <stdlib.h>
#include <zlib.h>

/* First guess of how many times larger the restored bytes are. */
#define RATIO_GUESS 8

static void replace(struct evbuffer *buffer, const Bytef *bytes, uLong count)
{
	evbuffer_drain(buffer, evbuffer_get_length(buffer));
	evbuffer_add(buffer, bytes, count);
}

bool compress_buffer(struct evbuffer *buffer)
{
	const uLong bytes = evbuffer_get_length(buffer);
	uLongf count = compressBound(bytes);
	Bytef *out = malloc(count);
	bool done;

	done = out && compress2(out, &count, evbuffer_pullup(buffer, -1), bytes,
				Z_BEST_SPEED) == Z_OK;
	if (done)
		replace(buffer, out, count);
	free(out);
	return done;
}

bool compress_restore(struct evbuffer *buffer, size_t bytes_max)
{
	const uLong bytes = evbuffer_get_length(buffer);
	size_t room = bytes * RATIO_GUESS;
	int result = Z_BUF_ERROR;
	Bytef *out = NULL;
	uLongf count = 0;

	/* the size is not told: tries again with more room */
	while (result == Z_BUF_ERROR && room && room / 2 < bytes_max) {
		free(out);
		count = room < bytes_max ? room : bytes_max;
		out = malloc(count);
		if (!out)
			return false;
		result = uncompress(out, &count, evbuffer_pullup(buffer, -1),
				    bytes);
		room *= 2;
	}
	if (result == Z_OK)
		replace(buffer, out, count);
	free(out);
	return result == Z_OK;
}
