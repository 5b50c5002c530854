#include "store/store_etcd.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "http/http_pool.h"

#define IDLE_CONNECTIONS 8
#define IDLE_MS 20000
#define FRESH_MS 5000
#define ANSWER_BYTES_MAX (8 * 1024 * 1024)
#define WATCH_LINE_BYTES 8192

struct store_etcd {
	struct http_pool *pool;
	uint32_t timeout_ms;
};

struct store_etcd *store_etcd_new(const char *address, uint32_t timeout_ms)
{
	struct store_etcd *etcd = calloc(1, sizeof(*etcd));

	if (!etcd)
		return NULL;
	etcd->pool = http_pool_new(address, IDLE_CONNECTIONS, IDLE_MS);
	etcd->timeout_ms = timeout_ms;
	if (etcd->pool)
		return etcd;
	free(etcd);
	return NULL;
}

void store_etcd_free(struct store_etcd *etcd)
{
	if (!etcd)
		return;
	http_pool_free(etcd->pool);
	free(etcd);
}

static json_t *base64_json(const char *text)
{
	char *encoded =
		g_base64_encode((const guchar *)text, text ? strlen(text) : 0);
	json_t *value = json_string(encoded);

	g_free(encoded);
	return value;
}

static char *base64_text(json_t *value, uint32_t *byte_count)
{
	const char *encoded = json_string_value(value);
	guchar *bytes;
	gsize count = 0;
	char *text;

	bytes = g_base64_decode(encoded ? encoded : "", &count);
	text = malloc(count + 1);
	if (text) {
		if (count)
			memcpy(text, bytes, count);
		text[count] = '\0';
	}
	if (byte_count)
		*byte_count = (uint32_t)count;
	g_free(bytes);
	return text;
}

/** The gateway writes 64-bit numbers as strings. */
static uint64_t number_of(json_t *object, const char *key)
{
	json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return g_ascii_strtoull(json_string_value(value), NULL, 10);
	return (uint64_t)json_integer_value(value);
}

static struct http_request request_of(const char *path, const char *body,
				      int64_t timeout_ms)
{
	struct http_request request = {
		.method = "POST",
		.path = path,
		.headers = "Content-Type: application/json\r\n",
		.body = body,
		.body_bytes = (uint32_t)strlen(body),
		.answer_bytes_max = ANSWER_BYTES_MAX,
		.deadline_ns =
			clock_now_ns(&clock_system) + timeout_ms * NS_PER_MS,
	};

	return request;
}

/**
 * One call. Takes over `body`.
 *
 * @param answer receives a new JSON value with STORE_OK.
 */
static enum store_result call(struct store_etcd *etcd, const char *path,
			      json_t *body, json_t **answer)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_request request = request_of(path, text, etcd->timeout_ms);
	struct http_answer raw = { 0 };
	enum store_result result = STORE_UNKNOWN;
	enum http_result sent;

	counter_add(COUNTER_STORE_CALLS, 1);
	sent = http_pool_exchange(etcd->pool, &request, FRESH_MS, &raw);
	*answer = NULL;
	if (sent == HTTP_NOT_SENT)
		result = STORE_UNREACHABLE;
	if (sent == HTTP_WHOLE && raw.status == 200)
		*answer = json_loadb(raw.body ? raw.body : "", raw.body_bytes,
				     0, NULL);
	if (*answer)
		result = STORE_OK;
	else
		counter_add(COUNTER_STORE_ERRORS, 1);
	gauge_set(GAUGE_STORE_REACHABLE, result == STORE_OK);
	http_answer_clear(&raw);
	free(text);
	json_decref(body);
	return result;
}

static enum store_result etcd_get(void *context, const char *key,
				  struct store_value *value)
{
	json_t *body = json_pack("{s:o}", "key", base64_json(key));
	json_t *answer;
	json_t *first;
	enum store_result result;

	memset(value, 0, sizeof(*value));
	result = call(context, "/v3/kv/range", body, &answer);
	if (result != STORE_OK)
		return result;
	value->store_revision =
		number_of(json_object_get(answer, "header"), "revision");
	first = json_array_get(json_object_get(answer, "kvs"), 0);
	if (first) {
		value->bytes = base64_text(json_object_get(first, "value"),
					   &value->byte_count);
		value->mod_revision = number_of(first, "mod_revision");
	}
	json_decref(answer);
	return STORE_OK;
}

