#include "caller.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "bench_defs.h"
#include "http/http_pool.h"

#define LOOKUP_TIMEOUT_MS 2000
#define IDLE_CONNECTIONS 64
#define IDLE_MS 1500
#define ANSWER_BYTES_MAX (1024 * 1024)
#define BODY "five rolls of film"

struct caller_net {
	pthread_mutex_t lock;
	GHashTable *pools; /* address -> struct http_pool */
};

static void free_pool(gpointer pool)
{
	http_pool_free(pool);
}

struct caller_net *caller_net_new(void)
{
	struct caller_net *net = g_new0(struct caller_net, 1);

	pthread_mutex_init(&net->lock, NULL);
	net->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_pool);
	return net;
}

void caller_net_free(struct caller_net *net)
{
	g_hash_table_destroy(net->pools);
	pthread_mutex_destroy(&net->lock);
	g_free(net);
}

static struct http_pool *pool_of(struct caller_net *net, const char *address)
{
	struct http_pool *pool;

	pthread_mutex_lock(&net->lock);
	pool = g_hash_table_lookup(net->pools, address);
	if (!pool) {
		pool = http_pool_new(address, IDLE_CONNECTIONS, IDLE_MS);
		g_hash_table_insert(net->pools, g_strdup(address), pool);
	}
	pthread_mutex_unlock(&net->lock);
	return pool;
}

static enum http_result exchange(struct caller *caller, const char *address,
				 struct http_request *request,
				 uint32_t timeout_ms, struct http_answer *answer)
{
	request->answer_bytes_max = ANSWER_BYTES_MAX;
	request->deadline_ns =
		clock_now_ns(&clock_system) + timeout_ms * NS_PER_MS;
	return http_pool_exchange(pool_of(caller->net, address), request,
				  IDLE_MS, answer);
}

static bool read_lookup(struct caller *caller, const struct http_answer *answer)
{
	json_t *json = json_loadb(answer->body ? answer->body : "",
				  answer->body_bytes, 0, NULL);
	json_t *entries = json_object_get(json, "entries");
	json_t *home = json_object_get(json, "order_home");
	const char *prefix =
		json_string_value(json_object_get(home, "key_prefix"));
	const char *region = json_string_value(json_object_get(json, "region"));
	json_int_t ttl_ms = json_integer_value(json_object_get(json, "ttl_ms"));
	const char *address;
	json_t *entry;
	size_t i;

	caller->address_count = 0;
	json_array_foreach (entries, i, entry) {
		address = json_string_value(json_object_get(entry, "address"));
		if (address && i < 3)
			g_strlcpy(caller->addresses[caller->address_count++],
				  address, sizeof(caller->addresses[0]));
	}
	g_strlcpy(caller->key_prefix, prefix ? prefix : "",
		  sizeof(caller->key_prefix));
	g_strlcpy(caller->region, region ? region : "", sizeof(caller->region));
	caller->valid_until_ms = clock_now_ms(&clock_system) + ttl_ms;
	json_decref(json);
	return caller->address_count;
}

bool caller_look_up(struct caller *caller)
{
	const struct caller_options *options = caller->options;
	struct http_request request = { .method = "GET" };
	struct http_answer answer;
	enum http_result result;
	bool found = false;
	char path[256];
	uint32_t i;

	snprintf(path, sizeof(path), "/v1/entries?service=%s&from=%s&client=%s",
		 options->service, caller->from, caller->client);
	request.path = path;
	for (i = 0; i < options->lookup_count && !found; i++) {
		const char *address =
			options->lookup_addresses[caller->next_lookup++ %
						  options->lookup_count];

		memset(&answer, 0, sizeof(answer));
		result = exchange(caller, address, &request, LOOKUP_TIMEOUT_MS,
				  &answer);
		found = result == HTTP_WHOLE && answer.status == 200 &&
			read_lookup(caller, &answer);
		http_answer_clear(&answer);
	}
	return found;
}

static bool refresh(struct caller *caller)
{
	if (caller->address_count &&
	    clock_now_ms(&clock_system) < caller->valid_until_ms)
		return true;
	return caller_look_up(caller);
}

