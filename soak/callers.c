#include "callers.h"

#include <event2/buffer.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "ask.h"
#include "base/clock.h"
#include "net/http_stream.h"
#include "net/tcp.h"
#include "net/timer.h"

/* How long callers wait, for their answers and for a look-up. */
#define DEADLINE_MS 2000
#define PATIENCE_MS (DEADLINE_MS + 500)
#define LOOKUP_TIMEOUT_MS 1000
/* An answer of the directory is used so long: its time to live is 1 s. */
#define LOOKUP_AGE_MS 2000
/* Pause between two requests of one caller. */
#define THINK_MIN_MS 10
#define THINK_MAX_MS 90
#define OBJECTS 40
#define ADDRESSES_MAX 64
#define VERSIONS_MAX 256

struct caller {
	struct callers *all;
	struct event *timer; /* the next request, or the end of patience */
	struct http_stream *stream;
	char address[ADDRESS_BYTES]; /* of the VM it is connected to */
	char known[ADDRESSES_MAX][ADDRESS_BYTES];
	uint32_t known_count;
	int64_t looked_up_ms;
	uint32_t domain;
	bool busy;   /* a request is in progress */
	bool close;  /* the VM will close the connection */
	bool unread; /* of the answer: no id or another one, no stamp */
	struct seen seen;
	char target[64];
	struct evbuffer *body;
};

struct callers {
	struct fleet *fleet;
	struct caller *list;
	uint32_t count;
	GArray *seen;
	int64_t began_ms;
	int64_t version_age_ms;
	int64_t published_ms[VERSIONS_MAX];
	uint32_t sent;
	bool stopping;
};

int64_t callers_now_ms(const struct callers *callers)
{
	return clock_now_ms(&clock_system) - callers->began_ms;
}

static void disconnect(struct caller *caller)
{
	http_stream_free(caller->stream);
	caller->stream = NULL;
}

static void rest(struct caller *caller)
{
	timer_start(caller->timer,
		    g_random_int_range(THINK_MIN_MS, THINK_MAX_MS));
}

static void finish(struct caller *caller, uint16_t status)
{
	if (!caller->busy)
		return;
	caller->busy = false;
	caller->seen.status = status;
	caller->seen.ended_ms = callers_now_ms(caller->all);
	g_array_append_val(caller->all->seen, caller->seen);
	rest(caller);
}

static void on_connected(void *context)
{
	((struct caller *)context)->seen.sent = true;
}

static void on_head(void *context, const struct http_head *head)
{
	struct caller *caller = context;
	const char *id = http_head_get(head, "Request-Id");

	caller->seen.status = head->status;
	caller->close = !head->keep_alive;
	caller->unread = !id || strcmp(id, caller->seen.id) != 0 ||
			 !http_head_get(head, "Response-Stamp");
}

static void on_body(void *context, const uint8_t *data, size_t bytes)
{
	evbuffer_add(((struct caller *)context)->body, data, bytes);
}

static void on_complete(void *context)
{
	struct caller *caller = context;
	const char *body;

	evbuffer_add(caller->body, "", 1);
	body = (const char *)evbuffer_pullup(caller->body, -1);
	/* servers echo what they were asked */
	caller->seen.foreign = caller->seen.status == 200 &&
			       (caller->unread || !strstr(body, caller->target));
	if (caller->close)
		disconnect(caller);
	else
		http_stream_next(caller->stream);
	finish(caller, caller->seen.status);
}

static void on_ended(void *context, enum http_end end)
{
	struct caller *caller = context;

	(void)end;
	disconnect(caller);
	finish(caller, 0);
}

static const struct http_stream_events events = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
};

static bool is_known(const struct caller *caller, const char *address)
{
	uint32_t i;

	for (i = 0; i < caller->known_count; i++)
		if (!strcmp(caller->known[i], address))
			return true;
	return false;
}

static uint32_t vm_of(const struct fleet *fleet, const char *address)
{
	uint32_t i;

	for (i = 0; i < fleet->vm_count; i++)
		if (!strcmp(fleet->vms[i].requests, address))
			break;
	return i;
}

static bool connect_anywhere(struct caller *caller)
{
	struct sockaddr_in to;

	if (caller->stream && is_known(caller, caller->address))
		return true;
	disconnect(caller);
	if (!caller->known_count)
		return false;
	g_strlcpy(caller->address,
		  caller->known[g_random_int_range(0, (gint32)caller->known_count)],
		  ADDRESS_BYTES);
	if (!tcp_parse(caller->address, &to))
		return false;
	caller->stream = http_stream_connect(caller->all->fleet->base, &to, 0,
					     &events, caller);
	if (caller->stream)
		http_stream_next(caller->stream);
	return caller->stream != NULL;
}

