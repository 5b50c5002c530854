#include "entry/forward.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "entry/explain.h"

#define ATTEMPTS_MAX 5
/* A kept connection unused for longer may be closed by the server at the very
 * moment at which a request is sent: that would leave it MAY_HAVE_RUN. */
#define ORDER_FRESH_MS 500
#define LOOKUP_FRESH_MS 15000

/** What one attempt proved. */
struct attempt {
	enum verdict verdict;
	enum pick_outcome outcome;
	bool answered;
	const char *what;
};

void forward_refuse(struct exchange *exchange, enum verdict verdict,
		    uint32_t status, const char *reason)
{
	http_answer_clear(&exchange->answer);
	exchange->verdict = verdict;
	exchange->status = status;
	exchange->reason = reason;
}

void forward_clear(struct exchange *exchange)
{
	http_answer_clear(&exchange->answer);
	free(exchange->headers);
	free(exchange->body);
	exchange->headers = NULL;
	exchange->body = NULL;
}

bool forward_answer_matches(const struct exchange *exchange,
			    const struct http_answer *answer)
{
	const char *id = http_answer_header(answer, HEADER_REQUEST_ID);

	return !id || !strcmp(id, exchange->request_id);
}

static bool is_proven_refusal(const struct http_answer *answer)
{
	const char *verdict = http_answer_header(answer, VERDICT_HEADER);

	return verdict && !strcmp(verdict, verdict_text(VERDICT_NOT_RUN));
}

static struct attempt judge_answer(const struct exchange *exchange,
				   const struct http_answer *answer)
{
	struct attempt attempt = { VERDICT_RAN, PICK_ANSWERED, true, "answered" };

	if (!forward_answer_matches(exchange, answer)) {
		attempt.verdict = VERDICT_MAY_HAVE_RUN;
		attempt.outcome = PICK_FAILED;
		attempt.answered = false;
		attempt.what = "answered another request";
	} else if (is_proven_refusal(answer)) {
		attempt.verdict = VERDICT_NOT_RUN;
		attempt.outcome = PICK_REFUSED;
		attempt.answered = false;
		attempt.what = "refused";
	}
	return attempt;
}

static struct attempt judge(const struct exchange *exchange,
			    enum http_result result,
			    const struct http_answer *answer)
{
	struct attempt attempt = { VERDICT_MAY_HAVE_RUN, PICK_FAILED, false,
				   "gave no whole answer" };

	switch (result) {
	case HTTP_WHOLE:
		return judge_answer(exchange, answer);
	case HTTP_NOT_SENT:
		attempt.verdict = VERDICT_NOT_RUN;
		attempt.what = "was not reached";
		break;
	case HTTP_TIMED_OUT:
		attempt.what = "did not answer in time";
		counter_add(COUNTER_TIMED_OUT, 1);
		break;
	case HTTP_TOO_LONG:
		attempt.what = "answered too long";
		break;
	case HTTP_LOST:
		counter_add(COUNTER_LOST, 1);
		break;
	}
	return attempt;
}

/**
 * A broken answer alone proves no crash: the server died with the request if
 * it takes no connection right afterwards.
 */
static void note_broken(struct entry *entry, const struct exchange *exchange,
			const struct backend *backend)
{
	int64_t now_ms = clock_now_ms(&entry->clock);
	bool refused;

	if (entry->transport.reaches(entry->transport.context,
				     http_pool_address(backend->pool)))
		return;
	pthread_mutex_lock(&entry->state_lock);
	refused = quarantine_note(&entry->quarantine, exchange->fingerprint,
				  backend->name_hash, now_ms);
	pthread_mutex_unlock(&entry->state_lock);
	if (!refused)
		return;
	log_warn("route",
		 "quarantined a request that breaks servers "
		 "fingerprint=%016llx last_server=%s",
		 (unsigned long long)exchange->fingerprint, backend->name);
	entry->fleet.tell_quarantined(entry->fleet.context,
				      exchange->fingerprint);
}

static void note_leaving(struct entry *entry, const struct backend *backend,
			 const struct http_answer *answer)
{
	if (!http_answer_header(answer, HEADER_LEAVING))
		return;
	if (!backends_set_leaving(entry->backends, backend->name,
				  PICK_LEAVING_SIGNAL, true))
		return;
	log_info("backend", "is leaving by its own signal server=%s",
		 backend->name);
	entry->fleet.tell_leaving(entry->fleet.context, backend->name);
}

static struct attempt try_server(struct entry *entry, struct exchange *exchange,
				 struct backend *backend)
{
	struct http_request request = {
		.method = exchange->method,
		.path = exchange->path,
		.headers = exchange->headers,
		.body = exchange->body,
		.body_bytes = exchange->body_bytes,
		.answer_bytes_max = exchange->service->answer_bytes_max,
		.deadline_ns = exchange->deadline_ns,
	};
	uint32_t fresh_ms =
		exchange->idempotent ? LOOKUP_FRESH_MS : ORDER_FRESH_MS;
	struct http_answer answer = { 0 };
	enum http_result result;
	struct attempt attempt;

