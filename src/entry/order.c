#include "entry/order.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/deadline.h"
#include "base/log.h"
#include "entry/claims.h"
#include "entry/explain.h"
#include "entry/pass.h"

/* A key issued by a look-up is accepted until its age exceeds order_memory_ms
 * divided by this. An older key may have run and been forgotten since. */
#define KEY_AGE_DIVISOR 2
/* Largest clock difference between entry VMs that is tolerated. */
#define CLOCK_SKEW_S 60

/** An order key and the parts that its text names. */
struct parsed_key {
	const char *key;
	bool issued; /* by a look-up; `parts` is valid */
	struct order_key parts;
	bool home_is_self;
};

static bool is_valid_key(const char *key)
{
	size_t bytes = strlen(key);
	size_t i;

	if (!bytes || bytes >= ORDER_KEY_BYTES_MAX)
		return false;
	for (i = 0; i < bytes; i++)
		if (!isgraph((unsigned char)key[i]) || key[i] == '"' ||
		    key[i] == '\\' || key[i] == '/')
			return false;
	return true;
}

static void parse_key(const struct entry *entry, const char *key,
		      struct parsed_key *parsed)
{
	memset(parsed, 0, sizeof(*parsed));
	parsed->key = key;
	parsed->issued = order_key_parse(key, &parsed->parts);
	parsed->home_is_self = parsed->issued &&
			       !strcmp(parsed->parts.home, entry->settings.name) &&
			       parsed->parts.incarnation == entry->incarnation;
}

static bool needs_claim(const struct parsed_key *parsed)
{
	return !parsed->issued || parsed->parts.claimed;
}

static bool is_key_expired(const struct entry *entry,
			   const struct exchange *exchange,
			   const struct parsed_key *parsed)
{
	int64_t age_s = clock_unix_ms(&entry->clock) / MS_PER_S -
			parsed->parts.issued_unix_s;
	int64_t age_max_s =
		exchange->service->order_memory_ms / MS_PER_S / KEY_AGE_DIVISOR;

	return parsed->issued && (age_s > age_max_s || age_s < -CLOCK_SKEW_S);
}

static void refuse(struct entry *entry, struct exchange *exchange,
		   enum verdict verdict, uint32_t status, const char *reason)
{
	explain_add(entry->explain, exchange->request_id,
		    "order refused verdict=%s why=\"%s\"",
		    verdict_text(verdict), reason);
	forward_refuse(exchange, verdict, status, reason);
}

/** Copies a recorded outcome into the exchange. */
static void replay_outcome(struct exchange *exchange,
			   const struct order_response *from)
{
	struct http_response *response = &exchange->response;

	exchange->verdict = from->verdict;
	if (from->verdict != VERDICT_RAN) {
		forward_refuse(exchange, from->verdict, 504,
			       "an earlier attempt may have run");
		return;
	}
	if (!from->body && from->body_bytes) {
		forward_refuse(exchange, VERDICT_RAN, 409,
			       "it ran; its answer is no longer kept");
		return;
	}
	response->status = from->status;
	response->body =
		g_strndup(from->body ? from->body : "", from->body_bytes);
	response->body_bytes = from->body_bytes;
	if (!from->content_type)
		return;
	response->headers[0].name = strdup("Content-Type");
	response->headers[0].value = strdup(from->content_type);
	response->header_count = 1;
}

/**
 * @return the verdict for an order that this process did not run: unless this
 * process holds the claim, another entry VM may have run it.
 */
static enum verdict unstarted_verdict(const struct parsed_key *parsed,
				      const struct order *order)
{
	if (!needs_claim(parsed) || (order && order->claim == ORDER_CLAIM_HELD))
		return VERDICT_NOT_RUN;
	return VERDICT_MAY_HAVE_RUN;
}

/**
 * Waits for the attempt in progress with the same key and copies its outcome.
 * The order lock is held.
 */
static void wait_for_run(struct entry *entry, struct exchange *exchange,
			 const struct parsed_key *parsed)
{
	const struct order *order;
	struct timespec until = {
		.tv_sec = exchange->deadline_ns / (NS_PER_MS * MS_PER_S),
		.tv_nsec = exchange->deadline_ns % (NS_PER_MS * MS_PER_S),
	};

	counter_add(COUNTER_ORDERS_JOINED, 1);
	for (;;) {
		order = orders_find(entry->orders, parsed->key);
		if (order && order->finished) {
			replay_outcome(exchange, &order->response);
			return;
		}
		if (!order || order->not_run) {
			forward_refuse(exchange,
				       unstarted_verdict(parsed, order), 503,
				       "the run that it joined did not run");
			return;
		}
		if (pthread_cond_timedwait(&entry->order_done,
					   &entry->order_lock, &until))
			break;
	}
	forward_refuse(exchange, VERDICT_MAY_HAVE_RUN, 504,
		       "its run has not ended in time");
}

