#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kv/presence.h"
#include "net/linger.h"
#include "net/tcp.h"
#include "platform_kv.h"
#include "proxy/stop.h"
#include "request/caller.h"
#include "unit/test.h"

/* Callers that connect while this process shuts down. The clock is advanced
 * manually; timers run on the event loop. */

#define GRACE_MS 10000
/* Between the caller's connection and its first byte: more than the interval of
 * the shutdown's checks. */
#define FIRST_BYTE_MS 150
/* Idle connections are closed by then. */
#define CLOSES_IDLE_MS 2500
/* Shortly before a VM without requests exits, which is at 3.2 s. */
#define NEAR_EXIT_MS 3100
#define REQUEST "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct proxy_settings settings = { .name = "vm" };
static struct proxy proxy;
static struct platform_kv *kv;
static struct responder *store;
static struct stop *stop;

static void ignore(void *context)
{
	(void)context;
}

static const struct presence_events presence_events = { ignore, ignore };

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

/* A process that got SIGTERM some time ago.
 *
 * @param fault of the store since shortly before the SIGTERM. */
static void setup(uint32_t stopping_for_ms, const char *fault)
{
	struct sockaddr_in address;
	char text[32];
	int tries;

	now = clock_from_manual(&manual);
	proxy.base = event_base_new();
	proxy.clock = &now;
	proxy.settings = &settings;
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
	run_ms(100);
	platform_kv_set_fault(kv, fault);
	stop = stop_new(&proxy);
	raise(SIGTERM);
	g_assert_false(run_ms(stopping_for_ms));
}

static void teardown(void)
{
	callers_close_all(&proxy);
	stop_free(stop);
	presence_free(proxy.presence);
	responder_free(store);
	store = NULL;
	platform_kv_free(kv);
	linger_free_all();
	event_base_free(proxy.base);
	memset(&proxy, 0, sizeof(proxy));
}

/* Connects, and sends a request some time later. The VM has no configuration,
 * so it refuses the request. @return whether the shutdown has ended then. */
static bool assert_is_answered(void)
{
	char response[1024] = "";
	bool ended;
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	caller_accept(&proxy, fds[0]);
	g_assert_false(run_ms(FIRST_BYTE_MS));
	g_assert_cmpint(send(fds[1], REQUEST, strlen(REQUEST), MSG_NOSIGNAL),
			==, strlen(REQUEST));
	ended = run_ms(50);
	g_assert_cmpint(read(fds[1], response, sizeof(response) - 1), >, 0);
	g_assert_nonnull(strstr(response, "HTTP/1.1 503 "));
	close(fds[1]);
	return ended;
}

static void connections_just_opened_are_not_idle(void)
{
	setup(CLOSES_IDLE_MS, "");
	assert_is_answered();
	teardown();
}

static void exit_waits_for_connections_just_opened(void)
{
	setup(NEAR_EXIT_MS, "");
	g_assert_true(assert_is_answered() || run_ms(3000));
	teardown();
}

/* The other VMs name this one until the store has told them of the withdrawal:
 * its callers are as many as ever. */
static void stays_until_its_withdrawal_is_known(void)
{
	setup(NEAR_EXIT_MS, "silent");
	g_assert_false(run_ms(1000));
	g_assert_true(run_ms(GRACE_MS));
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("stop_callers", connections_just_opened_are_not_idle);
	ADD_TEST("stop_callers", exit_waits_for_connections_just_opened);
	ADD_TEST("stop_callers", stays_until_its_withdrawal_is_known);
	return g_test_run();
}
