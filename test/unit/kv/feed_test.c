#include "kv/feed.h"

#include <stdlib.h>

#include "kv/compress.h"
#include "unit/test.h"

static void put(struct feed *feed, const char *key, uint64_t revision)
{
	struct kv_item item = {
		.key = (char *)key,
		.value = (char *)"v",
		.value_bytes = 1,
		.revision = revision,
	};

	feed_put(feed, &item);
}

/* @return "key=revision" or "key-revision" of each change, in order. */
static char *changes(const struct feed *feed, uint64_t since)
{
	GString *text = g_string_new(NULL);
	struct kv_page page;
	size_t i;

	g_assert_cmpint(feed_since(feed, since, &page), ==, FEED_CHANGES);
	for (i = 0; i < page.item_count; i++)
		g_string_append_printf(text, "%s%s%c%d", i ? " " : "",
				       page.items[i].key,
				       page.items[i].removed ? '-' : '=',
				       (int)page.items[i].revision);
	free(page.items);
	return g_string_free(text, false);
}

static enum feed_result result(const struct feed *feed, uint64_t since)
{
	struct kv_page page;
	enum feed_result result = feed_since(feed, since, &page);

	free(page.items);
	return result;
}

static void only_later_changes_are_told(void)
{
	struct feed *feed = feed_new("a/");
	char *text;

	put(feed, "a/1", 5);
	feed_advance(feed, 6, true);
	put(feed, "a/2", 8);
	feed_remove(feed, "a/1", 9);
	feed_advance(feed, 9, true);
	text = changes(feed, 6);
	g_assert_cmpstr(text, ==, "a/1-9 a/2=8");
	g_free(text);
	text = changes(feed, 8);
	g_assert_cmpstr(text, ==, "a/1-9");
	g_free(text);
	g_assert_cmpint(result(feed, 9), ==, FEED_NOTHING);
	feed_free(feed);
}

/* A key that was removed and written again is told in this order. */
static void a_key_that_came_back_is_there(void)
{
	struct feed *feed = feed_new("a/");
	char *text;

	put(feed, "a/1", 2);
	feed_advance(feed, 2, true);
	feed_remove(feed, "a/1", 3);
	put(feed, "a/1", 4);
	feed_advance(feed, 4, true);
	text = changes(feed, 2);
	g_assert_cmpstr(text, ==, "a/1-3 a/1=4");
	g_free(text);
	feed_free(feed);
}

static void older_knowledge_changes_nothing(void)
{
	struct feed *feed = feed_new("a/");

	put(feed, "a/1", 7);
	feed_advance(feed, 7, true);
	put(feed, "a/1", 6);
	feed_remove(feed, "a/1", 5);
	feed_remove(feed, "a/2", 9);
	feed_advance(feed, 7, true);
	g_assert_cmpint(result(feed, 7), ==, FEED_NOTHING);
	feed_free(feed);
}

static void history_from_before_is_not_kept(void)
{
	struct feed *feed = feed_new("a/");

	put(feed, "a/1", 7);
	feed_advance(feed, 10, true);
	/* what was removed before revision 10 is not known here */
	g_assert_cmpint(result(feed, 9), ==, FEED_GONE);
	g_assert_cmpint(result(feed, 10), ==, FEED_NOTHING);
	feed_free(feed);
}

static void many_removals_are_bounded(void)
{
	struct feed *feed = feed_new("a/");
	char key[16];
	int i;

	feed_advance(feed, 1, true);
	for (i = 0; i < 3000; i++) {
		g_snprintf(key, sizeof(key), "a/%d", i);
		put(feed, key, (uint64_t)i * 2 + 2);
		feed_remove(feed, key, (uint64_t)i * 2 + 3);
	}
	feed_advance(feed, 6002, true);
	g_assert_cmpint(result(feed, 1), ==, FEED_GONE);
	g_assert_cmpint(result(feed, 6000), ==, FEED_CHANGES);
	feed_free(feed);
}

/* Two VMs that read from each other must not confirm each other. */
static void only_what_comes_from_the_store_is_passed_on(void)
{
	struct feed *feed = feed_new("a/");

	feed_advance(feed, 5, false);
	g_assert_cmpint(result(feed, 5), ==, FEED_STALE);
	feed_advance(feed, 5, true);
	g_assert_cmpint(result(feed, 5), ==, FEED_NOTHING);
	feed_interrupt(feed);
	g_assert_cmpint(result(feed, 5), ==, FEED_STALE);
	feed_free(feed);
}

static void lists_survive_compression(void)
{
	struct evbuffer *buffer = evbuffer_new();
	char *text = g_strnfill(200000, 'x');
	struct evbuffer *copy = evbuffer_new();

	evbuffer_add(buffer, text, 200000);
	g_assert_true(compress_buffer(buffer));
	g_assert_cmpuint(evbuffer_get_length(buffer), <, 20000);
	evbuffer_add(copy, evbuffer_pullup(buffer, -1),
		     evbuffer_get_length(buffer));
	g_assert_true(compress_restore(buffer, 200000));
	g_assert_cmpuint(evbuffer_get_length(buffer), ==, 200000);
	g_assert_cmpint(memcmp(evbuffer_pullup(buffer, -1), text, 200000), ==, 0);
	/* a bound, and bytes that are no list */
	g_assert_false(compress_restore(copy, 1000));
	evbuffer_drain(copy, 10);
	g_assert_false(compress_restore(copy, 200000));
	evbuffer_free(copy);
	evbuffer_free(buffer);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("feed", only_later_changes_are_told);
	ADD_TEST("feed", a_key_that_came_back_is_there);
	ADD_TEST("feed", older_knowledge_changes_nothing);
	ADD_TEST("feed", history_from_before_is_not_kept);
	ADD_TEST("feed", many_removals_are_bounded);
	ADD_TEST("feed", only_what_comes_from_the_store_is_passed_on);
	ADD_TEST("feed", lists_survive_compression);
	return g_test_run();
}
