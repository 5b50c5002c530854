#include "entry/forward.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/deadline.h"
#include "base/log.h"
#include "entry/explain.h"

#define ATTEMPTS_MAX 5
/* A pooled connection that was idle for longer is not used: the server may
 * close it while the request is being sent, which would leave an order
 * MAY_HAVE_RUN. */
#define ORDER_IDLE_MAX_MS 500
#define IDEMPOTENT_IDLE_MAX_MS 15000

/** The outcome of one attempt. */
struct attempt {
	enum verdict verdict;
	enum pick_outcome outcome;
	bool has_response;
	const char *description;
};

void forward_refuse(struct exchange *exchange, enum verdict verdict,
		    uint32_t status, const char *reason)
{
	http_response_clear(&exchange->response);
	exchange->verdict = verdict;
	exchange->status = status;
	exchange->reason = reason;
}

void forward_clear(struct exchange *exchange)
{
	http_response_clear(&exchange->response);
	free(exchange->headers);
	free(exchange->body);
	exchange->headers = NULL;
	exchange->body = NULL;
}

bool forward_response_matches(const struct exchange *exchange,
			      const struct http_response *response)
{
	const char *id = http_response_header(response, HEADER_REQUEST_ID);

	return !id || !strcmp(id, exchange->request_id);
}

static bool is_not_run_response(const struct http_response *response)
{
	const char *verdict = http_response_header(response, VERDICT_HEADER);

	return verdict && !strcmp(verdict, verdict_text(VERDICT_NOT_RUN));
}

static struct attempt classify_response(const struct exchange *exchange,
					const struct http_response *response)
{
	struct attempt attempt = { VERDICT_RAN, PICK_RESPONDED, true, "answered" };

	if (!forward_response_matches(exchange, response)) {
		attempt.verdict = VERDICT_MAY_HAVE_RUN;
		attempt.outcome = PICK_FAILED;
		attempt.has_response = false;
		attempt.description = "answered another request";
	} else if (is_not_run_response(response)) {
		attempt.verdict = VERDICT_NOT_RUN;
		attempt.outcome = PICK_REFUSED;
		attempt.has_response = false;
		attempt.description = "refused";
	}
	return attempt;
}

static struct attempt classify_result(const struct exchange *exchange,
				      enum http_result result,
				      const struct http_response *response)
{
	struct attempt attempt = { VERDICT_MAY_HAVE_RUN, PICK_FAILED, false,
				   "gave no whole answer" };

	switch (result) {
	case HTTP_COMPLETE:
		return classify_response(exchange, response);
	case HTTP_NOT_SENT:
		attempt.verdict = VERDICT_NOT_RUN;
		attempt.description = "was not reached";
		break;
	case HTTP_TIMED_OUT:
		attempt.description = "did not answer in time";
		counter_add(COUNTER_TIMED_OUT, 1);
		break;
	case HTTP_TOO_LONG:
		attempt.description = "answered too long";
		break;
	case HTTP_INCOMPLETE:
		counter_add(COUNTER_LOST, 1);
		break;
	}
	return attempt;
}

/**
 * After an incomplete response, checks whether the request crashed the server:
 * only a server that then accepts no connection counts as crashed.
 */
static void check_for_crash(struct entry *entry, const struct exchange *exchange,
			    const struct backend *backend)
{
	int64_t now_ms = clock_now_ms(&entry->clock);
	bool quarantined;

	if (entry->transport.can_connect(entry->transport.context,
					 http_pool_address(backend->pool)))
		return;
	pthread_mutex_lock(&entry->state_lock);
	quarantined = quarantine_record_crash(&entry->quarantine,
					      exchange->fingerprint,
					      backend->name_hash, now_ms);
	pthread_mutex_unlock(&entry->state_lock);
	if (!quarantined)
		return;
	log_warn("route",
		 "quarantined a request that crashes servers "
		 "fingerprint=%016llx last_server=%s",
		 (unsigned long long)exchange->fingerprint, backend->name);
	entry->fleet.announce_quarantined(entry->fleet.context,
					  exchange->fingerprint);
}

static void apply_leaving_header(struct entry *entry,
				 const struct backend *backend,
				 const struct http_response *response)
{
	if (!http_response_header(response, HEADER_LEAVING))
		return;
	if (!backends_set_leaving(entry->backends, backend->name,
				  PICK_LEAVING_SIGNAL, true))
		return;
	log_info("backend", "is leaving according to its own signal server=%s",
		 backend->name);
	entry->fleet.announce_leaving(entry->fleet.context, backend->name);
}

static struct attempt send_attempt(struct entry *entry, struct exchange *exchange,
				   struct backend *backend)
{
	struct http_request request = {
		.method = exchange->method,
		.path = exchange->path,
		.headers = exchange->headers,
		.body = exchange->body,
		.body_bytes = exchange->body_bytes,
		.response_bytes_max = exchange->service->response_bytes_max,
		.deadline_ns = exchange->deadline_ns,
	};
	uint32_t idle_max_ms = exchange->idempotent ? IDEMPOTENT_IDLE_MAX_MS
						    : ORDER_IDLE_MAX_MS;
	struct http_response response = { 0 };
	enum http_result result;
	struct attempt attempt;

	counter_add(COUNTER_ATTEMPTS, 1);
	exchange->attempts++;
	result = entry->transport.send(entry->transport.context,
				       http_pool_address(backend->pool),
				       backend->pool, &request, idle_max_ms,
				       &response);
	attempt = classify_result(exchange, result, &response);
	if (result == HTTP_COMPLETE)
		apply_leaving_header(entry, backend, &response);
	if (result == HTTP_INCOMPLETE)
		check_for_crash(entry, exchange, backend);
	if (attempt.has_response)
		exchange->response = response;
	else
		http_response_clear(&response);
	return attempt;
}

