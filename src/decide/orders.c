#include "decide/orders.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define KEY_SEPARATOR '~'
#define RESPONSE_BYTES_MAX (64 * 1024)

struct orders {
	GHashTable *by_key;
	uint32_t count_max;
	uint64_t response_bytes_max;
	uint64_t response_bytes;
};

static void drop_response(struct orders *orders, struct order *order)
{
	orders->response_bytes -=
		order->response.body ? order->response.body_bytes : 0;
	free(order->response.body);
	free(order->response.content_type);
	order->response.body = NULL;
	order->response.content_type = NULL;
}

struct orders *orders_new(uint32_t count_max, uint64_t response_bytes_max)
{
	struct orders *orders = calloc(1, sizeof(*orders));

	if (!orders)
		return NULL;
	orders->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	orders->count_max = count_max;
	orders->response_bytes_max = response_bytes_max;
	return orders;
}

static gboolean drop_order(gpointer key, gpointer value, gpointer context)
{
	struct order *order = value;

	(void)key;
	drop_response(context, order);
	free(order);
	return TRUE;
}

void orders_free(struct orders *orders)
{
	if (!orders)
		return;
	g_hash_table_foreach_remove(orders->by_key, drop_order, orders);
	g_hash_table_destroy(orders->by_key);
	free(orders);
}

static struct order *find_order(const struct orders *orders, const char *key)
{
	return g_hash_table_lookup(orders->by_key, key);
}

const struct order *orders_find(const struct orders *orders, const char *key)
{
	return find_order(orders, key);
}

/** An order in progress never expires. */
static bool is_expired(const struct order *order, int64_t now_ms)
{
	return (order->finished || order->not_run) && order->expires_ms <= now_ms;
}

enum order_action orders_begin(struct orders *orders, const char *key,
			       uint64_t digest, int64_t now_ms,
			       struct order **order)
{
	struct order *entry = find_order(orders, key);

	*order = entry;
	if (entry && is_expired(entry, now_ms)) {
		g_hash_table_remove(orders->by_key, key);
		drop_order(NULL, entry, orders);
		entry = NULL;
	}
	/* not run, and no claim known to be held: the body may differ */
	if (entry && entry->not_run && entry->claim != ORDER_CLAIM_HELD)
		entry->digest = digest;
	if (entry && entry->digest != digest)
		return ORDER_KEY_REUSED;
	if (entry && entry->not_run) {
		entry->not_run = false;
		return ORDER_START;
	}
	if (entry)
		return entry->finished ? ORDER_REPLAY : ORDER_JOIN;
	if (orders_count(orders) >= orders->count_max)
		return ORDER_TABLE_FULL;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return ORDER_TABLE_FULL;
	snprintf(entry->key, sizeof(entry->key), "%s", key);
	entry->digest = digest;
	g_hash_table_insert(orders->by_key, entry->key, entry);
	*order = entry;
	return ORDER_START;
}

static void store_response(struct orders *orders, struct order *order,
			   const struct order_response *response)
{
	order->response = *response;
	order->response.content_type =
		response->content_type ? strdup(response->content_type) : NULL;
	order->response.body = NULL;
	if (!response->body || response->body_bytes > RESPONSE_BYTES_MAX ||
	    orders->response_bytes + response->body_bytes >
		    orders->response_bytes_max)
		return;
	order->response.body = malloc(response->body_bytes + 1);
	if (!order->response.body)
		return;
	memcpy(order->response.body, response->body, response->body_bytes);
	order->response.body[response->body_bytes] = '\0';
	orders->response_bytes += response->body_bytes;
}

void orders_finish(struct orders *orders, const char *key,
		   const struct order_response *response, int64_t retention_ms,
		   int64_t now_ms)
{
	struct order *order = find_order(orders, key);

	if (!order || order->finished)
		return;
	order->expires_ms = now_ms + retention_ms;
	if (response->verdict == VERDICT_NOT_RUN) {
		order->not_run = true;
		return;
	}
	order->finished = true;
	store_response(orders, order, response);
}

void orders_set_claim(struct orders *orders, const char *key,
		      enum order_claim claim)
{
	struct order *order = find_order(orders, key);

	if (order)
		order->claim = claim;
}

void orders_forget(struct orders *orders, const char *key)
{
	struct order *order = find_order(orders, key);

	if (!order)
		return;
	g_hash_table_remove(orders->by_key, key);
	drop_order(NULL, order, orders);
}

struct expire_context {
	struct orders *orders;
	int64_t now_ms;
};

static gboolean drop_expired(gpointer key, gpointer value, gpointer context)
{
	const struct expire_context *expire_context = context;
	struct order *order = value;

	if (!is_expired(order, expire_context->now_ms))
		return FALSE;
	return drop_order(key, value, expire_context->orders);
}

uint32_t orders_expire(struct orders *orders, int64_t now_ms)
{
	struct expire_context expire_context = { orders, now_ms };

	return g_hash_table_foreach_remove(orders->by_key, drop_expired,
					   &expire_context);
}

uint32_t orders_count(const struct orders *orders)
{
	return g_hash_table_size(orders->by_key);
}

void order_key_prefix(const struct order_key *parts, char *text, size_t text_bytes)
{
	snprintf(text, text_bytes, "%s~%" PRIx64 "~%c~%" PRIx64 "~",
		 parts->home, parts->incarnation, parts->claimed ? 'c' : 'u',
		 (uint64_t)parts->issued_unix_s);
}

/** Parses a hexadecimal number terminated by KEY_SEPARATOR. */
static bool parse_hex(const char **cursor, uint64_t *number)
{
	char *end;

	if (!g_ascii_isxdigit(**cursor))
		return false;
	*number = g_ascii_strtoull(*cursor, &end, 16);
	if (*end != KEY_SEPARATOR || end - *cursor > 16)
		return false;
	*cursor = end + 1;
	return true;
}

bool order_key_parse(const char *key, struct order_key *parts)
{
	const char *cursor = strchr(key, KEY_SEPARATOR);
	size_t home_bytes;
	uint64_t issued;

	if (!cursor || cursor == key)
		return false;
	home_bytes = (size_t)(cursor - key);
	if (home_bytes >= sizeof(parts->home))
		return false;
	memcpy(parts->home, key, home_bytes);
	parts->home[home_bytes] = '\0';
	cursor++;
	if (!parse_hex(&cursor, &parts->incarnation))
		return false;
	if ((*cursor != 'c' && *cursor != 'u') || cursor[1] != KEY_SEPARATOR)
		return false;
	parts->claimed = *cursor == 'c';
	cursor += 2;
	if (!parse_hex(&cursor, &issued) || issued > INT64_MAX / 1000)
		return false;
	parts->issued_unix_s = (int64_t)issued;
	return *cursor != '\0';
}

uint64_t order_digest(const char *method, const char *path, const char *body,
		      size_t body_bytes)
{
	XXH64_hash_t hash = XXH64(method, strlen(method), 0);

	hash = XXH64(path, strlen(path), hash);
	return XXH64(body ? body : "", body_bytes, hash);
}
