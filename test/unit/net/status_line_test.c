#include "net/status_line.h"

#include "unit/test.h"

static bool is_valid(const char *text, size_t piece_bytes)
{
	struct status_line line = { .bytes = 0 };
	size_t bytes = strlen(text);
	size_t i;

	for (i = 0; i < bytes; i += piece_bytes)
		status_line_add(&line, text + i, MIN(piece_bytes, bytes - i));
	return status_line_is_valid(&line);
}

/* Guards against statuses that callers do not know, and against a status that
 * depends on how the response was cut into packets. */
static void statuses_are_validated_by_their_text(void)
{
	static const char *const valid[] = {
		"HTTP/1.1 200 OK\r\n",	     "HTTP/1.0 599\r\n",
		"HTTP/1.1 404\n\n",	     "\r\nHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 Early Hints\r\n",
	};
	static const char *const invalid[] = {
		"",
		"HTTP/1.1 20",
		"HTTP/1.1 200",
		"HTTP/1.1 600 OK\r\n",
		"HTTP/1.1 999 OK\r\n",
		"HTTP/1.1 000 OK\r\n",
		"HTTP/1.1 042 OK\r\n",
		"HTTP/1.1 099 OK\r\n",
		"HTTP/1.1 101 OK\r\n",
		"HTTP/1.1 1000 OK\r\n",
		"HTTP/1.1 0200 OK\r\n",
		"HTTP/1.1 2000 OK\r\n",
		"HTTP/1.1 +200 OK\r\n",
		"HTTP/1.1 2OO OK\r\n",
		"HTTP/1.1 20 OK\r\n",
		"HTTP/1.1  200 OK\r\n",
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(valid); i++)
		if (!is_valid(valid[i], 1) || !is_valid(valid[i], 100))
			g_error("rejected: %s", valid[i]);
	for (i = 0; i < ARRAY_SIZE(invalid); i++)
		if (is_valid(invalid[i], 1) || is_valid(invalid[i], 100))
			g_error("accepted: %s", invalid[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("status_line", statuses_are_validated_by_their_text);
	return g_test_run();
}
