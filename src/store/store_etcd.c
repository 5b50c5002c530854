#include "store/store_etcd.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/counter.h"
#include "http/http_pool.h"

#define IDLE_CONNECTIONS_MAX 8
#define IDLE_TIMEOUT_MS 20000
#define REUSE_WITHIN_MS 5000
#define RESPONSE_BYTES_MAX (8 * 1024 * 1024)
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
	etcd->pool =
		http_pool_new(address, IDLE_CONNECTIONS_MAX, IDLE_TIMEOUT_MS);
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

static json_t *encode_base64(const char *text)
{
	char *encoded =
		g_base64_encode((const guchar *)text, text ? strlen(text) : 0);
	json_t *value = json_string(encoded);

	g_free(encoded);
	return value;
}

static char *decode_base64(json_t *value, uint32_t *byte_count)
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

/** Reads a number; the gateway encodes 64-bit numbers as strings. */
static uint64_t get_uint64(json_t *object, const char *key)
{
	json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return g_ascii_strtoull(json_string_value(value), NULL, 10);
	return (uint64_t)json_integer_value(value);
}

static struct http_request make_request(const char *path, const char *body,
					int64_t timeout_ms)
{
	struct http_request request = {
		.method = "POST",
		.path = path,
		.headers = "Content-Type: application/json\r\n",
		.body = body,
		.body_bytes = (uint32_t)strlen(body),
		.response_bytes_max = RESPONSE_BYTES_MAX,
		.deadline_ns =
			clock_now_ns(&clock_system) + timeout_ms * NS_PER_MS,
	};

	return request;
}

/**
 * Sends one request to the gateway and waits for the response.
 *
 * @param body released by this function.
 * @param response receives a new JSON value if STORE_OK is returned, else NULL.
 */
static enum store_result call_gateway(struct store_etcd *etcd, const char *path,
				      json_t *body, json_t **response)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_request request = make_request(path, text, etcd->timeout_ms);
	struct http_response raw = { 0 };
	enum store_result result = STORE_UNKNOWN;
	enum http_result sent;

	counter_add(COUNTER_STORE_CALLS, 1);
	sent = http_pool_exchange(etcd->pool, &request, REUSE_WITHIN_MS, &raw);
	*response = NULL;
	if (sent == HTTP_NOT_SENT)
		result = STORE_UNREACHABLE;
	if (sent == HTTP_COMPLETE && raw.status == 200)
		*response = json_loadb(raw.body ? raw.body : "", raw.body_bytes,
				       0, NULL);
	if (*response)
		result = STORE_OK;
	else
		counter_add(COUNTER_STORE_ERRORS, 1);
	gauge_set(GAUGE_STORE_REACHABLE, result == STORE_OK);
	http_response_clear(&raw);
	free(text);
	json_decref(body);
	return result;
}

static enum store_result etcd_get(void *context, const char *key,
				  struct store_value *value)
{
	json_t *body = json_pack("{s:o}", "key", encode_base64(key));
	json_t *response;
	json_t *first;
	enum store_result result;

	memset(value, 0, sizeof(*value));
	result = call_gateway(context, "/v3/kv/range", body, &response);
	if (result != STORE_OK)
		return result;
	value->store_revision =
		get_uint64(json_object_get(response, "header"), "revision");
	first = json_array_get(json_object_get(response, "kvs"), 0);
	if (first) {
		value->bytes = decode_base64(json_object_get(first, "value"),
					     &value->byte_count);
		value->mod_revision = get_uint64(first, "mod_revision");
	}
	json_decref(response);
	return STORE_OK;
}

static json_t *make_compare(const struct store_put *put)
{
	char revision[24];

	snprintf(revision, sizeof(revision), "%" PRIu64, put->expected_revision);
	return json_pack("{s:s,s:s,s:o,s:s}", "result", "EQUAL", "target",
			 "MOD", "key", encode_base64(put->key), "mod_revision",
			 revision);
}

