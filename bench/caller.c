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
#define IDLE_CONNECTIONS_MAX 64
#define IDLE_MAX_MS 1500
#define RESPONSE_BYTES_MAX (1024 * 1024)
#define ORDER_BODY "five rolls of film"

struct caller_pools {
	pthread_mutex_t lock;
	GHashTable *by_address; /* address -> struct http_pool */
};

static void free_pool(gpointer pool)
{
	http_pool_free(pool);
}

struct caller_pools *caller_pools_new(void)
{
	struct caller_pools *pools = g_new0(struct caller_pools, 1);

	pthread_mutex_init(&pools->lock, NULL);
	pools->by_address = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_pool);
	return pools;
}

void caller_pools_free(struct caller_pools *pools)
{
	g_hash_table_destroy(pools->by_address);
	pthread_mutex_destroy(&pools->lock);
	g_free(pools);
}

/** @return the pool of the address, created at its first use. */
static struct http_pool *pool_for_address(struct caller_pools *pools,
					  const char *address)
{
	struct http_pool *pool;

	pthread_mutex_lock(&pools->lock);
	pool = g_hash_table_lookup(pools->by_address, address);
	if (!pool) {
		pool = http_pool_new(address, IDLE_CONNECTIONS_MAX, IDLE_MAX_MS);
		g_hash_table_insert(pools->by_address, g_strdup(address), pool);
	}
	pthread_mutex_unlock(&pools->lock);
	return pool;
}

static enum http_result send_request(struct caller *caller, const char *address,
				     struct http_request *request,
				     uint32_t timeout_ms,
				     struct http_response *response)
{
	request->response_bytes_max = RESPONSE_BYTES_MAX;
	request->deadline_ns =
		clock_now_ns(&clock_system) + timeout_ms * NS_PER_MS;
	return http_pool_exchange(pool_for_address(caller->pools, address),
				  request, IDLE_MAX_MS, response);
}

/** Stores a look-up response. @return whether it names an entry VM. */
static bool parse_lookup(struct caller *caller,
			 const struct http_response *response)
{
	json_t *json = json_loadb(response->body ? response->body : "",
				  response->body_bytes, 0, NULL);
	json_t *entries = json_object_get(json, "entries");
	json_t *home = json_object_get(json, "order_home");
	const char *prefix =
		json_string_value(json_object_get(home, "key_prefix"));
	const char *entry_region =
		json_string_value(json_object_get(json, "region"));
	json_int_t ttl_ms = json_integer_value(json_object_get(json, "ttl_ms"));
	const char *address;
	json_t *entry;
	size_t i;

	caller->entry_address_count = 0;
	json_array_foreach (entries, i, entry) {
		address = json_string_value(json_object_get(entry, "address"));
		if (address && i < 3)
			g_strlcpy(caller->entry_addresses[caller->entry_address_count++],
				  address, sizeof(caller->entry_addresses[0]));
	}
	g_strlcpy(caller->key_prefix, prefix ? prefix : "",
		  sizeof(caller->key_prefix));
	g_strlcpy(caller->entry_region, entry_region ? entry_region : "",
		  sizeof(caller->entry_region));
	caller->entries_valid_until_ms = clock_now_ms(&clock_system) + ttl_ms;
	json_decref(json);
	return caller->entry_address_count;
}

bool caller_fetch_entries(struct caller *caller)
{
	const struct caller_options *options = caller->options;
	struct http_request request = { .method = "GET" };
	struct http_response response;
	enum http_result result;
	bool found = false;
	char path[256];
	uint32_t i;

	snprintf(path, sizeof(path), "/v1/entries?service=%s&from=%s&client=%s",
		 options->service, caller->from_region, caller->client_address);
	request.path = path;
	for (i = 0; i < options->lookup_address_count && !found; i++) {
		const char *address =
			options->lookup_addresses[caller->next_lookup++ %
						  options->lookup_address_count];

		memset(&response, 0, sizeof(response));
		result = send_request(caller, address, &request,
				      LOOKUP_TIMEOUT_MS, &response);
		found = result == HTTP_COMPLETE && response.status == 200 &&
			parse_lookup(caller, &response);
		http_response_clear(&response);
	}
	return found;
}

/** Looks up entry VMs unless the cached response is still valid. */
static bool ensure_entries(struct caller *caller)
{
	if (caller->entry_address_count &&
	    clock_now_ms(&clock_system) < caller->entries_valid_until_ms)
		return true;
	return caller_fetch_entries(caller);
}

