#include "proxy/stop.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "handoff/handoff.h"
#include "net/timer.h"
#include "request/caller.h"

/* Interval between checks of the shutdown's progress. */
#define CHECK_INTERVAL_MS 100
/* Callers cache directory responses for one second, some for three; this VM
 * accepts their connections for this time after the store knows that it leaves. */
#define DIRECTORY_CACHE_MS 3100
/* Requests are refused from this time on; those that came with their
 * connection, before the listener closed, have been read by then. */
#define REFUSE_AFTER_MS (DIRECTORY_CACHE_MS + CHECK_INTERVAL_MS)
/* Requests that arrive later are refused if their time may outlast the process,
 * whether or not the store knows of the withdrawal. Earlier ones may be given
 * up at the exit; in half of the grace most have their response. */
#define LATE_AFTER_MS 2900
/* Idle connections are closed after this time, when callers have queried the
 * directory again. */
#define CLOSE_IDLE_AFTER_MS 2000
/* Requests end this long before the process would be killed. */
#define EXIT_RESERVE_MS 500
/* Part of that time in which the last responses leave the process. */
#define LAST_RESPONSES_MS 300

struct stop {
	struct proxy *proxy;
	struct event *signals[2];
	struct event *timer;
	int64_t started_ms;
	int64_t withdrawn_ms;	   /* when the store knew of it; 0: not yet */
	int64_t last_responses_ms; /* when they were written; 0: not yet */
};

static void stop_accepting(struct proxy *proxy)
{
	if (proxy->listener)
		evconnlistener_free(proxy->listener);
	proxy->listener = NULL;
	handoff_stop_listening(proxy->handoff);
}

/* Begins the time in which callers leave. Until the store knows of the
 * withdrawal, the other VMs go on naming this one to callers. */
static void check_withdrawal(struct stop *stop)
{
	struct proxy *proxy = stop->proxy;
	int64_t now_ms = proxy_now_ms(proxy);

	if (stop->withdrawn_ms || !presence_is_withdrawal_known(proxy->presence))
		return;
	stop->withdrawn_ms = now_ms;
	proxy->refuse_from_ms =
		MIN(now_ms + REFUSE_AFTER_MS, proxy->exit_deadline_ms);
}

/* @return whether the responses of the directory that name this VM have
 * expired. */
static bool has_left_directory(const struct stop *stop)
{
	return stop->withdrawn_ms &&
	       proxy_now_ms(stop->proxy) - stop->withdrawn_ms >=
		       DIRECTORY_CACHE_MS;
}

/* At the deadline, responds to the requests that are left. */
static void end_requests(struct stop *stop)
{
	struct proxy *proxy = stop->proxy;
	int64_t now_ms = proxy_now_ms(proxy);

	if (now_ms < proxy->exit_deadline_ms || stop->last_responses_ms)
		return;
	stop->last_responses_ms = now_ms;
	callers_end_requests(proxy);
}

static bool may_exit(const struct stop *stop)
{
	if (stop->last_responses_ms &&
	    proxy_now_ms(stop->proxy) >=
		    stop->last_responses_ms + LAST_RESPONSES_MS)
		return true;
	return has_left_directory(stop) && callers_have_left(stop->proxy);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct stop *stop = context;
	struct proxy *proxy = stop->proxy;
	int64_t age_ms = proxy_now_ms(proxy) - stop->started_ms;

	(void)fd;
	(void)what;
	check_withdrawal(stop);
	if (age_ms >= CLOSE_IDLE_AFTER_MS)
		callers_close_idle(proxy);
	if (has_left_directory(stop) ||
	    proxy_now_ms(proxy) >= proxy->exit_deadline_ms)
		stop_accepting(proxy);
	end_requests(stop);
	if (may_exit(stop)) {
		log_info("stop", "stop ends took_ms=%" PRId64 " unfinished=%u",
			 age_ms, proxy->exchanges_in_progress);
		proxy->exiting = true;
		event_base_loopbreak(proxy->base);
		return;
	}
	timer_start(stop->timer, CHECK_INTERVAL_MS);
}

static void on_signal(evutil_socket_t fd, short what, void *context)
{
	struct stop *stop = context;

	(void)what;
	if (stop->proxy->stopping)
		return;
	log_info("stop", "stop begins signal=%d in_progress=%u", (int)fd,
		 stop->proxy->exchanges_in_progress);
	stop->proxy->stopping = true;
	stop->started_ms = proxy_now_ms(stop->proxy);
	stop->proxy->exit_deadline_ms =
		stop->started_ms - EXIT_RESERVE_MS +
		(int64_t)stop->proxy->bounds.stop_grace_ms;
	stop->proxy->refuse_from_ms = stop->proxy->exit_deadline_ms;
	stop->proxy->late_from_ms = stop->started_ms + LATE_AFTER_MS;
	presence_withdraw(stop->proxy->presence);
	on_timer(-1, 0, stop);
}

struct stop *stop_new(struct proxy *proxy)
{
	struct stop *stop = calloc(1, sizeof(*stop));

	if (!stop)
		return NULL;
	stop->proxy = proxy;
	stop->timer = evtimer_new(proxy->base, on_timer, stop);
	stop->signals[0] = evsignal_new(proxy->base, SIGTERM, on_signal, stop);
	stop->signals[1] = evsignal_new(proxy->base, SIGINT, on_signal, stop);
	evsignal_add(stop->signals[0], NULL);
	evsignal_add(stop->signals[1], NULL);
	return stop;
}

void stop_free(struct stop *stop)
{
	if (!stop)
		return;
	event_free(stop->signals[0]);
	event_free(stop->signals[1]);
	event_free(stop->timer);
	free(stop);
}
