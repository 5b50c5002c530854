#include "net/buffer.h"

#include <xxhash.h>

/* libevent's smallest block. */
#define BLOCK_BYTES_MIN 1024

void buffer_append(struct evbuffer *to, struct evbuffer *from)
{
	const size_t bytes = evbuffer_get_length(from);

	if (bytes < BLOCK_BYTES_MIN) {
		evbuffer_add(to, evbuffer_pullup(from, -1), bytes);
		evbuffer_drain(from, bytes);
	} else {
		evbuffer_add_buffer(to, from);
	}
}

uint64_t buffer_hash(struct evbuffer *buffer)
{
	XXH3_state_t *state = XXH3_createState();
	struct evbuffer_iovec block;
	struct evbuffer_ptr at;
	uint64_t hash;

	XXH3_64bits_reset(state);
	evbuffer_ptr_set(buffer, &at, 0, EVBUFFER_PTR_SET);
	while (evbuffer_peek(buffer, -1, &at, &block, 1) > 0 && block.iov_len) {
		XXH3_64bits_update(state, block.iov_base, block.iov_len);
		if (evbuffer_ptr_set(buffer, &at, block.iov_len, EVBUFFER_PTR_ADD))
			break;
	}
	hash = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return hash;
}