static bool is_quarantined(struct entry *entry, uint64_t fingerprint)
{
	bool quarantined;

	pthread_mutex_lock(&entry->state_lock);
	quarantined = quarantine_refuses(&entry->quarantine, fingerprint,
					 clock_now_ms(&entry->clock));
	pthread_mutex_unlock(&entry->state_lock);
	return quarantined;
}

static bool spend_retry_budget(struct entry *entry, const char *service)
{
	bool spent = false;
	uint32_t i;

	pthread_mutex_lock(&entry->state_lock);
	for (i = 0; i < entry->service_count; i++)
		if (!strcmp(entry->services[i].name, service))
			spent = budget_withdraw(&entry->services[i].budget);
	pthread_mutex_unlock(&entry->state_lock);
	counter_add(spent ? COUNTER_RETRIES : COUNTER_RETRIES_OVER_BUDGET, 1);
	return spent;
}

static void refuse_without_backend(struct entry *entry, struct exchange *exchange,
				   enum backends_result result,
				   enum verdict worst_verdict)
{
	static const char *const reasons[] = {
		[BACKENDS_OK] = "given",
		[BACKENDS_NONE_USABLE] = "no backend server can be used",
		[BACKENDS_QUEUE_FULL] = "too many requests wait",
		[BACKENDS_TIMED_OUT] = "no slot became free in time",
	};

	counter_add(COUNTER_REFUSED_FULL, 1);
	explain_add(entry->explain, exchange->request_id,
		    "refused service=%s why=\"%s\"", exchange->service->name,
		    reasons[result]);
	forward_refuse(exchange, worst_verdict, 503, reasons[result]);
}

/**
 * Decides whether to retry after this attempt; a retry is withdrawn from the
 * service's retry budget.
 */
static bool authorize_retry(struct entry *entry, const struct exchange *exchange,
			    const struct attempt *attempt)
{
	uint32_t max = exchange->service->attempts_max;

	if (attempt->has_response || exchange->attempts >= max ||
	    exchange->attempts >= ATTEMPTS_MAX)
		return false;
	if (attempt->verdict != VERDICT_NOT_RUN && !exchange->idempotent)
		return false;
	if (clock_now_ns(&entry->clock) >= deadline_limit(exchange->deadline_ns))
		return false;
	if (is_quarantined(entry, exchange->fingerprint))
		return false;
	return spend_retry_budget(entry, exchange->service->name);
}

static void finish_exchange(struct exchange *exchange,
			    const struct attempt *attempt,
			    enum verdict worst_verdict)
{
	if (attempt->has_response) {
		exchange->verdict = VERDICT_RAN;
		counter_add(COUNTER_ANSWERED, 1);
		return;
	}
	forward_refuse(exchange, worst_verdict,
		       worst_verdict == VERDICT_NOT_RUN ? 503 : 504,
		       attempt->description);
}

/* The wait for a slot may use the remaining time divided by this; the rest is
 * left to run the request. */
#define QUEUE_TIME_DIVISOR 2

static struct backend *acquire_backend(struct entry *entry,
				       const struct exchange *exchange,
				       const uint32_t *tried, uint32_t *index,
				       enum backends_result *result)
{
	int64_t now_ns = clock_now_ns(&entry->clock);
	struct backends_request request = {
		.service = exchange->service->name,
		.tried = tried,
		.tried_count = exchange->attempts,
		.queue_max = exchange->service->queue_max,
		.deadline_ns = now_ns + (exchange->deadline_ns - now_ns) /
						QUEUE_TIME_DIVISOR,
	};

	return backends_acquire(entry->backends, &request, index, result);
}

void forward_run(struct entry *entry, struct exchange *exchange)
{
	enum verdict worst_verdict = VERDICT_NOT_RUN;
	uint32_t tried[ATTEMPTS_MAX];
	enum backends_result result;
	struct attempt attempt;
	struct backend *backend;

	if (is_quarantined(entry, exchange->fingerprint)) {
		counter_add(COUNTER_QUARANTINED, 1);
		explain_add(entry->explain, exchange->request_id,
			    "refused service=%s why=\"it crashes servers\"",
			    exchange->service->name);
		forward_refuse(exchange, VERDICT_NOT_RUN, 503,
			       "the request breaks the servers that run it");
		return;
	}
	do {
		backend = acquire_backend(entry, exchange, tried,
					  &tried[exchange->attempts], &result);
		if (!backend) {
			refuse_without_backend(entry, exchange, result,
					       worst_verdict);
			return;
		}
		attempt = send_attempt(entry, exchange, backend);
		explain_add(entry->explain, exchange->request_id,
			    "server %s service=%s server=%s attempt=%u "
			    "verdict=%s",
			    attempt.description, exchange->service->name,
			    backend->name, exchange->attempts,
			    verdict_text(attempt.verdict));
		if (attempt.outcome == PICK_REFUSED)
			counter_add(COUNTER_REFUSED_BY_BACKEND, 1);
		backends_release(entry->backends, backend, attempt.outcome);
		if (attempt.verdict > worst_verdict)
			worst_verdict = attempt.verdict;
	} while (authorize_retry(entry, exchange, &attempt));
	finish_exchange(exchange, &attempt, worst_verdict);
}
