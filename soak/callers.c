#include "callers.h"

#include <event2/buffer.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/attributes.h"
#include "base/clock.h"
#include "http_call.h"
#include "net/http_stream.h"
#include "net/tcp.h"
#include "net/timer.h"
#include "slow_callers.h"

#define DEADLINE_MS 2000
#define LONG_DEADLINE_MS 7000
/* Time for a response after the deadline. */
#define RESPONSE_GRACE_MS 500
#define LOOKUP_TIMEOUT_MS 1000
/* Callers keep using a lookup result past its TTL, which is 1 s. */
#define LOOKUP_AGE_MAX_MS 2000
#define LOOKUP_AGE_LONG_MS 3000
/* One request in this many has the long deadline; of callers that connect each
 * time, one in two. */
#define LONG_SHARE 6
#define LONG_SHARE_RECONNECTS 2
/* Pause between two requests of a caller. */
#define THINK_MIN_MS 10
#define THINK_MAX_MS 90
#define OBJECT_COUNT 40
#define BODY_BYTES_MAX 65536
#define ADDRESSES_MAX 64
#define VERSIONS_MAX 256

enum caller_kind {
	CALLER_FRESH,	   /* queries the directory and connects each time */
	CALLER_STAYS,	   /* keeps its connection until the VM closes it */
	CALLER_RECONNECTS, /* connects each time */
	CALLER_FOLLOWS,	   /* leaves VMs that the directory has left out */
};

static const enum caller_kind caller_kinds[] = {
	CALLER_FRESH, CALLER_STAYS,   CALLER_RECONNECTS,
	CALLER_FRESH, CALLER_FOLLOWS, CALLER_RECONNECTS,
};

struct caller {
	struct callers *owner;
	struct event *timer; /* next request, or response timeout */
	struct http_stream *stream;
	char address[ADDRESS_BYTES]; /* of the connected VM */
	char addresses[ADDRESSES_MAX][ADDRESS_BYTES];
	uint32_t address_count;
	int64_t looked_up_ms;
	uint32_t domain;
	enum caller_kind kind;
	bool busy;	      /* a request is in progress */
	bool will_close;      /* the VM closes after the response */
	bool head_mismatched; /* request ID or response stamp is wrong */
	struct call_record record;
	char target[64];
	struct evbuffer *body;
};

struct callers {
	struct fleet *fleet;
	struct caller *list;
	uint32_t count;
	struct slow_callers *slow;
	GArray *records;
	int64_t began_ms;
	int64_t version_age_min_ms;
	int64_t published_ms[VERSIONS_MAX];
	uint32_t sent;
	bool stopping;
};

int64_t callers_elapsed_ms(const struct callers *callers)
{
	return clock_now_ms(&clock_system) - callers->began_ms;
}

void callers_begin_record(struct callers *callers, struct call_record *record)
{
	memset(record, 0, sizeof(*record));
	g_snprintf(record->id, sizeof(record->id), "r%u", ++callers->sent);
	record->began_ms = callers_elapsed_ms(callers);
}

void callers_end_record(struct callers *callers, struct call_record *record)
{
	record->ended_ms = callers_elapsed_ms(callers);
	g_array_append_val(callers->records, *record);
}

static void disconnect(struct caller *caller)
{
	http_stream_free(caller->stream);
	caller->stream = NULL;
}

static void schedule_next_request(struct caller *caller)
{
	timer_start(caller->timer,
		    g_random_int_range(THINK_MIN_MS, THINK_MAX_MS));
}

static void finish_request(struct caller *caller, uint16_t status)
{
	if (!caller->busy)
		return;
	caller->busy = false;
	caller->record.status = status;
	callers_end_record(caller->owner, &caller->record);
	schedule_next_request(caller);
}

static void on_connected(void *context)
{
	((struct caller *)context)->record.sent = true;
}

static void on_head(void *context, const struct http_head *head)
{
	struct caller *caller = context;
	const char *id = http_head_get(head, "Request-Id");

	caller->record.status = head->status;
	caller->will_close = !head->keep_alive;
	caller->record.stamped = http_head_get(head, "Response-Stamp") != NULL;
	caller->head_mismatched = !id || strcmp(id, caller->record.id) != 0 ||
				  !caller->record.stamped;
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	struct evbuffer *body = ((struct caller *)context)->body;

	/* the rest of a response without end */
	if (evbuffer_get_length(body) + bytes <= BODY_BYTES_MAX)
		evbuffer_add(body, data, bytes);
}

