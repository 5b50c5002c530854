#include "kv/compress.h"

#include <stdlib.h>
#include <zlib.h>

/* Initial estimate of the decompressed size as a multiple of the compressed. */
#define RATIO_ESTIMATE 8

static void replace_content(struct evbuffer *buffer, const Bytef *bytes,
			    uLong count)
{
	evbuffer_drain(buffer, evbuffer_get_length(buffer));
	evbuffer_add(buffer, bytes, count);
}

bool compress_deflate(struct evbuffer *buffer)
{
	const uLong bytes = evbuffer_get_length(buffer);
	uLongf count = compressBound(bytes);
	Bytef *out = malloc(count);
	bool compressed;

	compressed = out && compress2(out, &count, evbuffer_pullup(buffer, -1),
				      bytes, Z_BEST_SPEED) == Z_OK;
	if (compressed)
		replace_content(buffer, out, count);
	free(out);
	return compressed;
}

bool compress_inflate(struct evbuffer *buffer, size_t bytes_max)
{
	const uLong bytes = evbuffer_get_length(buffer);
	size_t capacity = bytes * RATIO_ESTIMATE;
	int result = Z_BUF_ERROR;
	Bytef *out = NULL;
	uLongf count = 0;

	/* the format does not contain the size: doubles the capacity */
	while (result == Z_BUF_ERROR && capacity && capacity / 2 < bytes_max) {
		free(out);
		count = capacity < bytes_max ? capacity : bytes_max;
		out = malloc(count);
		if (!out)
			return false;
		result = uncompress(out, &count, evbuffer_pullup(buffer, -1),
				    bytes);
		capacity *= 2;
	}
	if (result == Z_OK)
		replace_content(buffer, out, count);
	free(out);
	return result == Z_OK;
}