	counter_add(COUNTER_ATTEMPTS, 1);
	exchange->attempts++;
	result = entry->transport.send(entry->transport.context,
				       http_pool_address(backend->pool),
				       backend->pool, &request, fresh_ms,
				       &answer);
	attempt = judge(exchange, result, &answer);
	if (result == HTTP_WHOLE)
		note_leaving(entry, backend, &answer);
	if (result == HTTP_LOST)
		note_broken(entry, exchange, backend);
	if (attempt.answered)
		exchange->answer = answer;
	else
		http_answer_clear(&answer);
	return attempt;
}

static bool is_quarantined(struct entry *entry, uint64_t fingerprint)
{
	bool refused;

	pthread_mutex_lock(&entry->state_lock);
	refused = quarantine_refuses(&entry->quarantine, fingerprint,
				     clock_now_ms(&entry->clock));
	pthread_mutex_unlock(&entry->state_lock);
	return refused;
}

static bool pay_retry(struct entry *entry, const char *service)
{
	bool paid = false;
	uint32_t i;

	pthread_mutex_lock(&entry->state_lock);
	for (i = 0; i < entry->service_count; i++)
		if (!strcmp(entry->services[i].name, service))
			paid = budget_withdraw(&entry->services[i].budget);
	pthread_mutex_unlock(&entry->state_lock);
	counter_add(paid ? COUNTER_RETRIES : COUNTER_RETRIES_OVER_BUDGET, 1);
	return paid;
}

static void refuse_unserved(struct entry *entry, struct exchange *exchange,
			    enum backends_refusal refusal, enum verdict worst)
{
	static const char *const reasons[] = {
		[BACKENDS_GIVEN] = "given",
		[BACKENDS_NONE] = "no backend server can be used",
		[BACKENDS_QUEUE_FULL] = "too many requests wait",
		[BACKENDS_TIMED_OUT] = "no slot became free in time",
	};

	counter_add(COUNTER_REFUSED_FULL, 1);
	explain_add(entry->explain, exchange->request_id,
		    "refused service=%s why=\"%s\"", exchange->service->name,
		    reasons[refusal]);
	forward_refuse(exchange, worst, 503, reasons[refusal]);
}

/** Whether another attempt is allowed after this one. */
static bool may_retry(struct entry *entry, const struct exchange *exchange,
		      const struct attempt *attempt)
{
	uint32_t max = exchange->service->attempts_max;

	if (attempt->answered || exchange->attempts >= max ||
	    exchange->attempts >= ATTEMPTS_MAX)
		return false;
	if (attempt->verdict != VERDICT_NOT_RUN && !exchange->idempotent)
		return false;
	if (clock_now_ns(&entry->clock) >= exchange->deadline_ns)
		return false;
	if (is_quarantined(entry, exchange->fingerprint))
		return false;
	return pay_retry(entry, exchange->service->name);
}

static void end_exchange(struct exchange *exchange,
			 const struct attempt *attempt, enum verdict worst)
{
	if (attempt->answered) {
		exchange->verdict = VERDICT_RAN;
		counter_add(COUNTER_ANSWERED, 1);
		return;
	}
	forward_refuse(exchange, worst, worst == VERDICT_NOT_RUN ? 503 : 504,
		       attempt->what);
}

/** Waits for a slot no longer than leaves time to run the request. */
#define QUEUE_PART 2

static struct backend *take(struct entry *entry, const struct exchange *exchange,
			    const uint32_t *tried, uint32_t *index,
			    enum backends_refusal *refusal)
{
	int64_t now_ns = clock_now_ns(&entry->clock);
	struct backends_request request = {
		.service = exchange->service->name,
		.tried = tried,
		.tried_count = exchange->attempts,
		.queue_max = exchange->service->queue_max,
		.deadline_ns =
			now_ns + (exchange->deadline_ns - now_ns) / QUEUE_PART,
	};

	return backends_take(entry->backends, &request, index, refusal);
}

void forward_run(struct entry *entry, struct exchange *exchange)
{
	enum verdict worst = VERDICT_NOT_RUN;
	uint32_t tried[ATTEMPTS_MAX];
	enum backends_refusal refusal;
	struct attempt attempt;
	struct backend *backend;

	if (is_quarantined(entry, exchange->fingerprint)) {
		counter_add(COUNTER_QUARANTINED, 1);
		explain_add(entry->explain, exchange->request_id,
			    "refused service=%s why=\"it breaks servers\"",
			    exchange->service->name);
		forward_refuse(exchange, VERDICT_NOT_RUN, 503,
			       "the request breaks the servers that run it");
		return;
	}
	do {
		backend = take(entry, exchange, tried,
			       &tried[exchange->attempts], &refusal);
		if (!backend) {
			refuse_unserved(entry, exchange, refusal, worst);
			return;
		}
		attempt = try_server(entry, exchange, backend);
		explain_add(entry->explain, exchange->request_id,
			    "server %s service=%s server=%s attempt=%u "
			    "verdict=%s",
			    attempt.what, exchange->service->name, backend->name,
			    exchange->attempts, verdict_text(attempt.verdict));
		if (attempt.outcome == PICK_REFUSED)
			counter_add(COUNTER_REFUSED_BY_BACKEND, 1);
		backends_finish(entry->backends, backend, attempt.outcome);
		if (attempt.verdict > worst)
			worst = attempt.verdict;
	} while (may_retry(entry, exchange, &attempt));
	end_exchange(exchange, &attempt, worst);
}