static void on_complete(void *context)
{
	struct caller *caller = context;
	const char *body;

	evbuffer_add(caller->body, "", 1);
	body = (const char *)evbuffer_pullup(caller->body, -1);
	/* servers echo the request target */
	caller->record.mismatched =
		caller->record.status == 200 &&
		(caller->head_mismatched || !strstr(body, caller->target));
	if (caller->will_close || caller->kind == CALLER_FRESH ||
	    caller->kind == CALLER_RECONNECTS)
		disconnect(caller);
	else
		http_stream_read_next(caller->stream);
	finish_request(caller, caller->record.status);
}

static void on_ended(void *context, enum http_end_reason end)
{
	struct caller *caller = context;

	(void)end;
	disconnect(caller);
	finish_request(caller, 0);
}

static const struct http_stream_events events = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static bool has_address(const struct caller *caller, const char *address)
{
	uint32_t i;

	for (i = 0; i < caller->address_count; i++)
		if (!strcmp(caller->addresses[i], address))
			return true;
	return false;
}

static uint32_t find_vm_index(const struct fleet *fleet, const char *address)
{
	uint32_t i;

	for (i = 0; i < fleet->vm_count; i++)
		if (!strcmp(fleet->vms[i].request_address, address))
			break;
	return i;
}

static bool can_reuse_connection(const struct caller *caller)
{
	return caller->stream && (caller->kind == CALLER_STAYS ||
				  has_address(caller, caller->address));
}

static bool ensure_connected(struct caller *caller)
{
	struct sockaddr_in to;

	if (can_reuse_connection(caller))
		return true;
	disconnect(caller);
	if (!caller->address_count)
		return false;
	g_strlcpy(caller->address,
		  caller->addresses[g_random_int_range(0, (gint32)caller->address_count)],
		  ADDRESS_BYTES);
	if (!tcp_parse_address(caller->address, &to))
		return false;
	caller->stream = http_stream_connect(caller->owner->fleet->base, &to, 0,
					     &events, caller);
	if (caller->stream)
		http_stream_read_next(caller->stream);
	return caller->stream != NULL;
}

/*
 * Half of the requests are orders and half are idempotent reads; one in eight
 * goes to the newest versioned route that has been published long enough.
 */
static void choose_target(struct caller *caller, bool is_long)
{
	struct callers *owner = caller->owner;
	uint32_t version = owner->fleet->version;
	struct call_record *record = &caller->record;

	while (version &&
	       (version >= VERSIONS_MAX ||
		callers_elapsed_ms(owner) - owner->published_ms[version] <
			owner->version_age_min_ms))
		version--;
	record->order = g_random_boolean();
	record->versioned_route = version && !g_random_int_range(0, 8);
	if (record->versioned_route)
		record->order = false;
	if (record->versioned_route)
		g_snprintf(caller->target, sizeof(caller->target), "/v%u/%s",
			   version, record->id);
	else
		g_snprintf(caller->target, sizeof(caller->target), "/%s%s/%s",
			   is_long ? "long-" : "",
			   record->order ? "order" : "look", record->id);
}

static void send_request(struct caller *caller)
{
	struct call_record *record = &caller->record;
	bool new_connection = !can_reuse_connection(caller);
	bool is_long = !g_random_int_range(0, caller->kind == CALLER_RECONNECTS
						      ? LONG_SHARE_RECONNECTS
						      : LONG_SHARE);
	int deadline_ms = is_long ? LONG_DEADLINE_MS : DEADLINE_MS;

	evbuffer_drain(caller->body, evbuffer_get_length(caller->body));
	callers_begin_record(caller->owner, record);
	record->fresh = caller->kind == CALLER_FRESH;
	choose_target(caller, is_long);
	record->limit_ms =
		MIN((uint32_t)deadline_ms, is_long && !record->versioned_route
						   ? FLEET_LONG_TIMEOUT_MS
						   : FLEET_TIMEOUT_MS);
	if (!ensure_connected(caller)) {
		schedule_next_request(caller);
		return;
	}
	caller->busy = true;
	record->vm = find_vm_index(caller->owner->fleet, caller->address);
	record->sent = !new_connection;
	evbuffer_add_printf(http_stream_output(caller->stream),
			    "%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
			    "Deadline-Ms: %d\r\nCookie: Affinity-Key=%d\r\n"
			    "Content-Length: %d\r\n\r\n%s",
			    record->order ? "POST" : "GET", caller->target,
			    record->id, deadline_ms,
			    g_random_int_range(0, OBJECT_COUNT),
			    record->order ? 5 : 0, record->order ? "rolls" : "");
	timer_start(caller->timer, deadline_ms + RESPONSE_GRACE_MS);
}