static enum verdict verdict_of(enum http_result result,
			       const struct http_answer *answer)
{
	const char *text;

	if (result == HTTP_NOT_SENT)
		return VERDICT_NOT_RUN;
	if (result != HTTP_WHOLE)
		return VERDICT_MAY_HAVE_RUN;
	text = http_answer_header(answer, VERDICT_HEADER);
	if (text && !strcmp(text, verdict_text(VERDICT_NOT_RUN)))
		return VERDICT_NOT_RUN;
	if (text && !strcmp(text, verdict_text(VERDICT_RAN)))
		return VERDICT_RAN;
	return VERDICT_MAY_HAVE_RUN;
}

/** Whether a successful answer is this caller's own, to this request. */
static bool answer_is_own(const struct caller *caller, const char *key,
			  const struct http_answer *answer)
{
	json_t *json = json_loadb(answer->body ? answer->body : "",
				  answer->body_bytes, 0, NULL);
	const char *tag = json_string_value(json_object_get(json, "caller"));
	const char *own = json_string_value(json_object_get(json, "key"));
	bool is_own =
		tag && !strcmp(tag, caller->tag) && own && !strcmp(own, key);

	json_decref(json);
	return is_own;
}

static void try_once(struct caller *caller, const char *method,
		     const char *headers, const char *address,
		     struct caller_outcome *outcome)
{
	struct caller_attempt *attempt =
		&outcome->attempts[outcome->attempt_count++];
	struct http_answer answer = { 0 };
	bool is_order = !strcmp(method, "POST");
	struct http_request request = {
		.method = method,
		.headers = headers,
		.body = is_order ? BODY : NULL,
		.body_bytes = is_order ? strlen(BODY) : 0,
	};
	char path[128];
	enum http_result result;
	const char *id;

	snprintf(path, sizeof(path), "%s/item", caller->options->path_prefix);
	request.path = path;
	g_strlcpy(attempt->address, address, sizeof(attempt->address));
	result = exchange(caller, address, &request,
			  caller->options->timeout_ms, &answer);
	attempt->verdict = verdict_of(result, &answer);
	attempt->status = answer.status;
	id = http_answer_header(&answer, "Auburnreach-Request-Id");
	g_strlcpy(attempt->request_id, id ? id : "", sizeof(attempt->request_id));
	if (result == HTTP_WHOLE && answer.status == 200) {
		outcome->succeeded = true;
		outcome->answer_wrong =
			!answer_is_own(caller, outcome->key, &answer);
	}
	http_answer_clear(&answer);
}

static void pause_ms(uint32_t ms)
{
	bench_sleep_until(clock_now_ns(&clock_system) + ms * NS_PER_MS);
}

/** Whether the fate of an order is settled. */
static bool is_settled(const struct caller_outcome *outcome)
{
	const struct caller_attempt *last;

	if (!outcome->attempt_count)
		return false;
	last = &outcome->attempts[outcome->attempt_count - 1];
	return last->verdict == VERDICT_RAN;
}

static void run(struct caller *caller, const char *method, const char *extra,
		struct caller_outcome *outcome)
{
	uint32_t max = MIN(caller->options->attempts_max, CALLER_ATTEMPTS_MAX);
	char headers[512];
	uint32_t i;

	for (i = 0; i < max && !is_settled(outcome); i++) {
		if (i)
			pause_ms(caller->options->pause_ms);
		if (!refresh(caller)) {
			outcome->no_entry = true;
			continue;
		}
		if (!outcome->key[0] && !strcmp(method, "POST"))
			snprintf(outcome->key, sizeof(outcome->key),
				 "%s%s-%" PRIu64, caller->key_prefix,
				 caller->tag, ++caller->number);
		snprintf(headers, sizeof(headers), "Caller-Tag: %s\r\n%s%s%s%s",
			 caller->tag, outcome->key[0] ? "Idempotency-Key: " : "",
			 outcome->key, outcome->key[0] ? "\r\n" : "", extra);
		try_once(caller, method, headers,
			 caller->addresses[i % caller->address_count], outcome);
		if (!is_settled(outcome))
			caller->valid_until_ms = 0; /* ask again */
	}
}

void caller_get(struct caller *caller, struct caller_outcome *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	run(caller, "GET", "", outcome);
}

void caller_order(struct caller *caller, const char *fault,
		  struct caller_outcome *outcome)
{
	char extra[96] = "";

	memset(outcome, 0, sizeof(*outcome));
	if (fault)
		snprintf(extra, sizeof(extra), "Standin-Fault: %s\r\n", fault);
	run(caller, "POST", extra, outcome);
}
