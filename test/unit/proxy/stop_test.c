#include "proxy/stop.h"

#include <event2/buffer.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kv/presence.h"
#include "net/http_stream.h"
#include "net/linger.h"
#include "net/tcp.h"
#include "platform_kv.h"
#include "unit/test.h"

/* Runs a graceful shutdown in this process. The clock is advanced manually;
 * timers run on the event loop. */

/* Well behind the time at which a VM without requests exits. */
#define EXIT_MS 4500
#define GRACE_MS 10000
#define RESPONSE_BYTES (2 * 1024 * 1024)

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct proxy proxy;
static struct platform_kv *kv;
static struct responder *store;

static void ignore(void *context)
{
	(void)context;
}

static const struct presence_events presence_events = { ignore, ignore };
static const struct http_stream_events stream_events = { 0 };

static void setup(void)
{
	struct sockaddr_in address;
	char text[32];
	int tries;

	now = clock_from_manual(&manual);
	proxy.base = event_base_new();
	proxy.clock = &now;
	proxy.bounds.stop_grace_ms = GRACE_MS;
	kv = platform_kv_new(proxy.base);
	for (tries = 0; tries < 20 && !store; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		store = responder_new(proxy.base, text, platform_kv_handle, kv);
	}
	g_assert_nonnull(store);
	g_assert_true(tcp_parse_address(text, &address));
	proxy.presence = presence_new(proxy.base, &address, "a/vm", "{}",
				      &presence_events, NULL);
}

static void teardown(void)
{
	presence_free(proxy.presence);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	linger_free_all();
	event_base_free(proxy.base);
	memset(&proxy, 0, sizeof(proxy));
}

/* Runs the loop for a time. @return whether the shutdown has ended. */
static bool run_ms(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i += 5) {
		event_base_loop(proxy.base, EVLOOP_NONBLOCK);
		if (event_base_got_break(proxy.base))
			return true;
		usleep(5000);
		clock_manual_advance_ms(&manual, 5);
	}
	return false;
}

/* A response whose caller has not read it yet; its request is no longer in
 * progress. @return the caller's end of the connection. */
static int begin_closing_connection(void)
{
	char *response = g_malloc0(RESPONSE_BYTES);
	struct http_stream *stream;
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	stream = http_stream_accept(proxy.base, fds[0], 1000, &stream_events,
				    NULL);
	g_assert_nonnull(stream);
	evbuffer_add(http_stream_output(stream), response, RESPONSE_BYTES);
	http_stream_free_lingering(stream);
	g_free(response);
	return fds[1];
}

/* The process must not end while a response is still in its memory. */
static void waits_until_responses_have_left(void)
{
	char chunk[65536];
	struct stop *stop;
	size_t received = 0;
	bool ended = false;
	ssize_t bytes;
	int fd;

	setup();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(3000));
	fd = begin_closing_connection();
	g_assert_false(run_ms(EXIT_MS - 3000));
	while ((bytes = read(fd, chunk, sizeof(chunk))) > 0) {
		received += (size_t)bytes;
		/* it may end while the last bytes are in the kernel's buffer */
		ended |= run_ms(5);
	}
	g_assert_cmpuint(received, ==, RESPONSE_BYTES);
	g_assert_true(ended || run_ms(1000));
	close(fd);
	stop_free(stop);
	teardown();
}

static void ends_when_nothing_is_left(void)
{
	struct stop *stop;

	setup();
	run_ms(100);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_true(run_ms(EXIT_MS));
	stop_free(stop);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("stop", waits_until_responses_have_left);
	ADD_TEST("stop", ends_when_nothing_is_left);
	return g_test_run();
}