/** Records the outcome and wakes the duplicates that wait for it. */
static void record_outcome(struct entry *entry, const struct exchange *exchange,
			   const struct parsed_key *parsed,
			   enum order_claim claim)
{
	const struct http_response *from = &exchange->response;
	struct order_response response = {
		.verdict = exchange->verdict,
		.status = from->status,
		.content_type =
			(char *)http_response_header(from, "Content-Type"),
		.body = from->body,
		.body_bytes = from->body_bytes,
	};

	pthread_mutex_lock(&entry->order_lock);
	orders_set_claim(entry->orders, parsed->key, claim);
	orders_finish(entry->orders, parsed->key, &response,
		      exchange->service->order_memory_ms,
		      clock_now_ms(&entry->clock));
	pthread_cond_broadcast(&entry->order_done);
	pthread_mutex_unlock(&entry->order_lock);
}

/** How to go on after an attempt to claim a key. */
enum claim_decision {
	DECISION_RUN,	       /* run the order */
	DECISION_FINISHED,     /* the exchange's outcome is final */
	DECISION_UNDETERMINED, /* not run here, perhaps elsewhere */
	DECISION_FORGET,       /* done; don't remember the order */
};

static enum claim_decision refuse_claimed_key(struct entry *entry,
					      struct exchange *exchange,
					      const struct claims_record *record)
{
	if (record->holder[0] && record->digest != exchange->fingerprint) {
		counter_add(COUNTER_ORDERS_KEY_REUSED, 1);
		refuse(entry, exchange, VERDICT_NOT_RUN, 422,
		       "the key belongs to another request");
		return DECISION_FORGET;
	}
	if (record->outcome == VERDICT_RAN)
		refuse(entry, exchange, VERDICT_RAN, 409,
		       "it ran through an entry VM that is gone");
	else
		refuse(entry, exchange, VERDICT_MAY_HAVE_RUN, 409,
		       "it may have run through an entry VM that is gone");
	return DECISION_FINISHED;
}

/**
 * Passes the exchange to the process that holds the claim, if it is live, so
 * that the duplicate gets the response of the original run.
 */
static enum claim_decision forward_to_holder(struct entry *entry,
					     struct exchange *exchange,
					     const struct claims_record *record)
{
	struct order_key holder = { .incarnation = record->incarnation };

	if (!record->holder[0] || record->digest != exchange->fingerprint ||
	    exchange->passed)
		return refuse_claimed_key(entry, exchange, record);
	snprintf(holder.home, sizeof(holder.home), "%s", record->holder);
	if (!pass_to_home(entry, exchange, &holder))
		return refuse_claimed_key(entry, exchange, record);
	/* unless it ran, a duplicate must go to the holder again */
	return exchange->verdict == VERDICT_RAN ? DECISION_FINISHED
						: DECISION_FORGET;
}

/**
 * Claims the key in the store if the order needs a claim.
 *
 * @param claim in: the state remembered in the order table; out: the new one.
 */
static enum claim_decision claim_key(struct entry *entry,
				     struct exchange *exchange,
				     const struct parsed_key *parsed,
				     enum order_claim *claim)
{
	struct claims_record record;

	if (!needs_claim(parsed) || *claim == ORDER_CLAIM_HELD)
		return DECISION_RUN;
	switch (claims_acquire(entry->claims, parsed->key, exchange->fingerprint,
			       exchange->service->order_memory_ms, &record)) {
	case CLAIMS_ACQUIRED:
		*claim = ORDER_CLAIM_HELD;
		return DECISION_RUN;
	case CLAIMS_ALREADY_OWNED:
		/* only with ORDER_CLAIM_UNKNOWN does the table prove that this
		 * process has not run the order */
		if (*claim != ORDER_CLAIM_UNKNOWN)
			return refuse_claimed_key(entry, exchange, &record);
		*claim = ORDER_CLAIM_HELD;
		return DECISION_RUN;
	case CLAIMS_HELD_BY_OTHER:
		return forward_to_holder(entry, exchange, &record);
	case CLAIMS_UNKNOWN:
		*claim = ORDER_CLAIM_UNKNOWN;
		break;
	case CLAIMS_STORE_UNREACHABLE:
		break;
	}
	refuse(entry, exchange, VERDICT_MAY_HAVE_RUN, 503,
	       "the store cannot be asked whether another entry VM ran it");
	return DECISION_UNDETERMINED;
}

/**
 * Records that this process did not run the order, so that a duplicate may
 * start it; the verdict for the caller stays.
 */
static void record_not_run(struct entry *entry, struct exchange *exchange,
			   const struct parsed_key *parsed,
			   enum order_claim claim)
{
	enum verdict reported = exchange->verdict;

	exchange->verdict = VERDICT_NOT_RUN;
	record_outcome(entry, exchange, parsed, claim);
	exchange->verdict = reported;
}

static void forget_order(struct entry *entry, const char *key)
{
	pthread_mutex_lock(&entry->order_lock);
	orders_forget(entry->orders, key);
	pthread_cond_broadcast(&entry->order_done);
	pthread_mutex_unlock(&entry->order_lock);
}