static json_t *make_operation(const struct store_put *put)
{
	char lease[24];

	if (!put->value)
		return json_pack("{s:{s:o}}", "request_delete_range", "key",
				 encode_base64(put->key));
	snprintf(lease, sizeof(lease), "%" PRIu64, put->lease);
	return json_pack("{s:{s:o,s:o,s:s}}", "request_put", "key",
			 encode_base64(put->key), "value",
			 encode_base64(put->value), "lease", lease);
}

static enum store_result etcd_commit(void *context, const struct store_put *puts,
				     uint32_t put_count)
{
	json_t *compares = json_array();
	json_t *operations = json_array();
	enum store_result result;
	json_t *response;
	uint32_t i;

	for (i = 0; i < put_count; i++) {
		if (puts[i].compare)
			json_array_append_new(compares, make_compare(&puts[i]));
		json_array_append_new(operations, make_operation(&puts[i]));
	}
	result = call_gateway(context, "/v3/kv/txn",
			      json_pack("{s:o,s:o}", "compare", compares,
					"success", operations),
			      &response);
	if (result == STORE_OK &&
	    !json_is_true(json_object_get(response, "succeeded")))
		result = STORE_CONFLICT;
	json_decref(response);
	return result;
}

static enum store_result etcd_lease(void *context, uint32_t ttl_s, uint64_t *lease)
{
	json_t *response;
	enum store_result result;

	result = call_gateway(context, "/v3/lease/grant",
			      json_pack("{s:I}", "TTL", (json_int_t)ttl_s),
			      &response);
	if (result != STORE_OK)
		return result;
	*lease = get_uint64(response, "ID");
	json_decref(response);
	return *lease ? STORE_OK : STORE_UNKNOWN;
}

static enum store_result etcd_watch(void *context, const char *key,
				    uint32_t wait_ms, store_watch_fn changed,
				    void *watch_context)
{
	struct store_etcd *etcd = context;
	json_t *body = json_pack("{s:{s:o}}", "create_request", "key",
				 encode_base64(key));
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_request request =
		make_request("/v3/watch", text, etcd->timeout_ms);
	enum store_result result = STORE_UNREACHABLE;
	struct http_connection *connection;
	char line[WATCH_LINE_BYTES];
	int64_t line_deadline_ns;

	counter_add(COUNTER_STORE_CALLS, 1);
	connection =
		http_connect(http_pool_address(etcd->pool), request.deadline_ns);
	if (!connection || !http_open_stream(connection, &request)) {
		counter_add(COUNTER_STORE_ERRORS, 1);
		goto out;
	}
	result = STORE_OK;
	do {
		line_deadline_ns =
			clock_now_ns(&clock_system) + wait_ms * NS_PER_MS;
		if (http_read_line(connection, line, sizeof(line),
				   line_deadline_ns) < 0)
			break;
	} while (changed(watch_context));
out:
	http_close(connection);
	free(text);
	json_decref(body);
	return result;
}

/** The range of a prefix ends at the prefix with its last byte incremented. */
static json_t *make_range_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	json_t *value;

	end[strlen(end) - 1]++;
	value = encode_base64(end);
	g_free(end);
	return value;
}

static enum store_result
etcd_list(void *context, const char *prefix,
	  void (*each)(void *each_context, const char *key, const char *value),
	  void *each_context)
{
	json_t *body = json_pack("{s:o,s:o}", "key", encode_base64(prefix),
				 "range_end", make_range_end(prefix));
	enum store_result result;
	json_t *response;
	json_t *item;
	size_t i;

	result = call_gateway(context, "/v3/kv/range", body, &response);
	if (result != STORE_OK)
		return result;
	json_array_foreach (json_object_get(response, "kvs"), i, item) {
		char *key = decode_base64(json_object_get(item, "key"), NULL);
		char *value = decode_base64(json_object_get(item, "value"), NULL);

		each(each_context, key, value);
		free(key);
		free(value);
	}
	json_decref(response);
	return STORE_OK;
}

struct store store_etcd_as_store(struct store_etcd *etcd)
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