static void on_lookup(void *context, uint16_t status, const char *body,
		      size_t bytes)
{
	struct caller *caller = context;
	json_t *root = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	json_t *list = json_object_get(root, "Addresses");
	size_t i;

	if (json_array_size(list)) {
		caller->address_count = 0;
		caller->looked_up_ms = callers_elapsed_ms(caller->owner);
	}
	for (i = 0; i < json_array_size(list) && i < ADDRESSES_MAX; i++)
		g_strlcpy(caller->addresses[caller->address_count++],
			  json_string_value(json_array_get(list, i)),
			  ADDRESS_BYTES);
	json_decref(root);
	if (caller->owner->stopping)
		return;
	if (caller->address_count)
		send_request(caller);
	else
		schedule_next_request(caller);
}

static void start_lookup(struct caller *caller)
{
	struct fleet *fleet = caller->owner->fleet;
	const struct fleet_vm *vm =
		&fleet->vms[g_random_int_range(0, (gint32)fleet->vm_count)];
	char target[96];

	g_snprintf(target, sizeof(target),
		   "/resolve?Name=a.example&Region=%s&Zone=%s",
		   fleet_regions[caller->domain], fleet_domains[caller->domain]);
	http_call_start(fleet->base, vm->directory_address, target, NULL,
			LOOKUP_TIMEOUT_MS, on_lookup, caller);
}

static void on_caller_timer(evutil_socket_t fd, short what, void *context)
{
	struct caller *caller = context;

	(void)fd;
	(void)what;
	if (caller->busy) { /* no response in time */
		disconnect(caller);
		finish_request(caller, 0);
		return;
	}
	if (caller->owner->stopping)
		return;
	if (!caller->address_count || caller->kind == CALLER_FRESH ||
	    callers_elapsed_ms(caller->owner) - caller->looked_up_ms >
		    (caller->kind == CALLER_FOLLOWS ? LOOKUP_AGE_MAX_MS
						    : LOOKUP_AGE_LONG_MS))
		start_lookup(caller);
	else
		send_request(caller);
}

struct callers *callers_new(struct fleet *fleet, uint32_t count,
			    uint32_t slow_count, int64_t version_age_min_ms)
{
	struct callers *callers = g_new0(struct callers, 1);
	uint32_t i;

	callers->fleet = fleet;
	callers->count = count;
	callers->version_age_min_ms = version_age_min_ms;
	callers->list = g_new0(struct caller, count);
	callers->records = g_array_new(false, true, sizeof(struct call_record));
	callers->began_ms = clock_now_ms(&clock_system);
	for (i = 0; i < count; i++) {
		struct caller *caller = &callers->list[i];

		caller->owner = callers;
		caller->domain = i % FLEET_DOMAINS;
		caller->kind =
			caller_kinds[i / FLEET_DOMAINS % ARRAY_SIZE(caller_kinds)];
		caller->body = evbuffer_new();
		caller->timer = evtimer_new(fleet->base, on_caller_timer, caller);
		schedule_next_request(caller);
	}
	callers->slow = slow_callers_new(fleet, slow_count, callers);
	return callers;
}

void callers_free(struct callers *callers)
{
	uint32_t i;

	slow_callers_free(callers->slow);
	for (i = 0; i < callers->count; i++) {
		disconnect(&callers->list[i]);
		event_free(callers->list[i].timer);
		evbuffer_free(callers->list[i].body);
	}
	g_array_unref(callers->records);
	g_free(callers->list);
	g_free(callers);
}

void callers_stop(struct callers *callers)
{
	callers->stopping = true;
	slow_callers_stop(callers->slow);
}

bool callers_are_waiting(const struct callers *callers)
{
	uint32_t i;

	for (i = 0; i < callers->count; i++)
		if (callers->list[i].busy)
			return true;
	return slow_callers_are_waiting(callers->slow);
}

void callers_give_up(struct callers *callers)
{
	uint32_t i;

	for (i = 0; i < callers->count; i++) {
		disconnect(&callers->list[i]);
		finish_request(&callers->list[i], 0);
	}
	slow_callers_give_up(callers->slow);
}

void callers_mark_published(struct callers *callers, uint32_t version)
{
	if (version < VERSIONS_MAX)
		callers->published_ms[version] = callers_elapsed_ms(callers);
}

const GArray *callers_records(const struct callers *callers)
{
	return callers->records;
}