/** Runs an order that was just started in the order table. */
static void run_started(struct entry *entry, struct exchange *exchange,
			const struct parsed_key *parsed, enum order_claim claim)
{
	enum claim_decision decision = claim_key(entry, exchange, parsed, &claim);

	if (decision == DECISION_FORGET) {
		forget_order(entry, parsed->key);
		return;
	}
	if (decision == DECISION_UNDETERMINED) {
		record_not_run(entry, exchange, parsed, claim);
		return;
	}
	if (decision == DECISION_RUN &&
	    clock_now_ns(&entry->clock) >= deadline_limit(exchange->deadline_ns))
		refuse(entry, exchange, VERDICT_NOT_RUN, 503,
		       "its time was up before it was sent");
	else if (decision == DECISION_RUN)
		forward_run(entry, exchange);
	record_outcome(entry, exchange, parsed, claim);
	if (decision == DECISION_RUN && needs_claim(parsed) &&
	    exchange->verdict == VERDICT_RAN)
		claims_record_outcome(entry->claims, parsed->key,
				      exchange->fingerprint, VERDICT_RAN);
}

static void run_locally(struct entry *entry, struct exchange *exchange,
			const struct parsed_key *parsed)
{
	enum order_claim claim = ORDER_CLAIM_NONE;
	struct order *order;
	enum order_action step;

	pthread_mutex_lock(&entry->order_lock);
	step = orders_begin(entry->orders, parsed->key, exchange->fingerprint,
			    clock_now_ms(&entry->clock), &order);
	if (step == ORDER_START)
		claim = order->claim;
	if (step == ORDER_REPLAY) {
		counter_add(COUNTER_ORDERS_REPLAYED, 1);
		replay_outcome(exchange, &order->response);
	}
	if (step == ORDER_JOIN)
		wait_for_run(entry, exchange, parsed);
	pthread_mutex_unlock(&entry->order_lock);
	if (step == ORDER_START)
		run_started(entry, exchange, parsed, claim);
	else if (step == ORDER_KEY_REUSED)
		refuse(entry, exchange, VERDICT_NOT_RUN, 422,
		       "the key belongs to another request");
	else if (step == ORDER_TABLE_FULL)
		refuse(entry, exchange, unstarted_verdict(parsed, NULL), 503,
		       "too many orders are remembered");
	else
		explain_add(entry->explain, exchange->request_id,
			    "order is a duplicate of an earlier one verdict=%s",
			    verdict_text(exchange->verdict));
	if (step == ORDER_KEY_REUSED)
		counter_add(COUNTER_ORDERS_KEY_REUSED, 1);
}

/** A remembered key is decided here, without its home. */
static bool is_remembered(struct entry *entry, const char *key)
{
	bool found;

	pthread_mutex_lock(&entry->order_lock);
	found = orders_find(entry->orders, key);
	pthread_mutex_unlock(&entry->order_lock);
	return found;
}

static void run_with_key(struct entry *entry, struct exchange *exchange,
			 const struct parsed_key *parsed)
{
	if (parsed->issued && !parsed->home_is_self && !exchange->passed &&
	    !is_remembered(entry, parsed->key) &&
	    pass_to_home(entry, exchange, &parsed->parts))
		return;
	if (parsed->issued && !parsed->parts.claimed && !parsed->home_is_self) {
		refuse(entry, exchange, VERDICT_MAY_HAVE_RUN, 409,
		       "its home is gone and kept no claim");
		return;
	}
	if (is_key_expired(entry, exchange, parsed) &&
	    !is_remembered(entry, parsed->key)) {
		refuse(entry, exchange, VERDICT_MAY_HAVE_RUN, 409,
		       "the key is too old: it may have run before");
		return;
	}
	run_locally(entry, exchange, parsed);
}

void order_run(struct entry *entry, struct exchange *exchange, const char *key)
{
	struct parsed_key parsed;

	counter_add(COUNTER_ORDERS, 1);
	if (!key && exchange->service->key_required) {
		refuse(entry, exchange, VERDICT_NOT_RUN, 400,
		       "Idempotency-Key is missing; send one that begins with "
		       "the look-up's key_prefix");
		return;
	}
	if (!key) {
		forward_run(entry, exchange);
		return;
	}
	if (!is_valid_key(key)) {
		refuse(entry, exchange, VERDICT_NOT_RUN, 400,
		       "Idempotency-Key is not usable; send up to 255 "
		       "visible characters without quotes or slashes");
		return;
	}
	parse_key(entry, key, &parsed);
	run_with_key(entry, exchange, &parsed);
}

void order_expire(struct entry *entry)
{
	pthread_mutex_lock(&entry->order_lock);
	orders_expire(entry->orders, clock_now_ms(&entry->clock));
	gauge_set(GAUGE_ORDERS_REMEMBERED, orders_count(entry->orders));
	pthread_mutex_unlock(&entry->order_lock);
}