static json_t *compare_of(const struct store_put *put)
{
	char revision[24];

	snprintf(revision, sizeof(revision), "%" PRIu64, put->expected_revision);
	return json_pack("{s:s,s:s,s:o,s:s}", "result", "EQUAL", "target", "MOD",
			 "key", base64_json(put->key), "mod_revision", revision);
}

static json_t *operation_of(const struct store_put *put)
{
	char lease[24];

	if (!put->value)
		return json_pack("{s:{s:o}}", "request_delete_range", "key",
				 base64_json(put->key));
	snprintf(lease, sizeof(lease), "%" PRIu64, put->lease);
	return json_pack("{s:{s:o,s:o,s:s}}", "request_put", "key",
			 base64_json(put->key), "value",
			 base64_json(put->value), "lease", lease);
}

static enum store_result etcd_commit(void *context, const struct store_put *puts,
				     uint32_t put_count)
{
	json_t *compares = json_array();
	json_t *operations = json_array();
	enum store_result result;
	json_t *answer;
	uint32_t i;

	for (i = 0; i < put_count; i++) {
		if (puts[i].compare)
			json_array_append_new(compares, compare_of(&puts[i]));
		json_array_append_new(operations, operation_of(&puts[i]));
	}
	result = call(context, "/v3/kv/txn",
		      json_pack("{s:o,s:o}", "compare", compares, "success",
				operations),
		      &answer);
	if (result == STORE_OK &&
	    !json_is_true(json_object_get(answer, "succeeded")))
		result = STORE_CONFLICT;
	json_decref(answer);
	return result;
}

static enum store_result etcd_lease(void *context, uint32_t ttl_s, uint64_t *lease)
{
	json_t *answer;
	enum store_result result;

	result = call(context, "/v3/lease/grant",
		      json_pack("{s:I}", "TTL", (json_int_t)ttl_s), &answer);
	if (result != STORE_OK)
		return result;
	*lease = number_of(answer, "ID");
	json_decref(answer);
	return *lease ? STORE_OK : STORE_UNKNOWN;
}

static enum store_result etcd_watch(void *context, const char *key,
				    uint32_t wait_ms, store_watch_fn changed,
				    void *watch_context)
{
	struct store_etcd *etcd = context;
	json_t *body = json_pack("{s:{s:o}}", "create_request", "key",
				 base64_json(key));
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_request request =
		request_of("/v3/watch", text, etcd->timeout_ms);
	enum store_result result = STORE_UNREACHABLE;
	struct http_connection *connection;
	char line[WATCH_LINE_BYTES];
	int64_t until_ns;

	counter_add(COUNTER_STORE_CALLS, 1);
	connection =
		http_connect(http_pool_address(etcd->pool), request.deadline_ns);
	if (!connection || !http_open_stream(connection, &request)) {
		counter_add(COUNTER_STORE_ERRORS, 1);
		goto out;
	}
	result = STORE_OK;
	do {
		until_ns = clock_now_ns(&clock_system) + wait_ms * NS_PER_MS;
		if (http_read_line(connection, line, sizeof(line), until_ns) < 0)
			break;
	} while (changed(watch_context));
out:
	http_close(connection);
	free(text);
	json_decref(body);
	return result;
}

/** The end of a prefix's range is the prefix with its last byte raised. */
static json_t *range_end_of(const char *prefix)
{
	char *end = g_strdup(prefix);
	json_t *value;

	end[strlen(end) - 1]++;
	value = base64_json(end);
	g_free(end);
	return value;
}

static enum store_result
etcd_list(void *context, const char *prefix,
	  void (*each)(void *each_context, const char *key, const char *value),
	  void *each_context)
{
	json_t *body = json_pack("{s:o,s:o}", "key", base64_json(prefix),
				 "range_end", range_end_of(prefix));
	enum store_result result;
	json_t *answer;
	json_t *item;
	size_t i;

	result = call(context, "/v3/kv/range", body, &answer);
	if (result != STORE_OK)
		return result;
	json_array_foreach (json_object_get(answer, "kvs"), i, item) {
		char *key = base64_text(json_object_get(item, "key"), NULL);
		char *value = base64_text(json_object_get(item, "value"), NULL);

		each(each_context, key, value);
		free(key);
		free(value);
	}
	json_decref(answer);
	return STORE_OK;
}

struct store store_etcd_store(struct store_etcd *etcd)
{
	struct store store = {
		.get = etcd_get,
		.commit = etcd_commit,
		.lease = etcd_lease,
		.watch = etcd_watch,
		.list = etcd_list,
		.context = etcd,
	};

	return store;
}
