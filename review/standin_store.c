#include "standin.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/**
 * @file
 * The platform's store: all keys in memory, leases, and watches with the whole
 * history.
 */

#define ITEMS_MAX 512
#define EVENTS_MAX 8192
#define LEASES_MAX 512
#define VALUE_BYTES_MAX 8192
#define LEASE_CHECK_MS 50
#define DOOR_LINKS_MAX 256

struct item {
	char key[201];
	char value[VALUE_BYTES_MAX]; /* base64 */
	uint64_t revision;
	uint64_t lease;
	bool present;
};

struct event {
	struct item item; /* not present: removed */
};

struct lease {
	uint64_t id;
	int64_t ttl_ms;
	int64_t until_ms;
};

uint16_t store_port;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct item items[ITEMS_MAX];
static struct event *events;
static size_t event_count;
static struct lease leases[LEASES_MAX];
static uint64_t revision = 1;
static uint64_t next_lease = 100;
static struct {
	const struct store_door *door;
	int fd;
} door_links[DOOR_LINKS_MAX];

static const char digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static void encode_base64(const char *text, char *out)
{
	size_t bytes = strlen(text);
	size_t i;

	for (i = 0; i < bytes; i += 3) {
		uint32_t group = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < bytes)
			group |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < bytes)
			group |= (unsigned char)text[i + 2];
		*out++ = digits[group >> 18];
		*out++ = digits[group >> 12 & 63];
		*out++ = i + 1 < bytes ? digits[group >> 6 & 63] : '=';
		*out++ = i + 2 < bytes ? digits[group & 63] : '=';
	}
	*out = '\0';
}

static struct item *find_item(const char *key)
{
	int i;

