#include "net/buffer.h"

#include <xxhash.h>

#include "unit/test.h"

#define PIECES 10000
/* What libevent allocates for the smallest block. */
#define BLOCK_BYTES_MIN 1024

static size_t count_blocks(struct evbuffer *buffer)
{
	return (size_t)evbuffer_peek(buffer, -1, NULL, NULL, 0);
}

/* Appends pieces that arrive one by one. @return the buffer with all of them. */
static struct evbuffer *append_pieces(const char *piece, size_t bytes)
{
	struct evbuffer *to = evbuffer_new();
	struct evbuffer *from = evbuffer_new();
	int i;

	for (i = 0; i < PIECES; i++) {
		evbuffer_add(from, piece, bytes);
		buffer_append(to, from);
		g_assert_cmpuint(evbuffer_get_length(from), ==, 0);
	}
	evbuffer_free(from);
	return to;
}

/* A response in chunks of one byte took a thousand times the memory that the
 * limit on unsent bytes allows. */
static void small_pieces_share_blocks(void)
{
	struct evbuffer *to = append_pieces("x", 1);

	g_assert_cmpuint(evbuffer_get_length(to), ==, PIECES);
	g_assert_cmpuint(count_blocks(to) * BLOCK_BYTES_MIN, <=, 2 * PIECES);
	evbuffer_free(to);
}

static void large_pieces_are_moved(void)
{
	char piece[4096];
	struct evbuffer *from = evbuffer_new();
	struct evbuffer *to = evbuffer_new();
	struct evbuffer_iovec before;
	struct evbuffer_iovec after;

	memset(piece, 'x', sizeof(piece));
	evbuffer_add(from, piece, sizeof(piece));
	evbuffer_peek(from, -1, NULL, &before, 1);
	buffer_append(to, from);
	evbuffer_peek(to, -1, NULL, &after, 1);
	g_assert_true(before.iov_base == after.iov_base);
	g_assert_cmpuint(evbuffer_get_length(to), ==, sizeof(piece));
	evbuffer_free(from);
	evbuffer_free(to);
}

/* VMs of an earlier build compare the hash of a request's body with theirs. */
static void hash_is_that_of_contiguous_bytes(void)
{
	struct evbuffer *buffer = append_pieces("0123456789", 10);
	uint64_t hash;

	g_assert_cmpuint(count_blocks(buffer), >, 1);
	hash = buffer_hash(buffer);
	g_assert_cmpuint(count_blocks(buffer), >, 1);
	g_assert_cmpuint(hash, ==,
			 XXH3_64bits(evbuffer_pullup(buffer, -1),
				     evbuffer_get_length(buffer)));
	evbuffer_drain(buffer, evbuffer_get_length(buffer));
	g_assert_cmpuint(buffer_hash(buffer), ==, XXH3_64bits("", 0));
	evbuffer_free(buffer);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("buffer", small_pieces_share_blocks);
	ADD_TEST("buffer", large_pieces_are_moved);
	ADD_TEST("buffer", hash_is_that_of_contiguous_bytes);
	return g_test_run();
}