/* Orders, look-ups, and now and then the newest route that is old enough. */
static void choose_target(struct caller *caller)
{
	struct callers *all = caller->all;
	uint32_t version = all->fleet->version;
	struct seen *seen = &caller->seen;

	while (version && (version >= VERSIONS_MAX ||
			   callers_now_ms(all) - all->published_ms[version] <
				   all->version_age_ms))
		version--;
	seen->order = g_random_boolean();
	seen->newer_route = version && !g_random_int_range(0, 8);
	if (seen->newer_route)
		seen->order = false;
	if (seen->newer_route)
		g_snprintf(caller->target, sizeof(caller->target), "/v%u/%s",
			   version, seen->id);
	else
		g_snprintf(caller->target, sizeof(caller->target), "/%s/%s",
			   seen->order ? "order" : "look", seen->id);
}

static void send_request(struct caller *caller)
{
	struct seen *seen = &caller->seen;
	bool fresh = !caller->stream || !is_known(caller, caller->address);

	memset(seen, 0, sizeof(*seen));
	evbuffer_drain(caller->body, evbuffer_get_length(caller->body));
	g_snprintf(seen->id, sizeof(seen->id), "r%u", ++caller->all->sent);
	seen->began_ms = callers_now_ms(caller->all);
	choose_target(caller);
	if (!connect_anywhere(caller)) {
		rest(caller);
		return;
	}
	caller->busy = true;
	seen->vm = vm_of(caller->all->fleet, caller->address);
	seen->sent = !fresh;
	evbuffer_add_printf(http_stream_output(caller->stream),
			    "%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
			    "Deadline-Ms: %d\r\nCookie: Affinity-Key=%d\r\n"
			    "Content-Length: %d\r\n\r\n%s",
			    seen->order ? "POST" : "GET", caller->target,
			    seen->id, DEADLINE_MS, g_random_int_range(0, OBJECTS),
			    seen->order ? 5 : 0, seen->order ? "rolls" : "");
	timer_start(caller->timer, PATIENCE_MS);
}

static void on_lookup(void *context, uint16_t status, const char *body,
		      size_t bytes)
{
	struct caller *caller = context;
	json_t *root = status == 200 ? json_loadb(body, bytes, 0, NULL) : NULL;
	json_t *list = json_object_get(root, "Addresses");
	size_t i;

	if (json_array_size(list)) {
		caller->known_count = 0;
		caller->looked_up_ms = callers_now_ms(caller->all);
	}
	for (i = 0; i < json_array_size(list) && i < ADDRESSES_MAX; i++)
		g_strlcpy(caller->known[caller->known_count++],
			  json_string_value(json_array_get(list, i)),
			  ADDRESS_BYTES);
	json_decref(root);
	if (caller->all->stopping)
		return;
	if (caller->known_count)
		send_request(caller);
	else
		rest(caller);
}

static void look_up(struct caller *caller)
{
	struct fleet *fleet = caller->all->fleet;
	const struct fleet_vm *vm =
		&fleet->vms[g_random_int_range(0, (gint32)fleet->vm_count)];
	char target[96];

	g_snprintf(target, sizeof(target),
		   "/resolve?Name=a.example&Region=%s&Zone=%s",
		   fleet_regions[caller->domain], fleet_domains[caller->domain]);
	ask(fleet->base, vm->directory, target, NULL, LOOKUP_TIMEOUT_MS,
	    on_lookup, caller);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct caller *caller = context;

	(void)fd;
	(void)what;
	if (caller->busy) { /* nothing came in time */
		disconnect(caller);
		finish(caller, 0);
		return;
	}
	if (caller->all->stopping)
		return;
	if (!caller->known_count ||
	    callers_now_ms(caller->all) - caller->looked_up_ms > LOOKUP_AGE_MS)
		look_up(caller);
	else
		send_request(caller);
}

struct callers *callers_new(struct fleet *fleet, uint32_t count,
			    int64_t version_age_ms)
{
	struct callers *callers = g_new0(struct callers, 1);
	uint32_t i;

	callers->fleet = fleet;
	callers->count = count;
	callers->version_age_ms = version_age_ms;
	callers->list = g_new0(struct caller, count);
	callers->seen = g_array_new(false, true, sizeof(struct seen));
	callers->began_ms = clock_now_ms(&clock_system);
	for (i = 0; i < count; i++) {
		struct caller *caller = &callers->list[i];

		caller->all = callers;
		caller->domain = i % FLEET_DOMAINS;
		caller->body = evbuffer_new();
		caller->timer = evtimer_new(fleet->base, on_timer, caller);
		rest(caller);
	}
	return callers;
}

void callers_free(struct callers *callers)
{
	uint32_t i;

	for (i = 0; i < callers->count; i++) {
		disconnect(&callers->list[i]);
		event_free(callers->list[i].timer);
		evbuffer_free(callers->list[i].body);
	}
	g_array_unref(callers->seen);
	g_free(callers->list);
	g_free(callers);
}

void callers_stop(struct callers *callers)
{
	callers->stopping = true;
}

void callers_published(struct callers *callers, uint32_t version)
{
	if (version < VERSIONS_MAX)
		callers->published_ms[version] = callers_now_ms(callers);
}

const GArray *callers_seen(const struct callers *callers)
{
	return callers->seen;
}