	for (i = 0; i < ITEMS_MAX; i++)
		if (items[i].present && !strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static void add_event(const struct item *item)
{
	if (event_count == EVENTS_MAX)
		give_up("the store has no room for another change");
	events[event_count++].item = *item;
	pthread_cond_broadcast(&changed);
}

/* Called with the lock held, as are the functions below. */
static void put_item(const char *key, const char *value, uint64_t lease)
{
	struct item *item = find_item(key);
	int i;

	for (i = 0; !item && i < ITEMS_MAX; i++)
		if (!items[i].present)
			item = &items[i];
	if (!item || strlen(key) > 200 || strlen(value) >= VALUE_BYTES_MAX)
		give_up("the store has no room for a key");
	snprintf(item->key, sizeof(item->key), "%s", key);
	snprintf(item->value, sizeof(item->value), "%s", value);
	item->revision = ++revision;
	item->lease = lease;
	item->present = true;
	add_event(item);
}

static void remove_item(struct item *item)
{
	item->present = false;
	item->revision = ++revision;
	add_event(item);
}

void store_put(const char *key, const char *value)
{
	char text[VALUE_BYTES_MAX];

	if (strlen(value) * 4 / 3 + 8 > sizeof(text))
		give_up("a value is too long for the store");
	encode_base64(value, text);
	pthread_mutex_lock(&lock);
	put_item(key, text, 0);
	pthread_mutex_unlock(&lock);
}

void store_remove(const char *key)
{
	struct item *item;

	pthread_mutex_lock(&lock);
	item = find_item(key);
	if (item)
		remove_item(item);
	pthread_mutex_unlock(&lock);
}

void store_put_server(const char *id, const char *service, const char *zone,
		      uint16_t port, int slots, int start)
{
	static const long long born_ms = 1733286148000;
	char key[64];
	char value[512];

	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(value, sizeof(value),
		 "{\"Address\":\"127.0.0.1:%u\",\"Info\":{\"Service\":\"%s\","
		 "\"Version\":\"v1\",\"Zone\":\"%s\",\"Slots\":%d},"
		 "\"Status\":{\"State\":\"ready\",\"Seq\":1,\"ColdLeftMs\":0},"
		 "\"born\":%lld}",
		 port, service, zone, slots, born_ms + now_ms() + start);
	store_put(key, value);
}

static void end_lease(struct lease *lease)
{
	int i;

	for (i = 0; i < ITEMS_MAX; i++)
		if (items[i].present && items[i].lease == lease->id)
			remove_item(&items[i]);
	memset(lease, 0, sizeof(*lease));
}

static struct lease *find_lease(uint64_t id)
{
	int i;

	for (i = 0; id && i < LEASES_MAX; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

static void *run_leases(void *context)
{
	int i;

	for (;;) {
		sleep_ms(LEASE_CHECK_MS);
		pthread_mutex_lock(&lock);
		for (i = 0; i < LEASES_MAX; i++)
			if (leases[i].id && leases[i].until_ms < now_ms())
				end_lease(&leases[i]);
		pthread_mutex_unlock(&lock);
	}
	return context;
}

/* Copies a decoded parameter of the request's query, or "". */
static void get_parameter(const struct message *request, const char *name,
			  char *out, size_t bytes)
{
	const char *at = strchr(request->head, '?');
	size_t name_bytes = strlen(name);
	size_t used = 0;

	while (at && (strncmp(at + 1, name, name_bytes) != 0 ||
		      at[1 + name_bytes] != '='))
		at = strpbrk(at + 1, "& ");
	if (at && *at != ' ')
		at += name_bytes + 2;
	else
		at = "";
	while (*at && !strchr("& \r", *at) && used + 1 < bytes) {
		unsigned int code;

		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			out[used++] = (char)code;
			at += 3;
		} else {
			out[used++] = *at++;
		}
	}
	out[used] = '\0';
}

static json_t *item_json(const struct item *item)
{
	if (!item->present)
		return json_pack("{s:s,s:I,s:b}", "Key", item->key, "Revision",
				 (json_int_t)item->revision, "Removed", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", item->key, "Value",
			 item->value, "Revision", (json_int_t)item->revision,
			 "Created", (json_int_t)item->revision, "Lease",
			 (json_int_t)item->lease);
}

static int compare_items(const void *left, const void *right)
{
	return strcmp((*(const struct item *const *)left)->key,
		      (*(const struct item *const *)right)->key);
}

static json_t *range_json(const struct message *request)
{
	const struct item *found[ITEMS_MAX];
	json_t *list = json_array();
	char prefix[256];
	char after[256];
	size_t count = 0;
	size_t i;

	get_parameter(request, "Prefix", prefix, sizeof(prefix));
	get_parameter(request, "after", after, sizeof(after));
	for (i = 0; i < ITEMS_MAX; i++)
		if (items[i].present &&
		    !strncmp(items[i].key, prefix, strlen(prefix)) &&
		    strcmp(items[i].key, after) > 0)
			found[count++] = &items[i];
	qsort(found, count, sizeof(found[0]), compare_items);
	for (i = 0; i < count; i++)
		json_array_append_new(list, item_json(found[i]));
	return json_pack("{s:o,s:b,s:I}", "items", list, "Truncated", 0,
			 "CurrentRev", (json_int_t)revision);
}

static json_t *collect_events(const char *prefix, uint64_t after)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < event_count; i++)
		if (events[i].item.revision > after &&
		    !strncmp(events[i].item.key, prefix, strlen(prefix)))
			json_array_append_new(list, item_json(&events[i].item));
	return list;
}

/* @return the answer, or NULL if the revision is unknown. */
static json_t *watch_json(const struct message *request)
{
	char prefix[256];
	char text[32];
	struct timespec until;
	json_t *list;
	uint64_t after;
	int64_t wait_ms;
	int waited = 0;

	get_parameter(request, "Prefix", prefix, sizeof(prefix));
	get_parameter(request, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	get_parameter(request, "WaitMs", text, sizeof(text));
	wait_ms = strtoll(text, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	for (;;) {
		if (after > revision)
			return NULL;
		list = collect_events(prefix, after);
		if (json_array_size(list) || waited)
			break;
		json_decref(list);
		waited = pthread_cond_timedwait(&changed, &lock, &until);
	}
	return json_pack("{s:o,s:I}", "events", list, "CurrentRev",
			 (json_int_t)revision);
}

static json_t *grant_json(json_t *body)
{
	int64_t ttl_ms = json_integer_value(json_object_get(body, "TtlMs"));
	int i;

	for (i = 0; i < LEASES_MAX; i++)
		if (!leases[i].id)
			break;
	if (i == LEASES_MAX)
		give_up("the store has no room for a lease");
	leases[i].id = next_lease++;
	leases[i].ttl_ms = ttl_ms;
	leases[i].until_ms = now_ms() + ttl_ms;
	return json_pack("{s:I,s:I}", "Lease", (json_int_t)leases[i].id,
			 "TtlMs", (json_int_t)ttl_ms);
}

static uint64_t lease_of(json_t *row)
{
	return (uint64_t)json_integer_value(json_object_get(row, "Lease"));
}

static int expectation_status(json_t *expected)
{
	json_t *row;
	size_t i;

	json_array_foreach (expected, i, row) {
		const char *key = json_string_value(json_object_get(row, "Key"));
		const struct item *item = key ? find_item(key) : NULL;

		if ((item ? item->revision : 0) !=
		    (uint64_t)json_integer_value(json_object_get(row, "Revision")))
			return 412;
	}
	return 200;
}

static int apply_txn(json_t *body, json_t **answer)
{
	json_t *puts = json_object_get(body, "Puts");
	json_t *removed = json_object_get(body, "Remove");
	int status = expectation_status(json_object_get(body, "Expected"));
	json_t *row;
	size_t i;

	if (status != 200) {
		*answer = json_pack("{s:[]}", "items");
		return status;
	}
	json_array_foreach (puts, i, row)
		if (lease_of(row) && !find_lease(lease_of(row)))
			return 404;
	json_array_foreach (puts, i, row)
		put_item(json_string_value(json_object_get(row, "Key")),
			 json_string_value(json_object_get(row, "Value")),
			 lease_of(row));
	json_array_foreach (removed, i, row) {
		struct item *item = find_item(json_string_value(row));

		if (item)
			remove_item(item);
	}
	*answer = json_pack("{s:I}", "Revision", (json_int_t)revision);
	return 200;
}

static int handle_lease(const char *path, json_t **answer)
{
	struct lease *lease =
		find_lease(strtoull(strrchr(path, '/') + 1, NULL, 10));

	if (!lease)
		return 404;
	if (!strncmp(path, "/kv-keep/", 9)) {
		lease->until_ms = now_ms() + lease->ttl_ms;
		*answer = json_pack("{s:I}", "TtlMs", (json_int_t)lease->ttl_ms);
	} else {
		end_lease(lease);
	}
	return 200;
}

static int handle_call(const struct message *request, const char *path,
		       json_t **answer)
{
	json_t *body =
		request->body_bytes
			? json_loadb(request->body, request->body_bytes, 0, NULL)
			: NULL;
	int status = 200;

	if (!strncmp(path, "/kv-range", 9)) {
		*answer = range_json(request);
	} else if (!strncmp(path, "/kv-watch", 9)) {
		*answer = watch_json(request);
		status = *answer ? 200 : 410;
	} else if (!strcmp(path, "/kv-txn")) {
		status = apply_txn(body, answer);
	} else if (!strcmp(path, "/kv-lease")) {
		*answer = grant_json(body);
	} else {
		status = handle_lease(path, answer);
	}
	json_decref(body);
	return status;
}

static bool serve_call(struct link *link, struct message *request)
{
	json_t *answer = NULL;
	char *text = NULL;
	char path[256];
	bool written;
	int status;

	if (sscanf(request->head, "%*s %255s", path) != 1)
		return false;
	pthread_mutex_lock(&lock);
	status = handle_call(request, path, &answer);
	pthread_mutex_unlock(&lock);
	if (answer)
		text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	written = write_text(link->fd,
			     "HTTP/1.1 %d Status\r\nStore-Era: 1\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n\r\n",
			     status, text ? strlen(text) : 0) &&
		  (!text || write_all(link->fd, text, strlen(text)));
	free(text);
	return written;
}

/* @return the place of the connection in the list of doors. */
static int add_door_link(const struct store_door *door, int fd)
{
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < DOOR_LINKS_MAX && door_links[i].door; i++)
		;
	if (i == DOOR_LINKS_MAX)
		give_up("the store has no room for a connection");
	door_links[i].door = door;
	door_links[i].fd = fd;
	pthread_mutex_unlock(&lock);
	return i;
}

static void serve(struct link *link, void *context)
{
	const struct store_door *door = context;
	struct message *request = calloc(1, sizeof(*request));
	int place = door ? add_door_link(door, link->fd) : -1;
	bool goes_on = true;

	while (goes_on && read_head(link, request) && read_body(link, request)) {
		if (door && door->refuses)
			goes_on = write_text(link->fd,
					     "HTTP/1.1 503 Status\r\n"
					     "Store-Era: 1\r\n"
					     "Content-Length: 0\r\n\r\n");
		else
			goes_on = serve_call(link, request);
		free(request->body);
	}
	if (door) {
		pthread_mutex_lock(&lock);
		door_links[place].door = NULL;
		pthread_mutex_unlock(&lock);
	}
	free(request);
}

void store_open_door(struct store_door *door)
{
	serve_connections(listen_anywhere(&door->port), serve, door);
}

void store_refuse(struct store_door *door, bool refuses)
{
	int i;

	pthread_mutex_lock(&lock);
	door->refuses = refuses;
	for (i = 0; i < DOOR_LINKS_MAX; i++)
		if (refuses && door_links[i].door == door)
			shutdown(door_links[i].fd, SHUT_RDWR);
	pthread_mutex_unlock(&lock);
}

void store_start(void)
{
	events = calloc(EVENTS_MAX, sizeof(*events));
	serve_connections(listen_anywhere(&store_port), serve, NULL);
	start_thread(run_leases, NULL);
}