static enum verdict verdict_from_response(enum http_result result,
					  const struct http_response *response)
{
	const char *text;

	if (result == HTTP_NOT_SENT)
		return VERDICT_NOT_RUN;
	if (result != HTTP_COMPLETE)
		return VERDICT_MAY_HAVE_RUN;
	text = http_response_header(response, VERDICT_HEADER);
	if (text && !strcmp(text, verdict_text(VERDICT_NOT_RUN)))
		return VERDICT_NOT_RUN;
	if (text && !strcmp(text, verdict_text(VERDICT_RAN)))
		return VERDICT_RAN;
	return VERDICT_MAY_HAVE_RUN;
}

/** @return whether the response echoes this caller's tag and key. */
static bool is_own_response(const struct caller *caller, const char *key,
			    const struct http_response *response)
{
	json_t *json = json_loadb(response->body ? response->body : "",
				  response->body_bytes, 0, NULL);
	const char *tag = json_string_value(json_object_get(json, "caller"));
	const char *echoed_key = json_string_value(json_object_get(json, "key"));
	bool matches = tag && !strcmp(tag, caller->tag) && echoed_key &&
		       !strcmp(echoed_key, key);

	json_decref(json);
	return matches;
}

static void send_attempt(struct caller *caller, const char *method,
			 const char *headers, const char *address,
			 struct caller_outcome *outcome)
{
	struct caller_attempt *attempt =
		&outcome->attempts[outcome->attempt_count++];
	struct http_response response = { 0 };
	bool is_order = !strcmp(method, "POST");
	struct http_request request = {
		.method = method,
		.headers = headers,
		.body = is_order ? ORDER_BODY : NULL,
		.body_bytes = is_order ? strlen(ORDER_BODY) : 0,
	};
	char path[128];
	enum http_result result;
	const char *id;

	snprintf(path, sizeof(path), "%s/item", caller->options->path_prefix);
	request.path = path;
	g_strlcpy(attempt->address, address, sizeof(attempt->address));
	result = send_request(caller, address, &request,
			      caller->options->timeout_ms, &response);
	attempt->verdict = verdict_from_response(result, &response);
	attempt->status = response.status;
	id = http_response_header(&response, "Auburnreach-Request-Id");
	g_strlcpy(attempt->request_id, id ? id : "", sizeof(attempt->request_id));
	if (result == HTTP_COMPLETE && response.status == 200) {
		outcome->succeeded = true;
		outcome->response_mismatched =
			!is_own_response(caller, outcome->key, &response);
	}
	http_response_clear(&response);
}

static void sleep_ms(uint32_t ms)
{
	bench_sleep_until(clock_now_ns(&clock_system) + ms * NS_PER_MS);
}

/** @return whether the last attempt's verdict is RAN: no retry is needed. */
static bool is_settled(const struct caller_outcome *outcome)
{
	const struct caller_attempt *last;

	if (!outcome->attempt_count)
		return false;
	last = &outcome->attempts[outcome->attempt_count - 1];
	return last->verdict == VERDICT_RAN;
}

static void run_attempts(struct caller *caller, const char *method,
			 const char *extra_headers,
			 struct caller_outcome *outcome)
{
	uint32_t max = MIN(caller->options->attempts_max, CALLER_ATTEMPTS_MAX);
	char headers[512];
	uint32_t i;

	for (i = 0; i < max && !is_settled(outcome); i++) {
		if (i)
			sleep_ms(caller->options->retry_delay_ms);
		if (!ensure_entries(caller)) {
			outcome->entries_unavailable = true;
			continue;
		}
		if (!outcome->key[0] && !strcmp(method, "POST"))
			snprintf(outcome->key, sizeof(outcome->key),
				 "%s%s-%" PRIu64, caller->key_prefix,
				 caller->tag, ++caller->key_counter);
		snprintf(headers, sizeof(headers), "Caller-Tag: %s\r\n%s%s%s%s",
			 caller->tag, outcome->key[0] ? "Idempotency-Key: " : "",
			 outcome->key, outcome->key[0] ? "\r\n" : "",
			 extra_headers);
		send_attempt(caller, method, headers,
			     caller->entry_addresses[i % caller->entry_address_count],
			     outcome);
		if (!is_settled(outcome))
			/* the retry looks up entry VMs again */
			caller->entries_valid_until_ms = 0;
	}
}

void caller_run_get(struct caller *caller, struct caller_outcome *outcome)
{
	memset(outcome, 0, sizeof(*outcome));
	run_attempts(caller, "GET", "", outcome);
}

void caller_place_order(struct caller *caller, const char *fault,
			struct caller_outcome *outcome)
{
	char extra_headers[96] = "";

	memset(outcome, 0, sizeof(*outcome));
	if (fault)
		snprintf(extra_headers, sizeof(extra_headers),
			 "Standin-Fault: %s\r\n", fault);
	run_attempts(caller, "POST", extra_headers, outcome);
}
