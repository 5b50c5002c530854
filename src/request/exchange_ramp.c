#include <inttypes.h>

#include "assign/assignment.h"
#include "base/counter.h"
#include "base/log.h"
#include "request/exchange_internal.h"

/* Time that a request takes if the object is not cached, in times of one for
 * which it is. */
#define UNCACHED_FACTOR 3.3
/* Reported service time above which a server does not keep up. */
#define WORK_PERCENT_MAX 130

/* A server that was listed a short while ago has restarted without what it had
 * cached; this VM may remember objects of its last start. */
static bool has_object(const struct exchange *e, const struct server *server,
		       int64_t now_ms)
{
	return e->object_cached &&
	       now_ms - server->listed_ms > OBJECT_CACHE_TTL_MS;
}

static double usual_ms(const struct exchange *e, const struct server *server)
{
	const struct service_time *time = &exchange_route_state(e)->time;

	if (has_object(e, server, proxy_now_ms(e->proxy)))
		return time->typical_ms;
	return MAX(time->slow_ms, time->typical_ms * UNCACHED_FACTOR);
}

/* How long a streamed response takes depends on its caller as well, and how
 * long a request waits until it is given up depends on its deadline. */
static enum ramp_result judge_time(const struct exchange *e,
				   const struct server *server,
				   enum attempt_end end, int64_t elapsed_ms)
{
	enum ramp_result result =
		ramp_judge(elapsed_ms - server->rtt_ms, usual_ms(e, server));

	if (e->streaming && result == RAMP_LATE)
		return RAMP_SLOWER;
	if (end == ATTEMPT_TIMED_OUT && result == RAMP_USUAL)
		return RAMP_SLOWER;
	return result;
}

/* @return whether the response's load report says that the server keeps up. */
static bool reports_free_slots(const struct server *server, int64_t now_ms)
{
	const struct load_view *load = &server->load;

	return load->reported_ms &&
	       now_ms - load->reported_ms <= LOAD_WORK_AGE_MAX_MS &&
	       load->running + load->waiting < load->slots &&
	       load_work_percent(load, now_ms) <= WORK_PERCENT_MAX;
}

static enum ramp_result judge_answer(const struct exchange *e,
				     const struct server *server,
				     int64_t elapsed_ms)
{
	const enum ramp_result result =
		judge_time(e, server, ATTEMPT_ANSWERED, elapsed_ms);

	if (result == RAMP_USUAL && !e->streaming &&
	    reports_free_slots(server, proxy_now_ms(e->proxy)))
		return RAMP_FREE;
	return result;
}

static enum ramp_result judge_end(const struct exchange *e,
				  const struct server *server,
				  enum attempt_end end, int64_t elapsed_ms)
{
	if (end == ATTEMPT_ANSWERED)
		return judge_answer(e, server, elapsed_ms);
	if (end == ATTEMPT_TIMED_OUT)
		return judge_time(e, server, end, elapsed_ms);
	return end == ATTEMPT_REFUSED ? RAMP_REFUSED : RAMP_FAILED;
}

static void log_end(const struct server *server, int64_t now_ms)
{
	const struct ramp *ramp = &server->ramp;

	log_info("servers",
		 "server gets requests for all slots again server=%s slots=%u "
		 "took_ms=%" PRId64 " responses=%u halvings=%u late=%u",
		 server->id, server->load.slots, now_ms - ramp->began_ms,
		 ramp->responses, ramp->halvings, ramp->late);
}

void exchange_record_ramp(const struct exchange *e, struct server *server,
			  enum attempt_end end, int64_t elapsed_ms)
{
	const int64_t now_ms = proxy_now_ms(e->proxy);
	struct ramp *ramp = &server->ramp;
	const uint32_t halvings = ramp->halvings;
	const bool is_first = ramp->active && !ramp->responses;
	bool has_ended;

	if (!ramp->active || end == ATTEMPT_OTHER_SERVER)
		return;
	has_ended = ramp_record(ramp, judge_end(e, server, end, elapsed_ms),
				server->load.slots, now_ms);
	if (!assignment_is_on(e->proxy->assignment))
		return;
	counter_add(COUNTER_RAMP_HALVINGS, ramp->halvings - halvings);
	if (is_first)
		log_info("servers",
			 "server gets few requests after a start or recovery "
			 "server=%s slots=%u age_ms=%" PRId64,
			 server->id, server->load.slots, now_ms - ramp->began_ms);
	if (!has_ended)
		return;
	counter_add(COUNTER_RAMPS_ENDED, 1);
	log_end(server, now_ms);
}
